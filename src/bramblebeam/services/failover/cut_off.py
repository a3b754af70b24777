"""Fences a group's former leader: makes sure that no node uses it before another one is promoted.

Either some node makes it step down, or no node has a lease on it any more. Leases are confirmed by
the other members. Once these are paused, every lease expires after a known time, or ends at once if
each node confirms that it has stopped using the former leader.
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
"""How long another node may take to reply to a step-down request (seconds)."""
PEER_SILENCE_TIMEOUT = 0.4
"""The request fails earlier if nothing at all comes from that node for so long (seconds)."""
NEVER = float("inf")


class StepDownPeers(Protocol):
    """Other nodes, which may reach a database that this node does not."""

    async def step_down(self, node: NodeId, request: StepDownRequest) -> StepDownReply:
        """Request that a node makes a database step down; return NO_ANSWER if it fails to reply."""


class CutOff(NamedTuple):
    """Result of cutting off a former leader. `position`: the end of its log, if known.

    `relies_on_pauses`: it was not made to step down, but leases on it have expired, and none can be
    confirmed as long as the paused members stay paused.
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
        """Return once no node uses `former`, or every attempt to ensure that has failed.

        `nodes`: those that may reach it. `leases_end`: when the last lease on it expires (seconds
        of the monotonic clock), or NEVER if unknown. `nodes_are_all`: no other node can have a
        lease, so the confirmations of all these nodes suffice.
        """
        request = StepDownRequest(self._group, server_name(former), term)
        replies: list[Awaitable[StepDownReply]] = [self._orders.step_down(former, term)]
        replies += [self._peers.step_down(node, request) for node in nodes]
        pending = {asyncio.ensure_future(reply) for reply in replies}
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
    """Wait for a reply that decides the outcome, or until the leases expire."""
    waiting = set(pending)
    outcomes: set[StepDownOutcome] = set()
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
            outcomes.add(reply.outcome)
    if nodes_are_all and outcomes == {StepDownOutcome.GONE}:
        return CutOff(True), "gone"
    if nodes_are_all and StepDownOutcome.NO_ANSWER not in outcomes and leases_end != NEVER:
        return CutOff(True), "given up by all"
    if leases_end == NEVER:
        return CutOff(False), "unreachable, and leases on it may be renewed"
    await asyncio.sleep(max(0.0, leases_end - loop_time()))
    return LEASES_EXPIRED, "leases ran out"
