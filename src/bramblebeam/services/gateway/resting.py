"""The connections to one database that rest, and which of them makes room for another tenant."""

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
"""Beside those that are kept, a connection that rested for so long is closed (seconds)."""


class IdleConnections:
    """Connections that nobody uses; those that have closed are left out of all that is told."""

    def __init__(self) -> None:
        self._resting: list[PooledConnection] = []

    def __len__(self) -> int:
        self._drop_closed()
        return len(self._resting)

    def __iter__(self) -> Iterator[PooledConnection]:
        """Return an iterator over them as they are now."""
        self._drop_closed()
        return iter(list(self._resting))

    def add(self, connection: PooledConnection) -> None:
        """Let a connection rest."""
        self._resting.append(connection)

    def take(self, tenant: TenantId, session: SessionState) -> PooledConnection | None:
        """Return the tenant's connection that suits the session best, or None."""
        self._drop_closed()
        own = [resting for resting in self._resting if resting.tenant == tenant]
        return self._take_best(own, session)

    def take_any(self, session: SessionState) -> PooledConnection | None:
        """Return a connection for what is nobody's work, or None."""
        self._drop_closed()
        return self._take_best(self._resting, session)

    def has(self, tenant: TenantId) -> bool:
        """Whether one of the tenant's connections rests."""
        return any(
            resting.tenant == tenant and not resting.connection.closed for resting in self._resting
        )

    def close_for_room(self, usage: TenantUsage, now: float) -> bool:
        """Close the one that will be missed least; False: none rests.

        A tenant's second connection is used about half as often as its only one.
        """
        self._drop_closed()
        if not self._resting:
            return False
        shared = Counter(resting.tenant for resting in self._resting)

        def use(resting: PooledConnection) -> tuple[float, float]:
            rate = usage.rate(resting.tenant, now) / shared[resting.tenant]
            return rate, resting.idle_since

        self._close([min(self._resting, key=use)])
        return True

    def close_unheard(self, since: float) -> None:
        """Close those that were last heard of before a moment (steady clock, seconds)."""
        self._close([resting for resting in self._resting if resting.received_at < since])

    def close_rested(self, kept: int, now: float) -> None:
        """Close those that have rested for long, but for the last `kept` ones."""
        self._drop_closed()
        latest_first = sorted(self._resting, key=lambda resting: -resting.idle_since)
        surplus = latest_first[kept:]
        self._close([old for old in surplus if now - old.idle_since > IDLE_SECONDS])

    def close_all(self) -> None:
        """Close every one."""
        self._close(list(self._resting))

    def _take_best(
        self, candidates: list[PooledConnection], session: SessionState
    ) -> PooledConnection | None:
        if not candidates:
            return None
        best = min(
            candidates, key=lambda resting: (resting.state.distance(session), -resting.idle_since)
        )
        self._resting.remove(best)
        return best

    def _drop_closed(self) -> None:
        self._resting = [resting for resting in self._resting if not resting.connection.closed]

    def _close(self, connections: list[PooledConnection]) -> None:
        for resting in connections:
            self._resting.remove(resting)
            resting.connection.close()
