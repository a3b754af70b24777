"""Judges a run from what callers saw and databases committed; it uses no code of the product."""

from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from platform_standins.records import CommitRecord, RunRecord, holds
from soak.history import PROMISES, Attempt, History, Kind
from soak.owed import STALENESS, Logs, OwedCommits, Write


class Violation(NamedTuple):
    """A broken rule and the attempt that shows it."""

    rule: str
    attempt: Attempt
    detail: str


class Judge:
    """Knows what was committed; `surviving` are the writes in the last leader's log, in its order.

    That order counts, not that of the numbers: a write in doubt may be committed after its caller
    has gone on to the next ones. Where `logs` tells on which log each read ran, that is judged
    instead of the values that were read.
    """

    def __init__(
        self,
        commits: Sequence[CommitRecord],
        surviving: Sequence[Write],
        logs: Logs | None = None,
        keeps_all: bool = False,
    ) -> None:
        self._commits = commits
        self._times = Counter((commit.key, int(commit.value)) for commit in commits)
        self._late = {
            (commit.key, int(commit.value)) for commit in commits if not commit.by_newest_leader
        }
        self._places = {write: place for place, write in enumerate(surviving)}
        self._logs = logs
        self._keeps_all = keeps_all

    def violations(self, history: History) -> Iterator[Violation]:
        """Yield every broken rule."""
        for attempt in history:
            if attempt.kind is not Kind.READ:
                yield from self._write(attempt)
            if attempt.succeeded and attempt.signature != f"signed-{attempt.identifier}":
                yield Violation("MIXED", attempt, f"signature {attempt.signature}")
        if self._logs is None:
            acknowledged = [found for found in history if found.succeeded and found.number]
            yield from self._reads(history, acknowledged)
        else:
            yield from self._runs(history, self._logs)
            if self._keeps_all:
                yield from _lost_by_promotions(history, self._logs)

    def _write(self, attempt: Attempt) -> Iterator[Violation]:
        write = (attempt.key, attempt.number)
        if self._times[write] > 1:
            yield Violation("TWICE", attempt, f"committed {self._times[write]} times")
        if attempt.code in PROMISES and self._times[write]:
            yield Violation("REFUSED", attempt, "it was committed")
        if attempt.succeeded and not self._times[write]:
            yield Violation("LOST", attempt, "it was committed nowhere")
        if attempt.succeeded and write in self._late:
            yield Violation("ONE", attempt, "committed by a leader that was replaced")

    # By the logs on which statements ran.

    def _runs(self, history: History, logs: Logs) -> Iterator[Violation]:
        owed = OwedCommits(logs, history)
        runs: dict[str, list[RunRecord]] = defaultdict(list)
        for run in logs.runs:
            runs[run.identifier].append(run)
        for attempt in history:
            ran = runs[attempt.identifier] if attempt.identifier else []
            for run in ran:
                yield from _pinned(attempt, run)
            if attempt.kind is Kind.READ:
                yield from _read_runs(attempt, ran, owed)

    # By the values that were read.

    def _reads(self, history: History, acknowledged: History) -> Iterator[Violation]:
        writes: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in acknowledged:
            if attempt.kind is not Kind.READ and (attempt.key, attempt.number) in self._places:
                writes[attempt.key].append(attempt)
        for attempt in history:
            if attempt.kind is Kind.READ and attempt.succeeded:
                owed = self._owed(attempt, writes[attempt.key])
                missing = max(
                    (number for number in owed if self._lacks(attempt, number)), default=0
                )
                if missing:
                    yield Violation("STALE", attempt, f"{missing} was acknowledged before")

    def _lacks(self, read: Attempt, number: int) -> bool:
        """Whether a read saw a state of its key from before a write that survived."""
        seen = self._places.get((read.key, read.number))
        if seen is None:
            # It saw nothing, or a write that was rolled back: its place in the log is not known.
            return read.number < number
        return seen < self._places[read.key, number]

    @staticmethod
    def _owed(read: Attempt, writes: list[Attempt]) -> Iterator[int]:
        """Yield the numbers of the writes that the read must have seen."""
        for write in writes:
            age = read.sent_at - write.answered_at
            is_own = write.caller == read.caller and age >= 0
            staleness = STALENESS.get(read.route)
            if is_own or (staleness is not None and age >= staleness):
                yield write.number


def _pinned(attempt: Attempt, run: RunRecord) -> Iterator[Violation]:
    if run.session_values != attempt.values:
        yield Violation("PINNED", attempt, f"ran with the values {sorted(run.session_values)}")
    if run.action != "COMMIT" and run.key != attempt.key:
        yield Violation("PINNED", attempt, f"ran on {run.key}")


def _read_runs(
    attempt: Attempt, ran: Sequence[RunRecord], owed: OwedCommits
) -> Iterator[Violation]:
    for run in ran:
        missing = owed.missing(attempt, run.spans)
        if missing is not None:
            detail = f"{run.member} with the log {run.spans} lacked {missing}"
            yield Violation("STALE", attempt, detail)
    if attempt.succeeded and attempt.number not in {int(run.value or 0) for run in ran}:
        yield Violation("MIXED", attempt, "no database returned what was read")


def _lost_by_promotions(history: History, logs: Logs) -> Iterator[Violation]:
    """Where replicas confirm each commit, a promoted one has all that were acknowledged."""
    places = {(found.key, int(found.value)): (found.term, found.number) for found in logs.commits}
    for attempt in history:
        if attempt.kind is Kind.READ or not attempt.succeeded:
            continue
        term, number = places.get((attempt.key, attempt.number), (0, 0))
        for promoted in logs.promotions:
            is_later = promoted.term > term and promoted.moment > attempt.answered_moment
            if term and is_later and not holds(promoted.spans, term, number):
                yield Violation("LOST", attempt, f"{promoted.member} was promoted without it")
