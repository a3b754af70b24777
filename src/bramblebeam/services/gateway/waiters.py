"""Those who wait for a connection to one database, in the order in which they came."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Iterable
from typing import TYPE_CHECKING, NamedTuple

from bramblebeam.core.tenants import NO_TENANT, TenantId

if TYPE_CHECKING:
    from bramblebeam.services.gateway.pooled import PooledConnection


MOST_TURNS_KEPT = 1_000
"""Tenants whose last turn is remembered, beside those that wait."""


class Waiter(NamedTuple):
    """Waits for a connection of `tenant`; None: any will do. `since`: steady clock, seconds."""

    future: asyncio.Future[PooledConnection]
    tenant: TenantId | None
    since: float

    @property
    def opens_for(self) -> TenantId:
        """For whom a connection is opened where none is free."""
        return NO_TENANT if self.tenant is None else self.tenant

    def takes(self, tenant: TenantId) -> bool:
        """Whether a connection of this tenant is what is waited for."""
        return self.tenant is None or self.tenant == tenant


class Waiters:
    """A queue in which a connection goes to the first one that it is for."""

    def __init__(self) -> None:
        self._waiting: deque[Waiter] = deque()
        self._last_turn: dict[TenantId, int] = {}
        self._turns = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, waiter: Waiter, is_urgent: bool) -> None:
        """Let one wait; an urgent one before all others."""
        if is_urgent:
            self._waiting.appendleft(waiter)
        else:
            self._waiting.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Forget one that has given up."""
        self._waiting.remove(waiter)

    def pop_for(self, tenant: TenantId) -> Waiter | None:
        """Return the first that a connection of this tenant is for, or None."""
        for waiter in self._waiting:
            if waiter.takes(tenant):
                self._waiting.remove(waiter)
                return waiter
        return None

    def must_yield(self, tenant: TenantId, since: float, held: Counter[TenantId]) -> bool:
        """Whether another tenant that holds no more than this one has waited since before `since`.

        `held`: how many connections each tenant uses.
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
        """Return those for whom none is being opened, the one whose turn it is in front.

        That is the one whose tenant uses the fewest, and among equals the one that was not served
        for longest: a tenant that floods a database has as many turns as any other, and no more.
        """
        underway = Counter(opening)
        uses = held + underway
        found: list[tuple[int, int, Waiter]] = []
        for waiter in self._waiting:
            tenant = waiter.opens_for
            if underway[tenant] > 0:
                underway[tenant] -= 1
            else:
                found.append((uses[tenant], self._last_turn.get(tenant, 0), waiter))
                uses[tenant] += 1
        # The order in which they came decides among equals, as sorting keeps it.
        return [waiter for *_, waiter in sorted(found, key=lambda entry: entry[:2])]

    def note_turn(self, tenant: TenantId) -> None:
        """Note that a connection is opened for a tenant; who waits no more is forgotten."""
        self._turns += 1
        self._last_turn[tenant] = self._turns
        if len(self._last_turn) > MOST_TURNS_KEPT:
            waiting = {waiter.opens_for for waiter in self._waiting}
            self._last_turn = {
                known: turn for known, turn in self._last_turn.items() if known in waiting
            }

    def fail(self, error: Exception) -> None:
        """Tell all of them that there will be no connection."""
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.future.done():
                waiter.future.set_exception(error)
