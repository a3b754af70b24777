"""Checks a run against the records of callers and databases, without code of the product."""

from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from platform_standins.records import CommitRecord, RunRecord, holds
from soak.history import NO_EFFECT_CODES, NOT_COMMITTED, Attempt, History, Kind, Statement
from soak.owed import STALENESS, Logs, RequiredCommits, Write


class Violation(NamedTuple):
    """A violated rule and the attempt or the statement that violates it."""

    rule: str
    attempt: Attempt | Statement
    detail: str


class Judge:
    """Finds violations in a history. `surviving`: the writes in the last leader's log, in order.

    Reads are checked by the order of that log, not of the numbers: a write in doubt may be
    committed after later writes of its caller. With `logs`, a read is checked by the log that it
    ran on and not by the value that it returned. `keeps_all`: replicas confirm every commit, so
    that no promotion may lose one.
    """

    def __init__(
        self,
        commits: Sequence[CommitRecord],
        surviving: Sequence[Write],
        logs: Logs | None = None,
        keeps_all: bool = False,
    ) -> None:
        self._commits = commits
        self._commit_counts = Counter((commit.key, int(commit.value)) for commit in commits)
        self._by_former_leader = {
            (commit.key, int(commit.value)) for commit in commits if not commit.by_newest_leader
        }
        self._positions = {write: position for position, write in enumerate(surviving)}
        self._logs = logs
        self._keeps_all = keeps_all

    def violations(self, history: History) -> Iterator[Violation]:
        """Yield every violation of a rule."""
        for attempt in history:
            if attempt.kind is not Kind.READ:
                yield from self._check_write(attempt)
            if attempt.succeeded and attempt.signature != f"signed-{attempt.identifier}":
                yield Violation("MIXED", attempt, f"signature {attempt.signature}")
        if self._logs is None:
            acknowledged = [found for found in history if found.succeeded and found.number]
            yield from self._check_values(history, acknowledged)
        else:
            yield from self._check_runs(history, self._logs)
            if self._keeps_all:
                yield from _check_promotions(history, self._logs)

    def _check_write(self, attempt: Attempt) -> Iterator[Violation]:
        write = (attempt.key, attempt.number)
        if self._commit_counts[write] > 1:
            yield Violation("TWICE", attempt, f"committed {self._commit_counts[write]} times")
        if attempt.code in NO_EFFECT_CODES and self._commit_counts[write]:
            yield Violation("REFUSED", attempt, "it was committed")
        if attempt.code == NOT_COMMITTED and self._commit_counts[write]:
            yield Violation("UNASKED", attempt, "it was committed without a COMMIT")
        if attempt.succeeded and not self._commit_counts[write]:
            yield Violation("LOST", attempt, "it was committed nowhere")
        if attempt.succeeded and write in self._by_former_leader:
            yield Violation("ONE", attempt, "committed by a leader that was replaced")

    # Checks by the logs that statements ran on.

    def _check_runs(self, history: History, logs: Logs) -> Iterator[Violation]:
        required = RequiredCommits(logs, history)
        runs_by_identifier: dict[str, list[RunRecord]] = defaultdict(list)
        for run in logs.runs:
            runs_by_identifier[run.identifier].append(run)
        for attempt in history:
            runs_of_attempt = runs_by_identifier[attempt.identifier] if attempt.identifier else []
            for run in runs_of_attempt:
                yield from _check_session_state(attempt, run)
            if attempt.kind is Kind.READ:
                yield from _check_read_runs(attempt, runs_of_attempt, required)

    # Checks by the values that were read.

    def _check_values(self, history: History, acknowledged: History) -> Iterator[Violation]:
        writes: dict[str, list[Attempt]] = defaultdict(list)
        for attempt in acknowledged:
            if attempt.kind is not Kind.READ and (attempt.key, attempt.number) in self._positions:
                writes[attempt.key].append(attempt)
        for attempt in history:
            if attempt.kind is Kind.READ and attempt.succeeded:
                required = self._required_writes(attempt, writes[attempt.key])
                missing = max(
                    (number for number in required if self._lacks(attempt, number)), default=0
                )
                if missing:
                    yield Violation("STALE", attempt, f"{missing} was acknowledged before")

    def _lacks(self, read: Attempt, number: int) -> bool:
        """Whether a read returned a state of its key older than a surviving write."""
        read_position = self._positions.get((read.key, read.number))
        if read_position is None:
            # It returned nothing or a write that was rolled back, which has no position in the log.
            return read.number < number
        return read_position < self._positions[read.key, number]

    @staticmethod
    def _required_writes(read: Attempt, writes: list[Attempt]) -> Iterator[int]:
        """Yield the numbers of the writes that the read must reflect."""
        for write in writes:
            age = read.sent_at - write.answered_at
            is_own = write.caller == read.caller and age >= 0
            staleness = STALENESS.get(read.route)
            if is_own or (staleness is not None and age >= staleness):
                yield write.number


def _check_session_state(attempt: Attempt, run: RunRecord) -> Iterator[Violation]:
    if run.session_values != attempt.values:
        yield Violation("PINNED", attempt, f"ran with the values {sorted(run.session_values)}")
    if run.action != "COMMIT" and run.key != attempt.key:
        yield Violation("PINNED", attempt, f"ran on {run.key}")


def _check_read_runs(
    attempt: Attempt, runs_of_attempt: Sequence[RunRecord], required: RequiredCommits
) -> Iterator[Violation]:
    for run in runs_of_attempt:
        missing = required.missing(attempt, run.spans)
        if missing is not None:
            detail = f"{run.member} with the log {run.spans} lacked {missing}"
            yield Violation("STALE", attempt, detail)
    if attempt.succeeded and attempt.number not in {int(run.value or 0) for run in runs_of_attempt}:
        yield Violation("MIXED", attempt, "no database returned what was read")


def _check_promotions(history: History, logs: Logs) -> Iterator[Violation]:
    """Yield the acknowledged commits that a later promoted member lacked."""
    positions = {
        (found.key, int(found.value)): (found.term, found.number) for found in logs.commits
    }
    for attempt in history:
        if attempt.kind is Kind.READ or not attempt.succeeded:
            continue
        term, number = positions.get((attempt.key, attempt.number), (0, 0))
        for promoted in logs.promotions:
            is_later = promoted.term > term and promoted.sequence > attempt.answered_sequence
            if term and is_later and not holds(promoted.spans, term, number):
                yield Violation("LOST", attempt, f"{promoted.member} was promoted without it")
