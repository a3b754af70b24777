"""Aggregates the counters of many nodes' metrics texts."""

from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import pairwise
from typing import NamedTuple

from bramblebeam.report.model import Answered, MetricsFigures, ReasonCount, Took
from bramblebeam.report.reading.metrics_text import MetricsText, Series

REQUESTS = "bramblebeam_requests_total"
SECONDS_BUCKET = "bramblebeam_request_seconds_bucket"
SECONDS_COUNT = "bramblebeam_request_seconds_count"
SECONDS_SUM = "bramblebeam_request_seconds_sum"
FAILED_ATTEMPTS = "bramblebeam_failed_attempts_total"
READS = "bramblebeam_reads_total"
LEADER_CHANGES = "bramblebeam_leader_changes_total"
ORDER_BROKEN = "bramblebeam_session_order_broken_total"


class RequestKind(NamedTuple):
    """Labels by which latencies are aggregated."""

    consistency: str
    action: str


class Bucket(NamedTuple):
    """Cumulative histogram bucket: the statements that took at most `bound` seconds."""

    bound: float
    statements: float


def aggregate_metrics(texts: Iterable[MetricsText]) -> MetricsFigures | None:
    """Return the figures over all nodes, or None if there are no texts."""
    totals: Counter[Series] = Counter()
    files = 0
    passed_over = 0
    for text in texts:
        files += 1
        passed_over += text.passed_over
        for series, value in text.counters.items():
            totals[series] += value  # type: ignore[assignment]
    return _figures(_Totals(totals), files, passed_over) if files else None


class _Totals:
    """Sums over all nodes by series."""

    def __init__(self, totals: Counter[Series]) -> None:
        self._totals = totals

    def series_of(self, name: str) -> Iterator[tuple[Series, float]]:
        for series, value in sorted(self._totals.items()):
            if series.name == name:
                yield series, float(value)

    def total(self, name: str) -> float:
        return sum(value for _, value in self.series_of(name))


def _figures(totals: _Totals, files: int, passed_over: int) -> MetricsFigures:
    statements = totals.total(REQUESTS)
    failed = totals.total(FAILED_ATTEMPTS)
    reads = {series.label("role"): value for series, value in totals.series_of(READS)}
    replica, primary = reads.get("replica", 0.0), reads.get("primary", 0.0)
    return MetricsFigures(
        files=files,
        passed_over=passed_over,
        answered=tuple(_answered(series, value) for series, value in totals.series_of(REQUESTS)),
        took=tuple(_latencies(totals)),
        failed_attempts=tuple(
            ReasonCount(series.label("reason"), int(value))
            for series, value in totals.series_of(FAILED_ATTEMPTS)
        ),
        failed_attempts_a_statement=failed / statements if statements else None,
        replica_reads=int(replica),
        primary_reads=int(primary),
        replica_read_share=replica / (replica + primary) if replica + primary else None,
        leader_changes=int(totals.total(LEADER_CHANGES)),
        session_order_broken=int(totals.total(ORDER_BROKEN)),
    )


def _answered(series: Series, value: float) -> Answered:
    kind = _request_kind(series)
    return Answered(kind.consistency, kind.action, series.label("outcome"), int(value))


def _latencies(totals: _Totals) -> Iterator[Took]:
    sums = {_request_kind(series): value for series, value in totals.series_of(SECONDS_SUM)}
    buckets: dict[RequestKind, list[Bucket]] = {}
    for series, value in totals.series_of(SECONDS_BUCKET):
        bound = float(series.label("le"))
        buckets.setdefault(_request_kind(series), []).append(Bucket(bound, value))
    for series, count in totals.series_of(SECONDS_COUNT):
        kind = _request_kind(series)
        seconds = sums.get(kind, 0.0)
        own_buckets = sorted(buckets.get(kind, []))
        yield Took(
            consistency=kind.consistency,
            action=kind.action,
            statements=int(count),
            seconds=seconds,
            mean_ms=1000 * seconds / count if count else 0.0,
            p50_at_most_ms=_bound_ms(own_buckets, 0.5 * count),
            p99_at_most_ms=_bound_ms(own_buckets, 0.99 * count),
            slowest_at_most_ms=_bound_ms(own_buckets, count),
        )


def _request_kind(series: Series) -> RequestKind:
    return RequestKind(series.label("consistency"), series.label("action"))


def _bound_ms(buckets: list[Bucket], needed: float) -> float | None:
    """Return the bound of the first bucket with `needed` statements; None if that is infinite."""
    from_zero = [Bucket(0.0, 0.0), *buckets]
    for former, bucket in pairwise(from_zero):
        if bucket.statements >= needed and bucket.statements > former.statements:
            return None if bucket.bound == float("inf") else 1000 * bucket.bound
    return None
