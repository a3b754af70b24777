"""Counters and latency histograms of the gateway, exported as text for a metrics endpoint.

Values are kept as plain numbers and converted to the Prometheus format on request: importing its
library takes a tenth of the time of everything else that a node needs to start.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import accumulate
from typing import TYPE_CHECKING, NamedTuple

from bramblebeam.core.overload.admission import AdmissionRecords, RefusalCause
from bramblebeam.core.revision import Revision
from bramblebeam.core.role import Role
from bramblebeam.services.gateway.tenant_records import TenantRecords

if TYPE_CHECKING:
    from prometheus_client.core import (
        CounterMetricFamily,
        GaugeMetricFamily,
        HistogramMetricFamily,
        Metric,
    )

_BUCKETS = (0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6, 1.0, 2.0, 4.0)
"""Upper bounds of the latency buckets (seconds); a last bucket holds longer times."""
SESSION_ORDER_CHECKS = ("floor", "answer", "commit")
"""All are exported from the start: an alert on an increase needs the zero before it."""


class _Answered(NamedTuple):
    """The labels of the counter of answered statements."""

    consistency: str
    action: str
    outcome: str


class _Kind(NamedTuple):
    """The labels of the latency histogram."""

    consistency: str
    action: str


class _Latencies:
    """The latency histogram of the statements of one kind."""

    def __init__(self) -> None:
        self.counts = [0] * (len(_BUCKETS) + 1)
        self.total = 0.0

    def observe(self, seconds: float) -> None:
        self.counts[bisect_left(_BUCKETS, seconds)] += 1
        self.total += seconds


class ListState(NamedTuple):
    """A node's copy of one list of the store. `age`: since the store confirmed it (seconds)."""

    name: str
    revision: Revision
    age: float


class StoreState(NamedTuple):
    """The followed lists of the store, and the version of the routes in force."""

    lists: tuple[ListState, ...] = ()
    routes_version: int = 0


class GatewayMetrics:
    """The metrics of one node. Label values are enumerations only, so that they are bounded.

    `store_state` returns the state of the followed lists, `awaited_logs` the number of logs that
    this node's changes of primary wait for; they are called for each export.
    """

    def __init__(self) -> None:
        self.store_state: Callable[[], StoreState] = StoreState
        self.awaited_logs: Callable[[], int] = int
        self._requests: Counter[_Answered] = Counter()
        self._latencies: dict[_Kind, _Latencies] = {}
        self._failed_attempts: Counter[str] = Counter()
        self._replica_reads = 0
        self._primary_reads = 0
        self._leader_changes = 0
        self._ejections: Counter[str] = Counter()
        self._reads_forwarded = 0
        self._session_order_violations = Counter(dict.fromkeys(SESSION_ORDER_CHECKS, 0))
        self.admission = AdmissionRecords()
        self.tenants = TenantRecords()
        self._refused_early = Counter({cause.value: 0 for cause in RefusalCause})
        self._withdrawn = Counter({"waiting": 0, "begun": 0})
        self._second_attempts_denied = 0

    def answered(self, consistency: str, action: str, outcome: str, seconds: float) -> None:
        """Count one statement."""
        self._requests[_Answered(consistency, action, outcome)] += 1
        self._latencies.setdefault(_Kind(consistency, action), _Latencies()).observe(seconds)

    def attempt_failed(self, reason: str) -> None:
        """Count one failed attempt."""
        self._failed_attempts[reason] += 1

    def read_served(self, role: Role) -> None:
        """Count one read outside transactions, by the role of the database that served it."""
        if role is Role.REPLICA:
            self._replica_reads += 1
        else:
            self._primary_reads += 1

    def database_ejected(self, cause: str) -> None:
        """Count one ejection of a database from reads (`cause`)."""
        self._ejections[cause] += 1

    def read_forwarded(self) -> None:
        """Count one read that was forwarded to another region's database."""
        self._reads_forwarded += 1

    def leader_changed(self) -> None:
        """Count one change of a group's leader, as seen by this node."""
        self._leader_changes += 1

    def session_order_violated(self, where: str) -> None:
        """Count a floor, an answer or a commit behind what its session has observed (`where`)."""
        self._session_order_violations[where] += 1

    def refused_early(self, cause: RefusalCause) -> None:
        """Count a statement that was refused on arrival."""
        self._refused_early[cause.value] += 1

    def withdrawn(self, begun: bool) -> None:
        """Count a forwarded statement that was withdrawn (`begun`: a database had received it)."""
        self._withdrawn["begun" if begun else "waiting"] += 1

    def second_attempt_denied(self) -> None:
        """Count a statement that was not retried."""
        self._second_attempts_denied += 1

    def text(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics (the collector interface of Prometheus)."""
        yield self._request_family()
        yield self._latency_family()
        yield self._counter(
            "bramblebeam_failed_attempts",
            "Attempts at a database that did not serve a statement.",
            ("reason",),
            {(reason,): count for reason, count in self._failed_attempts.items()},
        )
        yield self._counter(
            "bramblebeam_reads",
            "Reads outside transactions answered, by the role of the database that served them.",
            ("role",),
            {("replica",): self._replica_reads, ("primary",): self._primary_reads},
        )
        yield self._counter(
            "bramblebeam_database_ejections",
            "Times that a database got no reads for a while, as those sent there fared badly.",
            ("cause",),
            {(cause,): count for cause, count in self._ejections.items()},
        )
        yield self._counter(
            "bramblebeam_reads_passed_on",
            "Reads that were sent to a database of another region.",
            (),
            {(): self._reads_forwarded},
        )
        yield self._counter(
            "bramblebeam_leader_changes",
            "Times that another leader of a group was proven.",
            (),
            {(): self._leader_changes},
        )
        yield self._counter(
            "bramblebeam_session_order_broken",
            "Floors, answers and commits behind what their session has observed.",
            ("where",),
            {(where,): count for where, count in self._session_order_violations.items()},
        )
        yield self._counter(
            "bramblebeam_operations",
            "Operations of tenants that were counted here, or sent to databases from here.",
            ("part",),
            {(part.value,): count for part, count in self.tenants.totals.items()},
        )
        yield from self._load_families()
        yield from self._store_families()

    def _store_families(self) -> Iterator[GaugeMetricFamily]:
        """Yield revisions and ages of the lists; nodes that differ follow the store badly."""
        from prometheus_client.core import GaugeMetricFamily

        state, labels = self.store_state(), ("list",)
        era = GaugeMetricFamily("bramblebeam_list_era", "Era of the store's list.", labels=labels)
        number = GaugeMetricFamily(
            "bramblebeam_list_revision", "Revision of the list, within its era.", labels=labels
        )
        age = GaugeMetricFamily(
            "bramblebeam_list_age_seconds",
            "Time since the store confirmed the list.",
            labels=labels,
        )
        for found in state.lists:
            era.add_metric((found.name,), found.revision.era)
            number.add_metric((found.name,), found.revision.number)
            age.add_metric((found.name,), found.age)
        yield from (era, number, age)
        version = GaugeMetricFamily("bramblebeam_routes_version", "Version of the routes in force.")
        version.add_metric((), state.routes_version)
        yield version
        awaited = GaugeMetricFamily(
            "bramblebeam_awaited_logs",
            "Logs with acknowledged commits that changes of primary wait for.",
        )
        awaited.add_metric((), self.awaited_logs())
        yield awaited

    def _load_families(self) -> Iterator[CounterMetricFamily]:
        """Yield the counters of decisions under load."""
        figures = self.admission.counts()
        yield self._counter(
            "bramblebeam_refused_early",
            "Statements refused as they arrived.",
            ("cause",),
            {(cause,): count for cause, count in self._refused_early.items()},
        )
        yield self._counter(
            "bramblebeam_refused_wrongly",
            "Of those, such as a database would have had room for in time.",
            (),
            {(): figures.wrong_refusals},
        )
        yield self._counter(
            "bramblebeam_held_in_vain",
            "Statements refused after a quarter and more of the time in which they were wanted.",
            (),
            {(): figures.wasted_waits},
        )
        yield self._counter(
            "bramblebeam_withdrawn",
            "Forwarded statements that nobody waited for any more.",
            ("state",),
            {(state,): count for state, count in self._withdrawn.items()},
        )
        yield self._counter(
            "bramblebeam_second_attempts_denied",
            "Statements that were not tried again under load.",
            (),
            {(): self._second_attempts_denied},
        )

    def _request_family(self) -> CounterMetricFamily:
        return self._counter(
            "bramblebeam_requests", "Statements answered.", _Answered._fields, self._requests
        )

    def _latency_family(self) -> HistogramMetricFamily:
        from prometheus_client.core import HistogramMetricFamily

        family = HistogramMetricFamily(
            "bramblebeam_request_seconds",
            "Time from a statement's arrival to its answer.",
            labels=_Kind._fields,
        )
        bounds = [*map(str, _BUCKETS), "+Inf"]
        for kind, found in self._latencies.items():
            buckets = list(zip(bounds, accumulate(found.counts), strict=True))
            family.add_metric(kind, buckets, found.total)
        return family

    @staticmethod
    def _counter(
        name: str,
        text: str,
        labels: tuple[str, ...],
        counts: Counter[_Answered] | dict[tuple[str, ...], int],
    ) -> CounterMetricFamily:
        from prometheus_client.core import CounterMetricFamily

        family = CounterMetricFamily(name, text, labels=labels)
        for values, count in counts.items():
            family.add_metric(values, count)
        return family
