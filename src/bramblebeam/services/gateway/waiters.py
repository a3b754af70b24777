"""The queue of waiters for a connection to one database, in the order of their arrival."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from bramblebeam.core.tenants import NO_TENANT, TenantId

if TYPE_CHECKING:
    from bramblebeam.services.gateway.pooled import PooledConnection


MAXIMUM_TURNS = 1_000
"""Maximum number of tenants whose last turn is tracked, apart from those that wait."""


class Waiter(NamedTuple):
    """Waits for a connection of `tenant`, or any if None. `since`: monotonic clock, seconds."""

    future: asyncio.Future[PooledConnection]
    tenant: TenantId | None
    since: float

    @property
    def opens_for(self) -> TenantId:
        """Tenant that a connection is opened for if none is free."""
        return NO_TENANT if self.tenant is None else self.tenant

    def takes(self, tenant: TenantId) -> bool:
        """Whether a connection of this tenant suits the waiter."""
        return self.tenant is None or self.tenant == tenant


class Waiters:
    """A queue in which a connection goes to the first waiter that it suits."""

    def __init__(self) -> None:
        self._waiting: deque[Waiter] = deque()
        self._last_turn: dict[TenantId, int] = {}
        self._turns = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiter: Waiter, is_urgent: bool) -> None:
        """Add a waiter; an urgent one goes to the front."""
        if is_urgent:
            self._waiting.appendleft(waiter)
        else:
            self._waiting.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Remove a waiter that was cancelled."""
        self._waiting.remove(waiter)

    def pop_for(self, tenant: TenantId) -> Waiter | None:
        """Remove and return the first waiter that a connection of this tenant suits, or None."""
        for waiter in self._waiting:
            if waiter.takes(tenant):
                self._waiting.remove(waiter)
                return waiter
        return None

    def must_yield(self, tenant: TenantId, since: float, held: Counter[TenantId]) -> bool:
        """Whether a tenant with no more connections than this one has waited since before `since`.

        `held`: number of connections in use by tenant.
        """
        return any(
            waiter.since < since
            and not waiter.takes(tenant)
            and held[waiter.opens_for] <= held[tenant]
            for waiter in self._waiting
        )

    def without_connection(
        self, opening: Iterable[TenantId], held: Counter[TenantId]
    ) -> list[Waiter]:
        """Return the waiters for whom no connection is being opened, in the order of their turns.

        First is the one whose tenant uses the fewest connections, and among equals the one whose
        last turn is oldest: a tenant that floods a database gets as many turns as any other.
        """
        opening_count = Counter(opening)
        uses = held + opening_count
        found: list[tuple[int, int, Waiter]] = []
        for waiter in self._waiting:
            tenant = waiter.opens_for
            if opening_count[tenant] > 0:
                opening_count[tenant] -= 1
            else:
                found.append((uses[tenant], self._last_turn.get(tenant, 0), waiter))
                uses[tenant] += 1
        # The sort is stable: among equals, the order of arrival decides.
        return [waiter for *_, waiter in sorted(found, key=lambda entry: entry[:2])]

    def record_turn(self, tenant: TenantId) -> None:
        """Record a turn: a connection is opened for a tenant.

        If too many tenants are tracked, drop those that no longer wait.
        """
        self._turns += 1
        self._last_turn[tenant] = self._turns
        if len(self._last_turn) > MAXIMUM_TURNS:
            waiting = {waiter.opens_for for waiter in self._waiting}
            self._last_turn = {
                known: turn for known, turn in self._last_turn.items() if known in waiting
            }

    def fail(self, error: Exception) -> None:
        """Fail all waiters with an error."""
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.future.done():
                waiter.future.set_exception(error)
