"""Builds the report from the aggregates."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from datetime import UTC, datetime
from pathlib import Path

from bramblebeam.events.catalogue import CATALOGUE
from bramblebeam.report.counting.bounded import DurationHistogram, TimeSeries
from bramblebeam.report.counting.leaders import GroupTerm, TermCount
from bramblebeam.report.counting.lives import NodeIncarnation
from bramblebeam.report.counting.metrics import aggregate_metrics
from bramblebeam.report.counting.run import RunCounts
from bramblebeam.report.counting.statements import RefusedKind
from bramblebeam.report.model import (
    AttemptNumber,
    CutOff,
    ErrorLines,
    FailedAttempts,
    ForwardFailures,
    InstanceAttempts,
    Interruption,
    LeaderChange,
    LeftOut,
    MetricsFigures,
    NodeStart,
    Order,
    Refused,
    Restarted,
    RunReport,
    SecondCount,
    TenantAtLimit,
    Waiting,
)
from bramblebeam.report.reading.metrics_text import read_metrics

WRITE_ACTIONS = ("write", "commit")


def build_report(logs: Sequence[Path], metrics: Sequence[Path]) -> RunReport:
    """Read logs and metrics texts, each file once, and report. Raises UnreadableError."""
    counts = RunCounts()
    for path in dict.fromkeys(logs):
        counts.read_log(path)
    figures = aggregate_metrics(read_metrics(path) for path in dict.fromkeys(metrics))
    return _Builder(counts).report(figures)


class _Builder:
    """Converts the aggregates to the parts of a report."""

    def __init__(self, counts: RunCounts) -> None:
        self._counts = counts
        self._nodes = [stream.node for stream in counts.streams]

    def report(self, metrics: MetricsFigures | None) -> RunReport:
        counts = self._counts
        bin_seconds = counts.times.align_bins()
        refused = tuple(self._refused())
        starts = tuple(self._starts())
        return RunReport(
            begins=datetime.fromtimestamp(counts.first_time, UTC).isoformat(),
            seconds=counts.last_time - counts.first_time,
            logs=counts.files,
            nodes=len(set(self._nodes)),
            lines=counts.lines,
            bin_seconds=bin_seconds,
            passed_over=tuple(counts.passed_over),
            left_out=tuple(self._left_out()),
            starts=starts,
            restarted=tuple(_restarted(starts)),
            refused=refused,
            refused_by_second=tuple(self._seconds(counts.times.refused)),
            attempts=tuple(self._attempts()),
            attempts_by_instance=tuple(self._attempts_by_instance()),
            attempts_by_second=tuple(self._seconds(counts.times.attempts)),
            attempt_numbers=tuple(self._attempt_numbers()),
            forward_failures=tuple(self._forward_failures()),
            changes=tuple(self._changes()),
            interruptions=tuple(self._interruptions()),
            orders=tuple(self._orders()),
            cut_offs=tuple(self._cut_offs()),
            tenants=tuple(self._tenants()),
            errors=tuple(self._errors()),
            waiting=_waiting(refused, metrics),
            metrics=metrics,
        )

    def _since_first_line(self, time: float) -> float:
        return time - self._counts.first_time

    def _left_out(self) -> Iterator[LeftOut]:
        for number, lines in self._counts.problems.left_out.most_common():
            event = CATALOGUE.get(number)
            yield LeftOut(number, event.text if event is not None else "", lines)

    # Nodes.

    def _starts(self) -> Iterator[NodeStart]:
        incarnations = [
            incarnation
            for stream in self._counts.streams
            for incarnation in stream.incarnations.all()
        ]
        for incarnation in sorted(incarnations, key=_started_at):
            yield NodeStart(
                node=incarnation.node,
                zone=incarnation.zone,
                at=self._since_first_line(_started_at(incarnation)),
                accepting_seconds=_after_start(incarnation, incarnation.accepting_at),
                ready_seconds=_after_start(incarnation, incarnation.ready_at),
                leader_seconds=_after_start(incarnation, incarnation.leader_proven_at),
                stopped=incarnation.stopped,
            )

    # Statements.

    def _refused(self) -> Iterator[Refused]:
        totals: dict[tuple[RefusedKind, str], DurationHistogram] = {}
        for stream, node in zip(self._counts.streams, self._nodes, strict=True):
            zone = self._counts.zone(node)
            for kind, waited in stream.statements.refused.values.items():
                totals.setdefault((kind, zone), DurationHistogram()).merge(waited)
        most_first = sorted(totals.items(), key=lambda item: (-item[1].count, item[0]))
        for (kind, zone), waited in most_first:
            yield Refused(
                database=kind.database,
                zone=zone,
                action=kind.action,
                verdict=kind.verdict,
                reason=kind.reason,
                statements=waited.count,
                waited_seconds=waited.total_ms / 1000,
                p50_ms=waited.quantile_bound_ms(0.5),
                p99_ms=waited.quantile_bound_ms(0.99),
                longest_ms=waited.longest_ms,
            )

    def _attempts(self) -> Iterator[FailedAttempts]:
        totals: Counter[tuple[str, str, str]] = Counter()
        for stream, node in zip(self._counts.streams, self._nodes, strict=True):
            zone = self._counts.zone(node)
            for kind, total in stream.statements.attempts.values.items():
                totals[zone, kind.verdict, kind.reason] += total.count
        return (FailedAttempts(*key, count) for key, count in totals.most_common())

    def _attempts_by_instance(self) -> Iterator[InstanceAttempts]:
        totals: Counter[tuple[str, str]] = Counter()
        for stream in self._counts.streams:
            for kind, total in stream.statements.attempts.values.items():
                totals[kind.instance, kind.reason] += total.count
        return (InstanceAttempts(*key, count) for key, count in totals.most_common())

    def _attempt_numbers(self) -> Iterator[AttemptNumber]:
        totals: Counter[int] = Counter()
        for stream in self._counts.streams:
            totals.update(stream.statements.attempt_numbers)
        return (AttemptNumber(number, count) for number, count in sorted(totals.items()))

    def _forward_failures(self) -> Iterator[ForwardFailures]:
        totals: Counter[tuple[str, str, bool]] = Counter()
        for stream, node in zip(self._counts.streams, self._nodes, strict=True):
            zone = self._counts.zone(node)
            for kind, total in stream.statements.forwards.values.items():
                totals[zone, kind.group, kind.sent] += total.count
        return (ForwardFailures(*key, count) for key, count in totals.most_common())

    def _seconds(self, series: TimeSeries) -> Iterator[SecondCount]:
        """Yield the counts of a time series; the first bin may begin before the run."""
        for begin, key, count in series.bins():
            yield SecondCount(self._since_first_line(begin), key, count)

    # Leaders.

    def _changes(self) -> Iterator[LeaderChange]:
        terms = self._counts.leaders.terms.values
        lowest: dict[str, int] = {}
        for term in terms:
            lowest[term.group] = min(term.term, lowest.get(term.group, term.term))
        found = [
            (term, count)
            for term, count in terms.items()
            if count.follows_another or term.term > lowest[term.group]
        ]
        for term, count in sorted(found, key=lambda item: (item[1].first_proven_at, item[0])):
            yield self._change(term, count)

    def _change(self, term: GroupTerm, count: TermCount) -> LeaderChange:
        since = count.last_former_proof_at
        began = count.first_proven_at if since is None else min(since, count.first_proven_at)
        return LeaderChange(
            group=term.group,
            term=term.term,
            instance=count.instance,
            former=count.former or "?",
            reason=_most_common_reason(count),
            at=self._since_first_line(count.first_proven_at),
            gap_ms=None if since is None else 1000 * (count.first_proven_at - began),
            longest_gap_ms=count.longest_gap_ms,
            nodes=count.nodes,
            last_node_at=self._since_first_line(count.last_proven_at),
            refused_writes=self._refused_writes(began, count.last_proven_at),
        )

    def _refused_writes(self, begin: float, end: float) -> int:
        series = self._counts.times.refused_actions
        return sum(
            time_bin.times
            for time_bin in series.bins()
            if time_bin.key in WRITE_ACTIONS and begin - series.width < time_bin.begin <= end
        )

    def _interruptions(self) -> Iterator[Interruption]:
        for group, histogram in sorted(self._counts.leaders.interruptions.values.items()):
            yield Interruption(
                group, histogram.count, histogram.quantile_bound_ms(0.5), histogram.longest_ms
            )

    def _orders(self) -> Iterator[Order]:
        for kind, count in sorted(self._counts.leaders.failovers.values.items()):
            yield Order(
                *kind, count.durations.count, count.durations.longest_ms, count.longest_trouble_ms
            )

    def _cut_offs(self) -> Iterator[CutOff]:
        for kind, histogram in sorted(self._counts.leaders.cut_offs.values.items()):
            yield CutOff(*kind, histogram.count, histogram.longest_ms)

    # Tenants.

    def _tenants(self) -> Iterator[TenantAtLimit]:
        for tenant, count in self._counts.tenants.all():
            worst = count.worst_span()
            yield TenantAtLimit(
                tenant=tenant,
                counted=count.totals["counted"],
                refused=count.totals["refused"],
                returned=count.totals["returned"],
                uncounted=count.totals["uncounted"],
                sent=count.totals["sent"],
                counting_nodes=len(count.counting_nodes),
                running_nodes=len(count.running_nodes),
                span_at=self._since_first_line(worst.begin),
                span_sent=worst.sent,
                span_counted=worst.counted,
                span_allowed=worst.allowed,
            )

    # Errors.

    def _errors(self) -> Iterator[ErrorLines]:
        errors = self._counts.problems.errors.values
        for kind, count in sorted(errors.items(), key=lambda item: -item[1].lines):
            yield ErrorLines(
                event=kind.event,
                level=kind.level,
                text=kind.text,
                lines=count.lines,
                nodes=len({self._nodes[stream] for stream in count.streams}),
                first_at=self._since_first_line(count.first_at),
                example=count.example,
            )


def _started_at(incarnation: NodeIncarnation) -> float:
    assert incarnation.started_at is not None
    return incarnation.started_at


def _after_start(incarnation: NodeIncarnation, time: float | None) -> float | None:
    return None if time is None else time - _started_at(incarnation)


def _restarted(starts: Iterable[NodeStart]) -> Iterator[Restarted]:
    """Yield the nodes that started more than once, whichever files hold their lines.

    A start is unplanned if the process before it did not log its stop; the last process may
    still run, so it is not considered.
    """
    by_node: dict[str, list[NodeStart]] = {}
    for start in starts:
        by_node.setdefault(start.node, []).append(start)
    for node, own in sorted(by_node.items()):
        if len(own) > 1:
            unplanned = sum(not former.stopped for former in own[:-1])
            yield Restarted(node, own[-1].zone, len(own), unplanned)


def _most_common_reason(count: TermCount) -> str:
    reasons = count.reasons.values
    return max(reasons, key=lambda reason: reasons[reason].count, default="?")


def _waiting(refused: Sequence[Refused], metrics: MetricsFigures | None) -> Waiting:
    statements = sum(kind.statements for kind in refused)
    seconds = sum(kind.waited_seconds for kind in refused)
    if metrics is None:
        return Waiting(statements, seconds, None, None, None)
    all_statements = sum(kind.statements for kind in metrics.took)
    all_seconds = sum(kind.seconds for kind in metrics.took)
    share = seconds / all_seconds if all_seconds else None
    return Waiting(statements, seconds, all_statements, all_seconds, share)
