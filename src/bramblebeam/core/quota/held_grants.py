"""The parts of limits that a node holds, and so the share of each tenant's limit it counts by.

All times are seconds of the steady clock.
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
"""A grant is asked for again so often: two questions may be lost before it is over."""
BARRED_ASK_SECONDS = 0.1
"""The same while another node may still count by an earlier grant."""
_QUESTIONS_KEPT = 4
"""Of one grantor: older ones are over before an answer could come."""

Counting = tuple[NodeId, ...]


class _HeldBar(NamedTuple):
    holder: NodeId
    counting: Counting
    until: float


class _Held(NamedTuple):
    """A grant. `asked_at`: when the question was sent that it answers."""

    number: int
    counting: Counting
    part: float
    grant_parts: int
    bars: tuple[_HeldBar, ...]
    asked_at: float

    @property
    def until(self) -> float:
        """When it is over."""
        return self.asked_at + GRANT_SECONDS


class _Sum(NamedTuple):
    """What is held, added up. `until`: when that is another sum."""

    parts: dict[Counting, float]
    barred: tuple[_Held, ...]
    divided_into: int
    until: float


_NOTHING = _Sum({}, (), 1, float("-inf"))


class HeldGrants:
    """What one node holds of all grantors."""

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self._held: dict[NodeId, _Held] = {}
        self._asked: dict[NodeId, dict[int, float]] = {}
        self._ask_at: dict[NodeId, float] = {}
        self._next_number = 1
        self._sum = _NOTHING

    # Questions and answers.

    def due(self, grantors: Iterable[NodeId], now: float) -> list[NodeId]:
        """Return the grantors to ask now."""
        return [grantor for grantor in grantors if self._ask_at.get(grantor, now) <= now]

    def request(self, grantor: NodeId, now: float) -> GrantRequest:
        """Return the question for a grantor, which is sent now."""
        number = self._next_number
        self._next_number += 1
        asked = self._asked.setdefault(grantor, {})
        asked[number] = now
        if len(asked) > _QUESTIONS_KEPT:
            del asked[min(asked)]
        self._ask_at[grantor] = now + REQUEST_INTERVAL
        held = self._held.get(grantor)
        return GrantRequest(number, NO_GRANT if held is None else held.number)

    def handle_grant(self, grantor: NodeId, grant: Grant, now: float) -> None:
        """Take an answer. One that nobody asked for, or an older one, changes nothing."""
        asked_at = self._asked.get(grantor, {}).pop(grant.answers, None)
        former = self._held.get(grantor)
        if asked_at is None or not grant.part > 0.0:
            return
        if former is not None and former.asked_at > asked_at:
            return
        bars = tuple(_held_bar(bar, now) for bar in grant.blocking)
        part = min(1.0, grant.part)
        held = _Held(grant.number, grant.counting, part, grant.parts, bars, asked_at)
        self._held[grantor] = held
        self._sum = _NOTHING
        if former is None or former.number != held.number:
            # The grantor bars others until it hears that the former grant is used no more.
            self._ask_at[grantor] = now
        elif bars:
            again_at = now + BARRED_ASK_SECONDS
            self._ask_at[grantor] = min(self._ask_at.get(grantor, again_at), again_at)

    def request_all_again(self) -> None:
        """Ask every grantor next time: who counts, or who grants, is another one."""
        self._ask_at.clear()

    def release_all(self) -> list[tuple[NodeId, GrantReturned]]:
        """Count by nothing any more; return the grantors that are to hear of it, and what."""
        returned = [(grantor, GrantReturned(held.number)) for grantor, held in self._held.items()]
        self._held.clear()
        self._asked.clear()
        self._ask_at.clear()
        self._sum = _NOTHING
        return returned

    # Shares.

    def share(self, tenant: TenantId, known_parts: int, now: float) -> float:
        """Return the part of a tenant's limit that this node counts by, 0 to 1.

        `known_parts`: into how many parts limits are divided, as far as this node knows.
        """
        if now >= self._sum.until:
            self._sum = self._add_up(now)
        parts = sum(
            part
            for counting, part in self._sum.parts.items()
            if counting_node(tenant, counting) == self._node
        )
        parts += sum(held.part for held in self._sum.barred if self._is_lent(held, tenant, now))
        return min(1.0, parts / max(1, known_parts, self._sum.divided_into))

    def _is_lent(self, held: _Held, tenant: TenantId, now: float) -> bool:
        if counting_node(tenant, held.counting) != self._node:
            return False
        return not any(
            bar.until > now and counting_node(tenant, bar.counting) == bar.holder
            for bar in held.bars
        )

    def _add_up(self, now: float) -> _Sum:
        self._drop_lapsed(now)
        parts: dict[Counting, float] = {}
        barred: list[_Held] = []
        for held in self._held.values():
            if held.bars:
                barred.append(held)
            else:
                parts[held.counting] = parts.get(held.counting, 0.0) + held.part
        until = min((held.until for held in self._held.values()), default=float("inf"))
        return _Sum(parts, tuple(barred), max(self._told_parts(), default=1), until)

    def _told_parts(self) -> Iterator[int]:
        return (held.grant_parts for held in self._held.values())

    def _drop_lapsed(self, now: float) -> None:
        for grantor, held in list(self._held.items()):
            if held.until <= now:
                del self._held[grantor]


def _held_bar(bar: BlockingGrant, now: float) -> _HeldBar:
    """Return a bar that begins now. One whose time is no number holds until the next answer."""
    seconds = bar.seconds if math.isfinite(bar.seconds) else math.inf
    return _HeldBar(bar.holder, bar.counting, now + seconds)
