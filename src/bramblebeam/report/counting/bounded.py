"""Counts whose number of keys is bounded, as keys come from files."""

from collections import Counter
from collections.abc import Callable, Hashable
from math import ceil, log2
from typing import Generic, NamedTuple, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")

BINS_AN_OCTAVE = 8


class BoundedTable(Generic[Key, Value]):
    """Values by key. Past the bound every new key is the one for all others."""

    def __init__(self, make: Callable[[], Value], others: Key, maximum: int) -> None:
        self.values: dict[Key, Value] = {}
        self._make = make
        self._others = others
        self._maximum = maximum

    def at(self, key: Key) -> Value:
        """Return the value of a key, making it."""
        found = self.values.get(key)
        if found is not None:
            return found
        if len(self.values) >= self._maximum:
            return self.values.setdefault(self._others, self._make())
        return self.values.setdefault(key, self._make())


class DurationHistogram:
    """How long things took (milliseconds), in bins of which each is 9% longer than the last."""

    def __init__(self) -> None:
        self.count = 0
        self.total_ms = 0.0
        self.longest_ms = 0.0
        self._bins: Counter[int] = Counter()

    def add(self, milliseconds: float) -> None:
        """Count one duration."""
        taken = max(0.0, milliseconds)
        self.count += 1
        self.total_ms += taken
        self.longest_ms = max(self.longest_ms, taken)
        self._bins[ceil(log2(taken) * BINS_AN_OCTAVE) if taken > 1 else 0] += 1

    def join(self, other: "Durations") -> None:
        """Add what another one counted."""
        self.count += other.count
        self.total_ms += other.total_ms
        self.longest_ms = max(self.longest_ms, other.longest_ms)
        self._bins.update(other._bins)

    def quantile_bound_ms(self, share: float) -> float:
        """Return a bound that `share` of the durations keep; 0 where there is none."""
        needed = share * self.count
        for number in sorted(self._bins):
            needed -= self._bins[number]
            if needed <= 0:
                bound: float = 2.0 ** (number / BINS_AN_OCTAVE)
                return min(self.longest_ms, bound)
        return self.longest_ms


class Moment(NamedTuple):
    """One bin of a time line (seconds of the epoch) and what was counted there."""

    begin: float
    key: str
    times: int


class TimeSeries:
    """Counts by second and key; seconds are joined to longer bins in a run that is long."""

    MAXIMUM_BINS = 1_200
    """Of one key."""
    MAXIMUM_KEYS = 40
    OTHERS = "others"

    def __init__(self) -> None:
        self.width = 1
        self._counts: dict[str, dict[int, int]] = {}

    def add(self, time: float, key: str) -> None:
        """Count one thing at a time (seconds of the epoch)."""
        counts = self._counts.get(key)
        if counts is None:
            counts = self._new_key(key)
        number = int(time) // self.width
        counts[number] = counts.get(number, 0) + 1
        if len(counts) > self.MAXIMUM_BINS:
            self._widen()

    def widen_to(self, width: int) -> None:
        """Join bins until they are as wide as those of another time line."""
        while self.width < width:
            self._double()

    def bins(self) -> list[Moment]:
        """Return the bins in order."""
        found = [
            Moment(number * self.width, key, count)
            for key, counts in self._counts.items()
            for number, count in counts.items()
        ]
        return sorted(found)

    def _new_key(self, key: str) -> dict[int, int]:
        name = key if len(self._counts) < self.MAXIMUM_KEYS else self.OTHERS
        return self._counts.setdefault(name, {})

    def _widen(self) -> None:
        """Double the width until every key has room."""
        while any(len(counts) > self.MAXIMUM_BINS for counts in self._counts.values()):
            self._double()

    def _double(self) -> None:
        self.width *= 2
        self._counts = {key: _halved(counts) for key, counts in self._counts.items()}


def _halved(counts: dict[int, int]) -> dict[int, int]:
    joined: dict[int, int] = {}
    for number, count in counts.items():
        joined[number // 2] = joined.get(number // 2, 0) + count
    return joined
