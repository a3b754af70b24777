"""Lends one node's part of all limits, to one holder a tenant at a time.

All times are seconds of the steady clock, which all nodes' clocks measure alike.
"""

from collections.abc import Iterator
from typing import NamedTuple

from bramblebeam.core.identity import NodeId
from bramblebeam.core.ownership.rendezvous import ranked_owners
from bramblebeam.core.quota.messages import NO_GRANT, BlockingGrant, Grant, GrantRequest

GRANT_SECONDS = 1.5
"""For how long a part is lent. A holder that is lost, cut off or paused keeps it for that long, in
which nobody counts its tenants."""
CLOCK_MARGIN = 0.05
"""A grantor waits for so much longer than the holder counts (seconds): clocks differ a little."""
MAXIMUM_GRANTORS = 32
"""Enough for the parts on both sides of a split to follow the nodes there; more would only cost
messages."""
RESTART_PART = 0.6
"""What a node lends right after its start, when grants of its former life may still be in use.

With HOME_SHARE of a limit counted, a tenth over the limit is reached only if three of five grantors
start anew at the same time, and those that held their parts did not. After a loss of all power
every tenant's callers return in the seconds in which only so much is lent.
"""
_GRANTORS_KEY = "limits"


def select_grantors(nodes: frozenset[NodeId]) -> tuple[NodeId, ...]:
    """Return which of the known nodes, lost ones included, each limit is divided over."""
    return tuple(ranked_owners(_GRANTORS_KEY, nodes)[:MAXIMUM_GRANTORS])


class Fleet(NamedTuple):
    """What a node knows of the others.

    `serving`: those that may count tenants. `grantors`: those that limits are divided over.
    `parts`: into how many parts; more than the grantors where some are not known yet.
    """

    serving: frozenset[NodeId]
    grantors: tuple[NodeId, ...]
    parts: int


class _Promise(NamedTuple):
    """A grant that its holder may count by until a time."""

    number: int
    counting: tuple[NodeId, ...]
    until: float


class Grantor:
    """The promises of one node in one life of its process.

    `first_number`: no number of a former life may follow it closely.
    """

    def __init__(self, node: NodeId, first_number: int) -> None:
        self._node = node
        self._started_at = float("inf")
        self._next_number = first_number
        self._promises: dict[NodeId, list[_Promise]] = {}
        self._asked_at: dict[NodeId, float] = {}

    def start(self, now: float) -> None:
        """Note when this life began. Before that the node lends as one that has just started."""
        self._started_at = now

    def answer(self, holder: NodeId, request: GrantRequest, fleet: Fleet, now: float) -> Grant:
        """Lend this node's part to a holder that asks, if it is one by what this node knows."""
        self._drop_lapsed(now)
        self._drop_replaced(holder, request.held)
        if self._node not in fleet.grantors or holder not in fleet.serving:
            return Grant(request.number, parts=fleet.parts)
        self._asked_at[holder] = now
        promise = self._promise(holder, request.held, self._counting(fleet), now)
        bars = tuple(self._bars(holder, promise.counting, now))
        part = RESTART_PART if now < self._started_at + GRANT_SECONDS + CLOCK_MARGIN else 1.0
        return Grant(request.number, promise.number, promise.counting, part, fleet.parts, bars)

    def release(self, holder: NodeId, number: int) -> None:
        """Take back a grant, and earlier ones, that a holder counts by no more.

        The holder may have asked again since: a later grant stands.
        """
        promises = self._promises.get(holder, [])
        kept = [promise for promise in promises if promise.number > number]
        if kept:
            self._promises[holder] = kept
        else:
            self._promises.pop(holder, None)
            self._asked_at.pop(holder, None)

    def _counting(self, fleet: Fleet) -> tuple[NodeId, ...]:
        """Return the nodes that tenants are divided among: those that serve, and ask."""
        return tuple(sorted(node for node in fleet.serving if node in self._asked_at))

    def _promise(
        self, holder: NodeId, held: int, counting: tuple[NodeId, ...], now: float
    ) -> _Promise:
        """Prolong the grant that a holder counts by, or make a new one."""
        promises = self._promises.setdefault(holder, [])
        until = now + GRANT_SECONDS + CLOCK_MARGIN
        if promises and promises[-1].number == held and promises[-1].counting == counting:
            promises[-1] = promises[-1]._replace(until=until)
        else:
            promises.append(_Promise(self._next_number, counting, until))
            self._next_number += 1
        return promises[-1]

    def _bars(
        self, holder: NodeId, counting: tuple[NodeId, ...], now: float
    ) -> Iterator[BlockingGrant]:
        for other, promises in self._promises.items():
            for promise in promises:
                if other != holder and promise.counting != counting:
                    yield BlockingGrant(other, promise.counting, promise.until - now)

    def _drop_replaced(self, holder: NodeId, held: int) -> None:
        """Forget the grants before the one that a holder says it counts by."""
        promises = self._promises.get(holder, [])
        if held != NO_GRANT and any(promise.number == held for promise in promises):
            kept = [promise for promise in promises if promise.number >= held]
            self._promises[holder] = kept

    def _drop_lapsed(self, now: float) -> None:
        for holder, promises in list(self._promises.items()):
            kept = [promise for promise in promises if promise.until > now]
            if kept:
                self._promises[holder] = kept
            else:
                del self._promises[holder]
                self._asked_at.pop(holder, None)
