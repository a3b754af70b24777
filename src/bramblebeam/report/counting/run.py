"""Counts the records of a run as they are read."""

from collections.abc import Callable
from pathlib import Path

from bramblebeam.events.catalogue import (
    EDGE_LISTENING,
    FAILOVER_COMPLETED,
    FAILOVER_STARTED,
    FORMER_LEADER_CUT_OFF,
    LEADER_LOST,
    LEADER_PROVEN,
    LINES_LEFT_OUT,
    MEMBER_JOINED,
    NODE_STARTED,
    NODE_STOPPED,
    READINESS_CHANGED,
    REQUEST_ATTEMPT_FAILED,
    REQUEST_FORWARD_FAILED,
    REQUEST_REFUSED,
    TENANT_RATE_SAMPLE,
)
from bramblebeam.report.counting.leaders import LeaderCounts, NodeLeaders
from bramblebeam.report.counting.lives import NodeIncarnations
from bramblebeam.report.counting.problems import ERROR_LEVELS, ProblemCounts
from bramblebeam.report.counting.statements import NodeStatements, StatementTimes
from bramblebeam.report.counting.tenants import TenantCounts
from bramblebeam.report.model import PassedOverLines
from bramblebeam.report.reading.files import UnreadableError, read_lines
from bramblebeam.report.reading.lines import Record, SkipReason, parse_record
from bramblebeam.report.reading.metrics_text import OWN_PREFIX
from bramblebeam.report.reading.prefix import node_name_in_prefix

MAXIMUM_STREAMS = 20_000
"""Nodes told apart by the prefixes of lines; a prefix that changes with each line is none."""
MAXIMUM_PREFIXES = 1_000
"""Of one file."""
MAXIMUM_ZONES = 20_000

_OF_A_START = (NODE_STARTED.number, EDGE_LISTENING.number)

Take = Callable[[Record], None]


class Stream:
    """The lines of one node in one file."""

    def __init__(self, number: int, name: str, counts: "RunCounts") -> None:
        self.name = name
        self.incarnations = NodeIncarnations()
        self.statements = NodeStatements(counts.times)
        self._number = number
        self._counts = counts
        self._leaders = NodeLeaders(counts.leaders)
        self._takers = self._make_takers()

    @property
    def node(self) -> str:
        """The node's name, as its own lines tell it or else the prefix or the file."""
        return next((life.node for life in reversed(self.incarnations.all())), self.name)

    def take(self, record: Record) -> None:
        """Count one record."""
        if record.event in _OF_A_START:
            self._look_for_a_start(record)
        if record.level in ERROR_LEVELS:
            self._counts.problems.error(self._number, record)
        for take in self._takers.get(record.event, ()):
            take(record)

    def _look_for_a_start(self, record: Record) -> None:
        if self.incarnations.begin_if_new(record):
            self._leaders = NodeLeaders(self._counts.leaders)
            self._takers = self._make_takers()

    def _make_takers(self) -> dict[int, tuple[Take, ...]]:
        lives = self.incarnations
        statements = self.statements
        leaders = self._leaders
        return {
            NODE_STARTED.number: (lives.started, self._counts.note_zone),
            NODE_STOPPED.number: (lives.stopped,),
            EDGE_LISTENING.number: (lives.handle_listening,),
            READINESS_CHANGED.number: (lives.handle_readiness_changed,),
            LEADER_PROVEN.number: (lives.handle_leader_proven, leaders.found),
            LEADER_LOST.number: (leaders.handle_leader_lost,),
            FAILOVER_STARTED.number: (leaders.handle_failover_started,),
            FAILOVER_COMPLETED.number: (leaders.handle_failover_completed,),
            FORMER_LEADER_CUT_OFF.number: (leaders.handle_former_leader_cut_off,),
            REQUEST_REFUSED.number: (statements.handle_refused,),
            REQUEST_ATTEMPT_FAILED.number: (statements.handle_attempt_failed,),
            REQUEST_FORWARD_FAILED.number: (statements.handle_forward_failed,),
            TENANT_RATE_SAMPLE.number: (self._tenant_second,),
            LINES_LEFT_OUT.number: (self._counts.problems.lines_left_out,),
            MEMBER_JOINED.number: (self._counts.note_zone,),
        }

    def _tenant_second(self, record: Record) -> None:
        self._counts.tenants.second(self._number, record)


class RunCounts:
    """Everything that was counted, over all files."""

    def __init__(self) -> None:
        self.first_time = float("inf")
        self.last_time = float("-inf")
        self.lines = 0
        self.files = 0
        self.streams: list[Stream] = []
        self.passed_over: list[PassedOverLines] = []
        self.times = StatementTimes()
        self.leaders = LeaderCounts()
        self.problems = ProblemCounts()
        self.tenants = TenantCounts()
        self.zones: dict[str, str] = {}

    def note_zone(self, record: Record) -> None:
        """Take a line that tells a node's zone."""
        if len(self.zones) < MAXIMUM_ZONES:
            self.zones[record.word("node")] = record.word("zone")

    def zone(self, node: str) -> str:
        """Return a node's zone; "?" where no line tells it."""
        return self.zones.get(node, "?")

    def read_log(self, path: Path) -> None:
        """Count a log. Raises UnreadableError."""
        log = _Log(path.stem, self)
        for line in read_lines(path):
            log.take(line)
        if not log.lines:
            hint = " (it is a metrics text: give it by --metrics)" if log.has_metrics else ""
            raise UnreadableError(f"{path}: no line of ours is in this log{hint}")
        self.files += 1
        self.lines += log.lines
        if any(log.passed_over.values()):
            counts = (log.passed_over[why] for why in SkipReason)
            self.passed_over.append(PassedOverLines(str(path), *counts))

    def new_stream(self, name: str) -> Stream:
        """Return a new stream for a node's lines."""
        stream = Stream(len(self.streams), name, self)
        self.streams.append(stream)
        return stream

    def note_time(self, time: float) -> None:
        """Take the time of a line (seconds of the epoch)."""
        if not self.first_time <= time <= self.last_time:
            self.first_time = min(self.first_time, time)
            self.last_time = max(self.last_time, time)


class _Log:
    """One file while it is read: which stream a line belongs to, and lines passed over."""

    def __init__(self, name: str, counts: RunCounts) -> None:
        self.lines = 0
        self.has_metrics = False
        self.passed_over = dict.fromkeys(SkipReason, 0)
        self._name = name
        self._counts = counts
        self._by_prefix: dict[str, Stream] = {}
        self._by_name: dict[str, Stream] = {}

    def take(self, line: str) -> None:
        record = parse_record(line)
        if isinstance(record, SkipReason):
            self.passed_over[record] += 1
            self.has_metrics = self.has_metrics or line.startswith(OWN_PREFIX)
            return
        self.lines += 1
        self._counts.note_time(record.time)
        stream = self._by_prefix.get(record.prefix) or self._stream(record.prefix)
        stream.take(record)

    def _stream(self, prefix: str) -> Stream:
        """Return the stream of a new prefix. Most prefixes hold a time, and differ by it."""
        name = node_name_in_prefix(prefix)
        found = self._by_name.get(name) or self._new_stream(name)
        if len(self._by_prefix) >= MAXIMUM_PREFIXES:
            self._by_prefix.clear()
        self._by_prefix[prefix] = found
        return found

    def _new_stream(self, name: str) -> Stream:
        is_full = len(self._by_name) >= MAXIMUM_PREFIXES
        if is_full or len(self._counts.streams) >= MAXIMUM_STREAMS:
            name = ""
            if name in self._by_name:
                return self._by_name[name]
        stream = self._counts.new_stream(name or self._name)
        self._by_name[name] = stream
        return stream
