"""The grants that a node holds, and from them its share of each tenant's limit.

All times are seconds of the monotonic clock.
"""

import math
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from bramblebeam.core.identity import NodeId
from bramblebeam.core.quota.grantor import GRANT_SECONDS
from bramblebeam.core.quota.messages import (
    NO_GRANT,
    BlockingGrant,
    Grant,
    GrantRequest,
    GrantReturned,
    counting_node,
)
from bramblebeam.core.tenants import TenantId

REQUEST_INTERVAL = 0.5
"""Interval at which a grant is requested again (seconds): two requests may be lost before the grant
expires."""
BLOCKED_REQUEST_INTERVAL = 0.1
"""The same while another node may still count by an earlier grant."""
_REQUESTS_KEPT = 4
"""Pending requests per grantor: a grant for an older one would have expired on arrival."""

CountingNodes = tuple[NodeId, ...]


class _HeldBlocking(NamedTuple):
    holder: NodeId
    counting_nodes: CountingNodes
    until: float


class _HeldGrant(NamedTuple):
    """A grant. `requested_at`: when the request was sent that it answers."""

    number: int
    counting_nodes: CountingNodes
    part: float
    grant_parts: int
    blocking: tuple[_HeldBlocking, ...]
    requested_at: float

    @property
    def until(self) -> float:
        """When the grant expires."""
        return self.requested_at + GRANT_SECONDS


class _Total(NamedTuple):
    """The sum of the held grants. `until`: when it must be computed again."""

    parts: dict[CountingNodes, float]
    blocked: tuple[_HeldGrant, ...]
    divided_into: int
    until: float


_OUTDATED = _Total({}, (), 1, float("-inf"))


class HeldGrants:
    """The grants that one node holds from all grantors."""

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self._held: dict[NodeId, _HeldGrant] = {}
        self._requests: dict[NodeId, dict[int, float]] = {}
        self._next_request_at: dict[NodeId, float] = {}
        self._next_number = 1
        self._total = _OUTDATED

    # Requests and grants.

    def pending_grantors(self, grantors: Iterable[NodeId], now: float) -> list[NodeId]:
        """Return the grantors that a request should be sent to now."""
        return [grantor for grantor in grantors if self._next_request_at.get(grantor, now) <= now]

    def request(self, grantor: NodeId, now: float) -> GrantRequest:
        """Return the request for a grantor, to be sent now."""
        number = self._next_number
        self._next_number += 1
        requests = self._requests.setdefault(grantor, {})
        requests[number] = now
        if len(requests) > _REQUESTS_KEPT:
            del requests[min(requests)]
        self._next_request_at[grantor] = now + REQUEST_INTERVAL
        held = self._held.get(grantor)
        return GrantRequest(number, NO_GRANT if held is None else held.number)

    def handle_grant(self, grantor: NodeId, grant: Grant, now: float) -> None:
        """Handle a grant. Ignore it if it was not requested, or is older than the held one."""
        requested_at = self._requests.get(grantor, {}).pop(grant.answers, None)
        former = self._held.get(grantor)
        if requested_at is None or not grant.part > 0.0:
            return
        if former is not None and former.requested_at > requested_at:
            return
        blocking = tuple(_held_blocking(blocker, now) for blocker in grant.blocking)
        part = min(1.0, grant.part)
        held = _HeldGrant(
            grant.number, grant.counting_nodes, part, grant.parts, blocking, requested_at
        )
        self._held[grantor] = held
        self._total = _OUTDATED
        if former is None or former.number != held.number:
            # The grantor blocks other holders until it learns that the former grant is unused.
            self._next_request_at[grantor] = now
        elif blocking:
            again_at = now + BLOCKED_REQUEST_INTERVAL
            self._next_request_at[grantor] = min(
                self._next_request_at.get(grantor, again_at), again_at
            )

    def request_all_again(self) -> None:
        """Schedule a request to every grantor, after counting nodes or grantors changed."""
        self._next_request_at.clear()

    def release_all(self) -> list[tuple[NodeId, GrantReturned]]:
        """Release every grant; return the messages to send, by grantor."""
        returned = [(grantor, GrantReturned(held.number)) for grantor, held in self._held.items()]
        self._held.clear()
        self._requests.clear()
        self._next_request_at.clear()
        self._total = _OUTDATED
        return returned

    # Shares.

    def share(self, tenant: TenantId, known_parts: int, now: float) -> float:
        """Return the share of a tenant's limit that this node counts by (0 to 1).

        `known_parts`: the number of parts that limits are divided into, as far as this node knows.
        """
        if now >= self._total.until:
            self._total = self._add_up(now)
        parts = sum(
            part
            for counting_nodes, part in self._total.parts.items()
            if counting_node(tenant, counting_nodes) == self._node
        )
        parts += sum(
            held.part for held in self._total.blocked if self._is_granted(held, tenant, now)
        )
        return min(1.0, parts / max(1, known_parts, self._total.divided_into))

    def _is_granted(self, held: _HeldGrant, tenant: TenantId, now: float) -> bool:
        if counting_node(tenant, held.counting_nodes) != self._node:
            return False
        return not any(
            blocker.until > now and counting_node(tenant, blocker.counting_nodes) == blocker.holder
            for blocker in held.blocking
        )

    def _add_up(self, now: float) -> _Total:
        self._drop_expired(now)
        parts: dict[CountingNodes, float] = {}
        blocked: list[_HeldGrant] = []
        for held in self._held.values():
            if held.blocking:
                blocked.append(held)
            else:
                parts[held.counting_nodes] = parts.get(held.counting_nodes, 0.0) + held.part
        until = min((held.until for held in self._held.values()), default=float("inf"))
        return _Total(parts, tuple(blocked), max(self._reported_parts(), default=1), until)

    def _reported_parts(self) -> Iterator[int]:
        return (held.grant_parts for held in self._held.values())

    def _drop_expired(self, now: float) -> None:
        for grantor, held in list(self._held.items()):
            if held.until <= now:
                del self._held[grantor]


def _held_blocking(blocker: BlockingGrant, now: float) -> _HeldBlocking:
    """Start the time of a blocking grant; one that is not finite lasts until the next answer."""
    seconds = blocker.seconds if math.isfinite(blocker.seconds) else math.inf
    return _HeldBlocking(blocker.holder, blocker.counting_nodes, now + seconds)
