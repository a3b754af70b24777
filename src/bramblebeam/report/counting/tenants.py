"""Adds up, by second and over all nodes, the operations of tenants that reached their limits."""

from collections import Counter
from collections.abc import Iterator
from typing import NamedTuple

from bramblebeam.report.counting.bounded import BoundedTable
from bramblebeam.report.reading.lines import Record

SPAN_SECONDS = 5
"""A limit is a rate plus a burst, so operations are compared with it over spans of this length."""
MAXIMUM_TENANTS = 1_000
MAXIMUM_SECONDS = 3_600
"""Per tenant; further seconds are left out."""
OTHERS = "others"
COUNT_FIELDS = ("counted", "refused", "returned", "uncounted", "sent")
"""Fields of event 1127 that are added up. `returned`: operations refunded to the limit."""


class WorstSpan(NamedTuple):
    """The span in which most operations of a tenant were sent to databases.

    `begin`: seconds since the epoch. `counted`: without refunded operations. `allowed`: by the
    limit that was reported last in the span, None if no node knew one.
    """

    begin: int
    sent: int
    counted: int
    allowed: float | None


class TenantCount:
    """One tenant's operations over all nodes. Nodes are given by the numbers of their streams."""

    def __init__(self) -> None:
        self.totals: Counter[str] = Counter()
        self.counting_nodes: set[int] = set()
        self.running_nodes: set[int] = set()
        self._seconds: dict[int, Counter[str]] = {}
        self._allowed: dict[int, float] = {}

    def add_sample(self, stream: int, record: Record) -> None:
        """Add a node's event 1127, which reports on the second before it."""
        second = int(record.time) - 1
        if second not in self._seconds and len(self._seconds) >= MAXIMUM_SECONDS:
            return
        counts = self._seconds.setdefault(second, Counter())
        for field in COUNT_FIELDS:
            operations = int(record.number_field(field) or 0)
            counts[field] += operations
            self.totals[field] += operations
        if record.number_field("counted") or record.number_field("refused"):
            self.counting_nodes.add(stream)
        if record.number_field("sent"):
            self.running_nodes.add(stream)
        rate, burst = record.number_field("rate"), record.number_field("burst")
        if rate is not None and burst is not None:
            self._allowed[second] = rate * SPAN_SECONDS + burst

    def worst_span(self) -> WorstSpan:
        """Return the worst of the spans that begin with a reported second."""
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
    """All tenants that reached their limits."""

    def __init__(self) -> None:
        self._tenants: BoundedTable[str, TenantCount] = BoundedTable(
            TenantCount, OTHERS, MAXIMUM_TENANTS
        )

    def handle_rate_sample(self, stream: int, record: Record) -> None:
        """Handle event 1127."""
        self._tenants.get_or_create(record.text_field("tenant")).add_sample(stream, record)

    def all(self) -> Iterator[tuple[str, TenantCount]]:
        """Yield the tenants ordered by name."""
        yield from sorted(self._tenants.values.items())
