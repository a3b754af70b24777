"""Leaders of groups as nodes found and missed them, and what was ordered."""

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
    """How the leader of one term was found, over all nodes. Times: seconds of the epoch."""

    def __init__(self) -> None:
        self.instance = "?"
        self.former = ""
        self.first = float("inf")
        self.last = float("-inf")
        self.nodes = 0
        self.follows_another = False
        self.last_former_proof_at: float | None = None
        self.longest_gap_ms: float | None = None
        self.reasons: BoundedTable[str, DurationHistogram] = BoundedTable(
            DurationHistogram, OTHERS, MAXIMUM_REASONS
        )

    def found(self, record: Record) -> None:
        """Note that a node found the leader."""
        self.instance = record.word("instance")
        self.first = min(self.first, record.time)
        self.last = max(self.last, record.time)
        self.nodes += 1

    def missed(self, missing: "Missing", found_at: float) -> None:
        """Note that the node missed the former leader before."""
        self.last_former_proof_at = max(self.last_former_proof_at or 0.0, missing.since)
        gap_ms = 1000 * max(0.0, found_at - missing.since)
        self.longest_gap_ms = max(self.longest_gap_ms or 0.0, gap_ms)
        self.reasons.at(missing.reason).add(gap_ms)


class Missing(NamedTuple):
    """A node misses a leader. `since`: its last proof, seconds of the epoch."""

    instance: str
    since: float
    reason: str


class OrderKind(NamedTuple):
    """Ordered changes that are counted together."""

    group: str
    cause: str
    outcome: str


class OrderCount:
    """Ordered changes of one kind."""

    def __init__(self) -> None:
        self.durations = DurationHistogram()
        self.longest_trouble_ms = 0.0


class CutOffKind(NamedTuple):
    """Ends of former leaders that are counted together."""

    group: str
    outcome: str


class LeaderCounts:
    """The sums over all nodes."""

    def __init__(self) -> None:
        self.terms: BoundedTable[GroupTerm, TermCount] = BoundedTable(
            TermCount, GroupTerm(OTHERS, 0), MAXIMUM_TERMS
        )
        self.interruptions: BoundedTable[str, DurationHistogram] = BoundedTable(
            DurationHistogram, OTHERS, MAXIMUM_KINDS
        )
        self.orders: BoundedTable[OrderKind, OrderCount] = BoundedTable(
            OrderCount, OrderKind(OTHERS, OTHERS, OTHERS), MAXIMUM_KINDS
        )
        self.cut_offs: BoundedTable[CutOffKind, DurationHistogram] = BoundedTable(
            DurationHistogram, CutOffKind(OTHERS, OTHERS), MAXIMUM_KINDS
        )


class _GroupView:
    """What one node believes of one group."""

    def __init__(self) -> None:
        self.term: int | None = None
        self.instance = ""
        self.missing: Missing | None = None
        self.cause = "?"
        self.trouble_ms = 0.0


class NodeLeaders:
    """Follows what one process of a node tells, and adds it to the sums."""

    def __init__(self, counts: LeaderCounts) -> None:
        self._counts = counts
        self._views: BoundedTable[str, _GroupView] = BoundedTable(_GroupView, OTHERS, MAXIMUM_KINDS)

    def found(self, record: Record) -> None:
        """Take 1320."""
        group = record.word("group")
        term = int(record.number("term") or 0)
        view = self._views.at(group)
        if view.term == term or _is_missed_one(view, record):
            self._found_again(group, view, record)
        else:
            self._found_next(GroupTerm(group, term), view, record)
        view.term = term
        view.instance = record.word("instance")
        view.missing = None

    def _found_again(self, group: str, view: _GroupView, record: Record) -> None:
        if view.missing is not None:
            gap_ms = 1000 * (record.time - view.missing.since)
            self._counts.interruptions.at(group).add(gap_ms)

    def _found_next(self, term: GroupTerm, view: _GroupView, record: Record) -> None:
        count = self._counts.terms.at(term)
        count.found(record)
        missing = view.missing
        if missing is not None:
            count.missed(missing, record.time)
        former = missing.instance if missing is not None else view.instance
        if former:
            count.follows_another = True
            count.former = former

    def handle_leader_lost(self, record: Record) -> None:
        """Take 1321."""
        age_ms = record.number("proof_age_ms") or 0.0
        since = record.time - age_ms / 1000
        view = self._views.at(record.word("group"))
        view.missing = Missing(record.word("instance"), since, record.word("reason"))

    def handle_failover_started(self, record: Record) -> None:
        """Take 1322."""
        view = self._views.at(record.word("group"))
        view.cause = record.word("cause")
        view.trouble_ms = record.number("trouble_ms") or 0.0

    def handle_failover_completed(self, record: Record) -> None:
        """Take 1323."""
        group = record.word("group")
        view = self._views.at(group)
        count = self._counts.orders.at(OrderKind(group, view.cause, record.word("outcome")))
        count.took.add(record.number("duration_ms") or 0.0)
        count.longest_trouble_ms = max(count.longest_trouble_ms, view.trouble_ms)

    def handle_former_leader_cut_off(self, record: Record) -> None:
        """Take 1330."""
        kind = CutOffKind(record.word("group"), record.word("outcome"))
        self._counts.cut_offs.at(kind).add(record.number("duration_ms") or 0.0)


def _is_missed_one(view: _GroupView, record: Record) -> bool:
    """Whether a log that begins in the middle of a term finds the database again that it missed."""
    missing = view.missing
    return view.term is None and missing is not None and missing.instance == record.word("instance")
