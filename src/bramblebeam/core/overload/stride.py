"""Stride scheduling: the key that has used the least time for its weight is next."""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)

MAX_INACTIVE_KEYS = 1_000
"""Inactive keys whose passes are kept, as their last turns still count."""


class StrideScheduler(Generic[Key]):
    """Keys that wait for turns, each with a weight.

    A key's `pass` grows by the cost of its turns divided by its weight; the lowest pass is next. A
    key that returns after a pause starts at the current virtual time: it saves up nothing.
    """

    def __init__(self) -> None:
        self._weights: dict[Key, float] = {}
        self._passes: dict[Key, float] = {}
        self._order: list[tuple[float, int, Key]] = []
        self._sequence = 0
        self._virtual_time = 0.0

    def __len__(self) -> int:
        return len(self._weights)

    def __contains__(self, key: Key) -> bool:
        return key in self._weights

    def add(self, key: Key, weight: float) -> None:
        """Activate a key that is not active yet."""
        self._weights[key] = weight
        self._passes[key] = max(self._virtual_time, self._passes.get(key, 0.0))
        self._push(key)

    def remove(self, key: Key) -> None:
        """Deactivate a key that has no more work."""
        del self._weights[key]
        if not self._weights:
            # No key waited while another had its turn: there is no debt to keep.
            self._passes.clear()
            self._order.clear()
            self._virtual_time = 0.0
        elif len(self._passes) > MAX_INACTIVE_KEYS + len(self._weights):
            self._passes = {
                known: key_pass
                for known, key_pass in self._passes.items()
                if known in self._weights or key_pass > self._virtual_time
            }

    def next(self) -> Key:
        """Return the key whose turn it is; there must be an active key."""
        while True:
            key_pass, _, key = self._order[0]
            if key in self._weights and self._passes[key] == key_pass:
                self._virtual_time = key_pass
                return key
            heapq.heappop(self._order)

    def charge(self, key: Key, cost: float) -> None:
        """Charge a turn of `cost` seconds to an active key."""
        self._passes[key] += cost / self._weights[key]
        self._push(key)

    def _push(self, key: Key) -> None:
        self._sequence += 1
        heapq.heappush(self._order, (self._passes[key], self._sequence, key))
