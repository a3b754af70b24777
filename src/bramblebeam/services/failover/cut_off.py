"""Makes sure that nobody uses a group's former leader before another one is ordered.

Either some node of the system takes the lead from it, or no node has a lease on it any more. Leases
are confirmed by the other members, which were paused first: then every lease has run out after a
while, or at once where each node gives its word that it has none.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable
from typing import NamedTuple, Protocol

from bramblebeam.core.failover.messages import (
    NO_ANSWER,
    StepDownOutcome,
    StepDownReply,
    StepDownRequest,
)
from bramblebeam.core.identity import GroupId, InstanceId, NodeId, Position, server_name
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import FORMER_LEADER_CUT_OFF
from bramblebeam.services.failover.member_orders import MemberOrders
from bramblebeam.services.waiting import loop_time

logger = logging.getLogger(__name__)

PEER_TIMEOUT = 1.2
PEER_SILENCE_TIMEOUT = 0.4
NEVER = float("inf")


class StepDownPeers(Protocol):
    """Other nodes that may reach a database which this node does not."""

    async def step_down(self, node: NodeId, request: StepDownRequest) -> StepDownReply:
        """Have a node take the lead from a database; NO_ANSWER where it gives none."""


class CutOff(NamedTuple):
    """Whether the former leader is cut off. `position`: the end of its log, where it is known.

    `relies_on_pauses`: nobody took the lead from it, but leases on it have run out, as long as the
    members that were paused stay so.
    """

    is_done: bool
    position: Position | None = None
    relies_on_pauses: bool = False


LEASES_EXPIRED = CutOff(True, relies_on_pauses=True)


class LeaderCutOff:
    """Cuts off former leaders of one group."""

    def __init__(self, group: GroupId, orders: MemberOrders, peers: StepDownPeers) -> None:
        self._group = group
        self._orders = orders
        self._peers = peers

    async def run(
        self,
        former: InstanceId,
        term: int,
        nodes: tuple[NodeId, ...],
        leases_end: float,
        nodes_are_all: bool,
    ) -> CutOff:
        """Return once `former` is used by nobody, or all that can be tried has failed.

        `nodes`: those that may reach it. `leases_end`: when no lease on it is left (steady clock,
        seconds), NEVER where that is not known. `nodes_are_all`: no other node can have a lease, so
        that the word of all of them settles it.
        """
        request = StepDownRequest(self._group, server_name(former), term)
        asked: list[Awaitable[StepDownReply]] = [self._orders.step_down(former, term)]
        asked += [self._peers.step_down(node, request) for node in nodes]
        pending = {asyncio.ensure_future(question) for question in asked}
        began = loop_time()
        try:
            cut_off, how = await _settle(pending, leases_end, nodes_are_all)
        finally:
            for task in pending:
                task.cancel()
        log_event(
            logger,
            FORMER_LEADER_CUT_OFF,
            group=self._group,
            instance=former,
            term=term,
            outcome=how,
            duration_ms=round((loop_time() - began) * 1000),
        )
        return cut_off


async def _settle(
    pending: set[asyncio.Task[StepDownReply]], leases_end: float, nodes_are_all: bool
) -> tuple[CutOff, str]:
    """Wait for the first reply that settles it, or for the end of the leases."""
    waiting = set(pending)
    met: set[StepDownOutcome] = set()
    while waiting:
        timeout = None if leases_end == NEVER else max(0.0, leases_end - loop_time())
        done, waiting = await asyncio.wait(
            waiting, timeout=timeout, return_when=asyncio.FIRST_COMPLETED
        )
        if not done:
            return LEASES_EXPIRED, "leases ran out"
        for task in done:
            reply = NO_ANSWER if task.cancelled() else task.result()
            if reply.outcome is StepDownOutcome.DONE:
                return CutOff(True, reply.position), "stepped down"
            met.add(reply.outcome)
    if nodes_are_all and met == {StepDownOutcome.GONE}:
        return CutOff(True), "gone"
    if nodes_are_all and StepDownOutcome.NO_ANSWER not in met and leases_end != NEVER:
        return CutOff(True), "given up by all"
    if leases_end == NEVER:
        return CutOff(False), "unreachable, and leases on it may be renewed"
    await asyncio.sleep(max(0.0, leases_end - loop_time()))
    return LEASES_EXPIRED, "leases ran out"
