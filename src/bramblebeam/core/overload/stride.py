"""Turns by shares of time: who has had least for its weight is next (stride scheduling)."""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

MOST_RESTING = 1_000
"""Keys that have nothing to do, but whose last turns still count."""


class StrideScheduler(Generic[Key]):
    """Keys that wait for turns, each with a weight.

    A key's `pass` grows by what its turns cost, divided by its weight; the smallest one is next.
    A key that comes back after a rest begins where the others are: a rest saves nothing up.
    """

    def __init__(self) -> None:
        self._weights: dict[Key, float] = {}
        self._passes: dict[Key, float] = {}
        self._order: list[tuple[float, int, Key]] = []
        self._entries = 0
        self._virtual = 0.0

    def __len__(self) -> int:
        return len(self._weights)

    def __contains__(self, key: Key) -> bool:
        return key in self._weights

    def add(self, key: Key, weight: float) -> None:
        """Let a key wait that does not yet."""
        self._weights[key] = weight
        self._passes[key] = max(self._virtual, self._passes.get(key, 0.0))
        self._push(key)

    def remove(self, key: Key) -> None:
        """Take a key out that has nothing to do any more."""
        del self._weights[key]
        if not self._weights:
            # Nobody waited for a turn that another one took: nothing is owed.
            self._passes.clear()
            self._order.clear()
            self._virtual = 0.0
        elif len(self._passes) > MOST_RESTING + len(self._weights):
            self._passes = {
                known: turn
                for known, turn in self._passes.items()
                if known in self._weights or turn > self._virtual
            }

    def next(self) -> Key:
        """Return whose turn it is; there must be one."""
        while True:
            turn, _, key = self._order[0]
            if key in self._weights and self._passes[key] == turn:
                self._virtual = turn
                return key
            heapq.heappop(self._order)

    def charge(self, key: Key, cost: float) -> None:
        """Count a turn that costs so much (seconds) for a key that waits."""
        self._passes[key] += cost / self._weights[key]
        self._push(key)

    def _push(self, key: Key) -> None:
        self._entries += 1
        heapq.heappush(self._order, (self._passes[key], self._entries, key))
