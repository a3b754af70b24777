"""What tenants that met their limits asked for, added up over all nodes by the second."""

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from bramblebeam.report.counting.bounded import BoundedTable
from bramblebeam.report.reading.lines import Record

SPAN_SECONDS = 5
"""A limit is a rate and what may be saved up; it is judged in spans of so many seconds."""
MAXIMUM_TENANTS = 1_000
MAXIMUM_SECONDS = 3_600
"""Of one tenant; what comes later is left out."""
OTHERS = "others"
PARTS = ("counted", "refused", "returned", "uncounted", "sent")


class WorstSpan(NamedTuple):
    """The span in which most operations of a tenant were sent to databases.

    `begin`: seconds of the epoch. `counted`: less those returned. `allowed`: by the limit told last
    in it, None where no node knew one.
    """

    begin: int
    sent: int
    counted: int
    allowed: float | None


class TenantCount:
    """One tenant, over all nodes."""

    def __init__(self) -> None:
        self.totals: Counter[str] = Counter()
        self.counting_nodes: set[int] = set()
        self.running_nodes: set[int] = set()
        self._seconds: dict[int, Counter[str]] = {}
        self._allowed: dict[int, float] = {}

    def take(self, stream: int, record: Record) -> None:
        """Count 1127 of one node. It tells of the second before it."""
        second = int(record.time) - 1
        if second not in self._seconds and len(self._seconds) >= MAXIMUM_SECONDS:
            return
        counts = self._seconds.setdefault(second, Counter())
        for part in PARTS:
            told = int(record.number(part) or 0)
            counts[part] += told
            self.totals[part] += told
        if record.number("counted") or record.number("refused"):
            self.counting_nodes.add(stream)
        if record.number("sent"):
            self.running_nodes.add(stream)
        rate, burst = record.number("rate"), record.number("burst")
        if rate is not None and burst is not None:
            self._allowed[second] = rate * SPAN_SECONDS + burst

    def worst_span(self) -> WorstSpan:
        """Return the worst span that begins with one of the seconds that were told of."""
        return max(map(self._span, sorted(self._seconds)), key=lambda span: span.sent)

    def _span(self, begin: int) -> WorstSpan:
        seconds = range(begin, begin + SPAN_SECONDS)
        counts = [self._seconds[second] for second in seconds if second in self._seconds]
        allowed = [self._allowed[second] for second in seconds if second in self._allowed]
        return WorstSpan(
            begin,
            sum(count["sent"] for count in counts),
            sum(count["counted"] - count["returned"] for count in counts),
            allowed[-1] if allowed else None,
        )


class TenantCounts:
    """All tenants that met their limits."""

    def __init__(self) -> None:
        self._tenants: BoundedTable[str, TenantCount] = BoundedTable(
            TenantCount, OTHERS, MAXIMUM_TENANTS
        )

    def handle_rate_sample(self, stream: int, record: Record) -> None:
        """Take 1127."""
        self._tenants.at(record.word("tenant")).take(stream, record)

    def all(self) -> Iterator[tuple[str, TenantCount]]:
        """Yield the tenants by name."""
        yield from sorted(self._tenants.values.items())
