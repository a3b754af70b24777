"""Aggregates leader changes as nodes observed them, and the failovers that were ordered."""

from typing import NamedTuple

from bramblebeam.report.counting.bounded import BoundedTable, DurationHistogram
from bramblebeam.report.reading.lines import Record

MAXIMUM_TERMS = 5_000
MAXIMUM_KINDS = 500
MAXIMUM_REASONS = 20
OTHERS = "others"


class GroupTerm(NamedTuple):
    """One term of one group."""

    group: str
    term: int


class TermCount:
    """When and how nodes proved the leader of one term. Times: seconds since the epoch."""

    def __init__(self) -> None:
        self.instance = "?"
        self.former = ""
        self.first_proven_at = float("inf")
        self.last_proven_at = float("-inf")
        self.nodes = 0
        self.follows_another = False
        self.last_former_proof_at: float | None = None
        self.longest_gap_ms: float | None = None
        self.reasons: BoundedTable[str, DurationHistogram] = BoundedTable(
            DurationHistogram, OTHERS, MAXIMUM_REASONS
        )

    def record_proven(self, record: Record) -> None:
        """Record that a node proved the leader."""
        self.instance = record.text_field("instance")
        self.first_proven_at = min(self.first_proven_at, record.time)
        self.last_proven_at = max(self.last_proven_at, record.time)
        self.nodes += 1

    def record_former_lost(self, lost: "LostLeader", proven_at: float) -> None:
        """Record that the node had lost the former leader before it proved this one."""
        self.last_former_proof_at = max(self.last_former_proof_at or 0.0, lost.since)
        gap_ms = 1000 * max(0.0, proven_at - lost.since)
        self.longest_gap_ms = max(self.longest_gap_ms or 0.0, gap_ms)
        self.reasons.get_or_create(lost.reason).add(gap_ms)


class LostLeader(NamedTuple):
    """A leader that a node lost. `since`: the node's last proof of it, seconds since the epoch."""

    instance: str
    since: float
    reason: str


class FailoverKind(NamedTuple):
    """Key by which ordered failovers are counted."""

    group: str
    cause: str
    outcome: str


class FailoverCount:
    """Ordered failovers of one kind."""

    def __init__(self) -> None:
        self.durations = DurationHistogram()
        self.longest_trouble_ms = 0.0


class CutOffKind(NamedTuple):
    """Key by which cut-offs of former leaders are counted."""

    group: str
    outcome: str


class LeaderCounts:
    """Totals over all nodes."""

    def __init__(self) -> None:
        self.terms: BoundedTable[GroupTerm, TermCount] = BoundedTable(
            TermCount, GroupTerm(OTHERS, 0), MAXIMUM_TERMS
        )
        self.interruptions: BoundedTable[str, DurationHistogram] = BoundedTable(
            DurationHistogram, OTHERS, MAXIMUM_KINDS
        )
        self.failovers: BoundedTable[FailoverKind, FailoverCount] = BoundedTable(
            FailoverCount, FailoverKind(OTHERS, OTHERS, OTHERS), MAXIMUM_KINDS
        )
        self.cut_offs: BoundedTable[CutOffKind, DurationHistogram] = BoundedTable(
            DurationHistogram, CutOffKind(OTHERS, OTHERS), MAXIMUM_KINDS
        )


class _GroupView:
    """One node's latest knowledge of one group's leader and failover."""

    def __init__(self) -> None:
        self.term: int | None = None
        self.instance = ""
        self.lost: LostLeader | None = None
        self.cause = "?"
        self.trouble_ms = 0.0


class NodeLeaders:
    """Follows the leader events of one process of a node and adds them to the totals."""

    def __init__(self, counts: LeaderCounts) -> None:
        self._counts = counts
        self._views: BoundedTable[str, _GroupView] = BoundedTable(_GroupView, OTHERS, MAXIMUM_KINDS)

    def handle_leader_proven(self, record: Record) -> None:
        """Handle event 1320."""
        group = record.text_field("group")
        term = int(record.number_field("term") or 0)
        view = self._views.get_or_create(group)
        if view.term == term or _is_lost_leader(view, record):
            self._record_recovered(group, view, record)
        else:
            self._record_next(GroupTerm(group, term), view, record)
        view.term = term
        view.instance = record.text_field("instance")
        view.lost = None

    def _record_recovered(self, group: str, view: _GroupView, record: Record) -> None:
        if view.lost is not None:
            gap_ms = 1000 * (record.time - view.lost.since)
            self._counts.interruptions.get_or_create(group).add(gap_ms)

    def _record_next(self, term: GroupTerm, view: _GroupView, record: Record) -> None:
        count = self._counts.terms.get_or_create(term)
        count.record_proven(record)
        lost = view.lost
        if lost is not None:
            count.record_former_lost(lost, record.time)
        former = lost.instance if lost is not None else view.instance
        if former:
            count.follows_another = True
            count.former = former

    def handle_leader_lost(self, record: Record) -> None:
        """Handle event 1321."""
        age_ms = record.number_field("proof_age_ms") or 0.0
        since = record.time - age_ms / 1000
        view = self._views.get_or_create(record.text_field("group"))
        view.lost = LostLeader(record.text_field("instance"), since, record.text_field("reason"))

    def handle_failover_started(self, record: Record) -> None:
        """Handle event 1322."""
        view = self._views.get_or_create(record.text_field("group"))
        view.cause = record.text_field("cause")
        view.trouble_ms = record.number_field("trouble_ms") or 0.0

    def handle_failover_completed(self, record: Record) -> None:
        """Handle event 1323."""
        group = record.text_field("group")
        view = self._views.get_or_create(group)
        count = self._counts.failovers.get_or_create(
            FailoverKind(group, view.cause, record.text_field("outcome"))
        )
        count.durations.add(record.number_field("duration_ms") or 0.0)
        count.longest_trouble_ms = max(count.longest_trouble_ms, view.trouble_ms)

    def handle_former_leader_cut_off(self, record: Record) -> None:
        """Handle event 1330."""
        kind = CutOffKind(record.text_field("group"), record.text_field("outcome"))
        self._counts.cut_offs.get_or_create(kind).add(record.number_field("duration_ms") or 0.0)


def _is_lost_leader(view: _GroupView, record: Record) -> bool:
    """Whether the proven database is the one that was lost, in a log that begins mid-term.

    Such a log has no earlier proof, so the term of the lost leader is not known.
    """
    lost = view.lost
    return view.term is None and lost is not None and lost.instance == record.text_field("instance")
