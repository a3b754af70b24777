"""Grants one node's part of all limits, for each tenant to one holder at a time.

All times are seconds of the monotonic clock, which runs at the same rate on all nodes.
"""

from collections.abc import Iterator
from typing import NamedTuple

from bramblebeam.core.identity import NodeId
from bramblebeam.core.ownership.rendezvous import ranked_owners
from bramblebeam.core.quota.messages import NO_GRANT, BlockingGrant, Grant, GrantRequest

GRANT_SECONDS = 1.5
"""How long a grant is valid. If its holder is lost, partitioned off or paused, no node counts the
holder's tenants until it expires."""
CLOCK_MARGIN = 0.05
"""How long a grantor still honors a grant that its holder considers expired (seconds), as clock
rates differ a little."""
MAXIMUM_GRANTORS = 32
"""Enough for the parts on both sides of a partition to be proportional to the nodes there; more
grantors would only cost messages."""
RESTART_PART = 0.6
"""What a grantor grants right after its start, when grants of its previous incarnation may still be
in use.

As only ADMITTED_SHARE of a limit is counted, a limit is exceeded by a tenth only if three of five
grantors restart at the same time and the holders of their parts do not. After a loss of power
everywhere, the callers of every tenant retry in the seconds in which only this much is granted.
"""
_GRANTORS_KEY = "limits"


def select_grantors(nodes: frozenset[NodeId]) -> tuple[NodeId, ...]:
    """Return which of the known nodes, including lost ones, each limit is divided over."""
    return tuple(ranked_owners(_GRANTORS_KEY, nodes)[:MAXIMUM_GRANTORS])


class Fleet(NamedTuple):
    """One node's view of the other nodes.

    `serving`: the nodes that may count tenants. `grantors`: the nodes that limits are divided over.
    `parts`: the number of parts, which exceeds the number of grantors while some are not known yet.
    """

    serving: frozenset[NodeId]
    grantors: tuple[NodeId, ...]
    parts: int


class _IssuedGrant(NamedTuple):
    """A grant that its holder may count by until a time."""

    number: int
    counting_nodes: tuple[NodeId, ...]
    until: float


class Grantor:
    """The grants issued by one node in one incarnation of its process.

    `first_number`: must not be followed closely by numbers of an earlier incarnation.
    """

    def __init__(self, node: NodeId, first_number: int) -> None:
        self._node = node
        self._started_at = float("inf")
        self._next_number = first_number
        self._issued: dict[NodeId, list[_IssuedGrant]] = {}
        self._requested_at: dict[NodeId, float] = {}

    def start(self, now: float) -> None:
        """Record the start of this incarnation. Before it, only RESTART_PART is granted."""
        self._started_at = now

    def answer(self, holder: NodeId, request: GrantRequest, fleet: Fleet, now: float) -> Grant:
        """Grant this node's part to a node that requests it, if `fleet` allows both their roles."""
        self._drop_expired(now)
        self._drop_replaced(holder, request.held)
        if self._node not in fleet.grantors or holder not in fleet.serving:
            return Grant(request.number, parts=fleet.parts)
        self._requested_at[holder] = now
        issued = self._issue(holder, request.held, self._counting_nodes(fleet), now)
        blocking = tuple(self._blocking(holder, issued.counting_nodes, now))
        part = RESTART_PART if now < self._started_at + GRANT_SECONDS + CLOCK_MARGIN else 1.0
        return Grant(
            request.number, issued.number, issued.counting_nodes, part, fleet.parts, blocking
        )

    def release(self, holder: NodeId, number: int) -> None:
        """Drop a grant that its holder has released, and the holder's earlier ones.

        A later grant stays, as the holder may have requested one since.
        """
        issued = self._issued.get(holder, [])
        kept = [grant for grant in issued if grant.number > number]
        if kept:
            self._issued[holder] = kept
        else:
            self._issued.pop(holder, None)
            self._requested_at.pop(holder, None)

    def _counting_nodes(self, fleet: Fleet) -> tuple[NodeId, ...]:
        """Return the nodes that tenants are divided among: serving nodes that request grants."""
        return tuple(sorted(node for node in fleet.serving if node in self._requested_at))

    def _issue(
        self, holder: NodeId, held: int, counting_nodes: tuple[NodeId, ...], now: float
    ) -> _IssuedGrant:
        """Extend the grant that a holder counts by, or issue a new one."""
        issued = self._issued.setdefault(holder, [])
        until = now + GRANT_SECONDS + CLOCK_MARGIN
        if issued and issued[-1].number == held and issued[-1].counting_nodes == counting_nodes:
            issued[-1] = issued[-1]._replace(until=until)
        else:
            issued.append(_IssuedGrant(self._next_number, counting_nodes, until))
            self._next_number += 1
        return issued[-1]

    def _blocking(
        self, holder: NodeId, counting_nodes: tuple[NodeId, ...], now: float
    ) -> Iterator[BlockingGrant]:
        for other, issued in self._issued.items():
            for grant in issued:
                if other != holder and grant.counting_nodes != counting_nodes:
                    yield BlockingGrant(other, grant.counting_nodes, grant.until - now)

    def _drop_replaced(self, holder: NodeId, held: int) -> None:
        """Drop the grants before the one that a holder reports to count by."""
        issued = self._issued.get(holder, [])
        if held != NO_GRANT and any(grant.number == held for grant in issued):
            kept = [grant for grant in issued if grant.number >= held]
            self._issued[holder] = kept

    def _drop_expired(self, now: float) -> None:
        for holder, issued in list(self._issued.items()):
            kept = [grant for grant in issued if grant.until > now]
            if kept:
                self._issued[holder] = kept
            else:
                del self._issued[holder]
                self._requested_at.pop(holder, None)
