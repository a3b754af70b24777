"""The idle connections to one database, and which of them is closed for another tenant's."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import TYPE_CHECKING

from bramblebeam.core.gateway.state import SessionState
from bramblebeam.core.gateway.usage import TenantUsage
from bramblebeam.core.tenants import TenantId

if TYPE_CHECKING:
    from bramblebeam.services.gateway.pooled import PooledConnection

IDLE_SECONDS = 1.0
"""Idle time after which a connection is closed, unless it is one of those kept (seconds)."""


class IdleConnections:
    """Idle connections of a pool; closed ones are dropped before every access."""

    def __init__(self) -> None:
        self._connections: list[PooledConnection] = []

    def __len__(self) -> int:
        self._drop_closed()
        return len(self._connections)

    def __iter__(self) -> Iterator[PooledConnection]:
        """Iterate over a snapshot of the open connections."""
        self._drop_closed()
        return iter(list(self._connections))

    def add(self, connection: PooledConnection) -> None:
        """Add a connection that has become idle."""
        self._connections.append(connection)

    def take(self, tenant: TenantId, session: SessionState) -> PooledConnection | None:
        """Remove and return the tenant's connection closest to a session's state, or None."""
        self._drop_closed()
        own = [idle for idle in self._connections if idle.tenant == tenant]
        return self._take_best(own, session)

    def take_any(self, session: SessionState) -> PooledConnection | None:
        """Remove and return any tenant's connection, for the gateway's own queries, or None."""
        self._drop_closed()
        return self._take_best(self._connections, session)

    def has(self, tenant: TenantId) -> bool:
        """Whether one of the tenant's connections is idle."""
        return any(
            idle.tenant == tenant and not idle.connection.closed for idle in self._connections
        )

    def close_for_room(self, usage: TenantUsage, now: float) -> bool:
        """Close the connection with the lowest expected use; return False if none is idle.

        Each of a tenant's two idle connections is used about half as often as a single one.
        """
        self._drop_closed()
        if not self._connections:
            return False
        shared = Counter(idle.tenant for idle in self._connections)

        def use(idle: PooledConnection) -> tuple[float, float]:
            rate = usage.rate(idle.tenant, now) / shared[idle.tenant]
            return rate, idle.idle_since

        self._close([min(self._connections, key=use)])
        return True

    def close_not_received(self, since: float) -> None:
        """Close connections that have received nothing since a time (monotonic clock, seconds)."""
        self._close([idle for idle in self._connections if idle.received_at < since])

    def close_surplus(self, kept: int, now: float) -> None:
        """Close connections idle for longer than IDLE_SECONDS, except the `kept` latest ones."""
        self._drop_closed()
        latest_first = sorted(self._connections, key=lambda idle: -idle.idle_since)
        surplus = latest_first[kept:]
        self._close([old for old in surplus if now - old.idle_since > IDLE_SECONDS])

    def close_all(self) -> None:
        """Close all connections."""
        self._close(list(self._connections))

    def _take_best(
        self, candidates: list[PooledConnection], session: SessionState
    ) -> PooledConnection | None:
        if not candidates:
            return None
        best = min(candidates, key=lambda idle: (idle.state.distance(session), -idle.idle_since))
        self._connections.remove(best)
        return best

    def _drop_closed(self) -> None:
        self._connections = [idle for idle in self._connections if not idle.connection.closed]

    def _close(self, connections: list[PooledConnection]) -> None:
        for idle in connections:
            self._connections.remove(idle)
            idle.connection.close()
