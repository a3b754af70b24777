"""Counts refused statements, failed attempts and forwarded statements without an answer."""

from collections import Counter
from typing import NamedTuple

from bramblebeam.report.counting.bounded import BoundedTable, DurationHistogram, TimeSeries
from bramblebeam.report.reading.lines import Record

MAXIMUM_KINDS = 300
"""Per log."""
MAXIMUM_ATTEMPTS = 100
OTHERS = "others"


class RefusedKind(NamedTuple):
    """Key by which refused statements are counted."""

    database: str
    action: str
    verdict: str
    reason: str


class AttemptKind(NamedTuple):
    """Key by which failed attempts are counted."""

    instance: str
    verdict: str
    reason: str


class ForwardKind(NamedTuple):
    """Key by which forwarded statements without an answer are counted."""

    group: str
    sent: bool


class MutableCount:
    """A count that can be incremented in a BoundedTable."""

    def __init__(self) -> None:
        self.count = 0


class StatementTimes:
    """Time series over all nodes: refusals by reason and by action, failed attempts by reason."""

    def __init__(self) -> None:
        self.refused = TimeSeries()
        self.refused_actions = TimeSeries()
        self.attempts = TimeSeries()

    def align_bins(self) -> int:
        """Widen the bins of all series to the widest; return their width (seconds)."""
        all_series = (self.refused, self.refused_actions, self.attempts)
        width = max(series.width for series in all_series)
        for series in all_series:
            series.widen_to(width)
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
        """Handle event 1120."""
        action = record.text_field("action")
        reason = record.text_field("reason")
        kind = RefusedKind(
            record.text_field("database"), action, record.text_field("verdict"), reason
        )
        self.refused.get_or_create(kind).add(record.number_field("waited_ms") or 0.0)
        self._times.refused.add(record.time, reason)
        self._times.refused_actions.add(record.time, action)

    def handle_attempt_failed(self, record: Record) -> None:
        """Handle event 1121. The first attempt of each statement has number 1."""
        reason = record.text_field("reason")
        kind = AttemptKind(record.text_field("instance"), record.text_field("verdict"), reason)
        self.attempts.get_or_create(kind).count += 1
        number = record.number_field("attempt")
        if number is not None and 1 <= number <= MAXIMUM_ATTEMPTS:
            self.attempt_numbers[int(number)] += 1
        self._times.attempts.add(record.time, reason)

    def handle_forward_failed(self, record: Record) -> None:
        """Handle event 1124."""
        kind = ForwardKind(record.text_field("group"), record.fields.get("sent") is True)
        self.forwards.get_or_create(kind).count += 1
