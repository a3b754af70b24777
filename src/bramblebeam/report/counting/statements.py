"""Statements that were refused, and attempts that did not serve one."""

from collections import Counter
from typing import NamedTuple

from bramblebeam.report.counting.bounded import BoundedTable, DurationHistogram, TimeSeries
from bramblebeam.report.reading.lines import Record

MAXIMUM_KINDS = 300
"""Of one log."""
MAXIMUM_ATTEMPTS = 100
OTHERS = "others"


class RefusedKind(NamedTuple):
    """Refused statements that are counted together."""

    database: str
    action: str
    verdict: str
    reason: str


class AttemptKind(NamedTuple):
    """Failed attempts that are counted together."""

    instance: str
    verdict: str
    reason: str


class ForwardKind(NamedTuple):
    """Forwarded statements without an answer that are counted together."""

    group: str
    sent: bool


class MutableCount:
    """A number that grows."""

    def __init__(self) -> None:
        self.count = 0


class StatementTimes:
    """What happened when, over all nodes: refusals by reason and action, attempts by reason."""

    def __init__(self) -> None:
        self.refused = TimeSeries()
        self.refused_actions = TimeSeries()
        self.attempts = TimeSeries()

    def align_bins(self) -> int:
        """Give all the same bins; return their width (seconds)."""
        lines = (self.refused, self.refused_actions, self.attempts)
        width = max(line.width for line in lines)
        for line in lines:
            line.widen_to(width)
        return width


class NodeStatements:
    """The statements of one log."""

    def __init__(self, times: StatementTimes) -> None:
        self.refused: BoundedTable[RefusedKind, DurationHistogram] = BoundedTable(
            DurationHistogram, RefusedKind(OTHERS, OTHERS, OTHERS, OTHERS), MAXIMUM_KINDS
        )
        self.attempts: BoundedTable[AttemptKind, MutableCount] = BoundedTable(
            MutableCount, AttemptKind(OTHERS, OTHERS, OTHERS), MAXIMUM_KINDS
        )
        self.forwards: BoundedTable[ForwardKind, MutableCount] = BoundedTable(
            MutableCount, ForwardKind(OTHERS, False), MAXIMUM_KINDS
        )
        self.attempt_numbers: Counter[int] = Counter()
        self._times = times

    def handle_refused(self, record: Record) -> None:
        """Take 1120."""
        action = record.word("action")
        reason = record.word("reason")
        kind = RefusedKind(record.word("database"), action, record.word("verdict"), reason)
        self.refused.at(kind).add(record.number("waited_ms") or 0.0)
        self._times.refused.add(record.time, reason)
        self._times.refused_actions.add(record.time, action)

    def handle_attempt_failed(self, record: Record) -> None:
        """Take 1121. The first attempt of each statement has number 1."""
        reason = record.word("reason")
        kind = AttemptKind(record.word("instance"), record.word("verdict"), reason)
        self.attempts.at(kind).count += 1
        number = record.number("attempt")
        if number is not None and 1 <= number <= MAXIMUM_ATTEMPTS:
            self.attempt_numbers[int(number)] += 1
        self._times.attempts.add(record.time, reason)

    def handle_forward_failed(self, record: Record) -> None:
        """Take 1124."""
        kind = ForwardKind(record.word("group"), record.fields.get("sent") is True)
        self.forwards.at(kind).count += 1
