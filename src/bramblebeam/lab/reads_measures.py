"""Computes the measures of each phase's reads from the history and the servers' records."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from bramblebeam.lab.collect import ServedRead
from bramblebeam.lab.history import History
from bramblebeam.lab.history.records import RequestAnswered, RequestSent
from bramblebeam.lab.judge import Violation
from bramblebeam.lab.measures import percentile
from bramblebeam.lab.reads_phases import PhaseSpan

NO_TOKEN_EACH = 4
"""Every fourth session of the load never sends its causal token."""


@dataclass(slots=True)
class PhaseReads:
    """The reads of one phase outside transactions. Latencies are in milliseconds.

    `share`: share of the answered reads that a replica served. `not_run`: refused reads. `lost`:
    all other unsuccessful reads. `stale`: reads that violated the staleness bound. `reasons`:
    number of unsuccessful reads by reason.
    """

    phase: str
    reads: int = 0
    share: float | None = None
    share_with_token: float | None = None
    share_without_token: float | None = None
    not_run: int = 0
    lost: int = 0
    p50_ms: float = 0.0
    p99_ms: float = 0.0
    replica_p50_ms: float = 0.0
    replica_p99_ms: float = 0.0
    primary_p50_ms: float = 0.0
    primary_p99_ms: float = 0.0
    stale: int = 0
    reasons: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class ReadsResult:
    """The phases of one deployment, and all invariant violations in its history."""

    deployment: str
    phases: list[PhaseReads]
    violations: list[str] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class _Read:
    """A read. `at_replica` is None if no server recorded it."""

    sent: RequestSent
    answer: RequestAnswered
    at_replica: bool | None

    @property
    def milliseconds(self) -> float:
        return (self.answer.time - self.sent.time) * 1000

    @property
    def has_token(self) -> bool:
        return int(self.sent.session.rpartition("-")[2]) % NO_TOKEN_EACH != 0


def measure(
    deployment: str,
    history: History,
    served: Iterable[ServedRead],
    spans: Sequence[PhaseSpan],
    stale: Iterable[Violation],
) -> ReadsResult:
    """Return the measures of each phase; `stale` holds the staleness violations."""
    reads = _reads(history, served)
    stale_at = [violation.records[0].time for violation in stale]
    phases = []
    for span in spans:
        chosen = [read for read in reads if span.begin <= read.sent.time < span.end]
        phase = _phase(span.phase, chosen)
        phase.stale = sum(span.begin <= at < span.end for at in stale_at)
        phases.append(phase)
    return ReadsResult(deployment, phases)


def _reads(history: History, served: Iterable[ServedRead]) -> list[_Read]:
    """Return the single-key reads outside transactions.

    A read that several servers began is assigned to the last one.
    """
    at_replica = {
        read.request: read.at_replica
        for read in sorted(served, key=lambda read: read.time)
        if read.request and not read.in_transaction
    }
    sent = {
        record.request: record
        for record in history.of(RequestSent)
        if record.operation == "read" and record.key and not record.transaction
    }
    return [
        _Read(sent[answer.request], answer, at_replica.get(answer.request))
        for answer in history.of(RequestAnswered)
        if answer.request in sent
    ]


def _phase(name: str, reads: Sequence[_Read]) -> PhaseReads:
    answered = [read for read in reads if read.answer.outcome == "ok"]
    outcomes = Counter(read.answer.outcome for read in reads)
    phase = PhaseReads(name, reads=len(reads), not_run=outcomes["not_run"])
    phase.lost = len(reads) - len(answered) - phase.not_run
    phase.share = _share(answered)
    phase.share_with_token = _share([read for read in answered if read.has_token])
    phase.share_without_token = _share([read for read in answered if not read.has_token])
    phase.p50_ms, phase.p99_ms = _percentiles(answered)
    at_replica = [read for read in answered if read.at_replica]
    phase.replica_p50_ms, phase.replica_p99_ms = _percentiles(at_replica)
    at_primary = [read for read in answered if read.at_replica is False]
    phase.primary_p50_ms, phase.primary_p99_ms = _percentiles(at_primary)
    phase.reasons = dict(Counter(r.answer.reason for r in reads if r.answer.outcome != "ok"))
    return phase


def _share(reads: Sequence[_Read]) -> float | None:
    known = [read.at_replica for read in reads if read.at_replica is not None]
    return round(sum(known) / len(known), 5) if known else None


def _percentiles(reads: Sequence[_Read]) -> tuple[float, float]:
    ordered = sorted(read.milliseconds for read in reads)
    if not ordered:
        return 0.0, 0.0
    return percentile(ordered, 0.5), percentile(ordered, 0.99)
