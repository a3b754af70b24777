"""Aggregates with a bounded number of keys, since keys come from untrusted files."""

from collections import Counter
from collections.abc import Callable, Hashable
from math import ceil, log2
from typing import Generic, NamedTuple, TypeVar

Key = TypeVar("Key", bound=Hashable)
Value = TypeVar("Value")

BINS_PER_OCTAVE = 8


class BoundedTable(Generic[Key, Value]):
    """Values by key. Once `maximum` keys exist, all new keys share the key `others`."""

    def __init__(self, make: Callable[[], Value], others: Key, maximum: int) -> None:
        self.values: dict[Key, Value] = {}
        self._make = make
        self._others = others
        self._maximum = maximum

    def get_or_create(self, key: Key) -> Value:
        """Return the value of a key, creating it if necessary."""
        value = self.values.get(key)
        if value is not None:
            return value
        if len(self.values) >= self._maximum:
            return self.values.setdefault(self._others, self._make())
        return self.values.setdefault(key, self._make())


class DurationHistogram:
    """Durations (milliseconds) in exponential bins; each bound is 9% above the previous one."""

    def __init__(self) -> None:
        self.count = 0
        self.total_ms = 0.0
        self.longest_ms = 0.0
        self._bins: Counter[int] = Counter()

    def add(self, milliseconds: float) -> None:
        """Add one duration; negative ones count as 0."""
        duration_ms = max(0.0, milliseconds)
        self.count += 1
        self.total_ms += duration_ms
        self.longest_ms = max(self.longest_ms, duration_ms)
        self._bins[ceil(log2(duration_ms) * BINS_PER_OCTAVE) if duration_ms > 1 else 0] += 1

    def merge(self, other: "DurationHistogram") -> None:
        """Add the durations of another histogram."""
        self.count += other.count
        self.total_ms += other.total_ms
        self.longest_ms = max(self.longest_ms, other.longest_ms)
        self._bins.update(other._bins)

    def quantile_bound_ms(self, share: float) -> float:
        """Return an upper bound of the quantile `share` (0 to 1); 0 without durations."""
        needed = share * self.count
        for number in sorted(self._bins):
            needed -= self._bins[number]
            if needed <= 0:
                bound: float = 2.0 ** (number / BINS_PER_OCTAVE)
                return min(self.longest_ms, bound)
        return self.longest_ms


class SeriesBin(NamedTuple):
    """Count of one key in one bin of a time series. `begin`: seconds since the epoch."""

    begin: float
    key: str
    times: int


class TimeSeries:
    """Counts by second and key. In a long run, bins are merged to twice the width as needed."""

    MAXIMUM_BINS = 1_200
    """Per key."""
    MAXIMUM_KEYS = 40
    OTHERS = "others"

    def __init__(self) -> None:
        self.width = 1
        self._counts: dict[str, dict[int, int]] = {}

    def add(self, time: float, key: str) -> None:
        """Count one occurrence at a time (seconds since the epoch)."""
        counts = self._counts.get(key)
        if counts is None:
            counts = self._new_key(key)
        number = int(time) // self.width
        counts[number] = counts.get(number, 0) + 1
        if len(counts) > self.MAXIMUM_BINS:
            self._widen()

    def widen_to(self, width: int) -> None:
        """Double the bins' width until it is at least `width` (seconds)."""
        while self.width < width:
            self._double()

    def bins(self) -> list[SeriesBin]:
        """Return the bins ordered by time."""
        found = [
            SeriesBin(number * self.width, key, count)
            for key, counts in self._counts.items()
            for number, count in counts.items()
        ]
        return sorted(found)

    def _new_key(self, key: str) -> dict[int, int]:
        name = key if len(self._counts) < self.MAXIMUM_KEYS else self.OTHERS
        return self._counts.setdefault(name, {})

    def _widen(self) -> None:
        """Double the width until no key exceeds the maximum number of bins."""
        while any(len(counts) > self.MAXIMUM_BINS for counts in self._counts.values()):
            self._double()

    def _double(self) -> None:
        self.width *= 2
        self._counts = {key: _merge_pairs(counts) for key, counts in self._counts.items()}


def _merge_pairs(counts: dict[int, int]) -> dict[int, int]:
    merged: dict[int, int] = {}
    for number, count in counts.items():
        merged[number // 2] = merged.get(number // 2, 0) + count
    return merged
