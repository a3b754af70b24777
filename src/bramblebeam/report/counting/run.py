"""Reads logs and passes each record to the aggregates that count its event."""

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
"""Over all files. Nodes are distinguished by the prefixes of their lines; prefixes that change with
each line, and so are no names, would otherwise make a stream per line."""
MAXIMUM_PREFIXES = 1_000
"""Per file."""
MAXIMUM_ZONES = 20_000

_START_EVENTS = (NODE_STARTED.number, EDGE_LISTENING.number)

Handler = Callable[[Record], None]


class Stream:
    """The lines of one node in one file, and what is counted by node."""

    def __init__(self, number: int, name: str, counts: "RunCounts") -> None:
        self.name = name
        self.incarnations = NodeIncarnations()
        self.statements = NodeStatements(counts.times)
        self._number = number
        self._counts = counts
        self._leaders = NodeLeaders(counts.leaders)
        self._handlers = self._make_handlers()

    @property
    def node(self) -> str:
        """The node's name from its latest line 1001, else from the prefix or the file name."""
        return next(
            (incarnation.node for incarnation in reversed(self.incarnations.all())), self.name
        )

    def handle(self, record: Record) -> None:
        """Count one record of the node."""
        if record.event in _START_EVENTS:
            self._check_for_new_process(record)
        if record.level in ERROR_LEVELS:
            self._counts.problems.handle_error(self._number, record)
        for handle in self._handlers.get(record.event, ()):
            handle(record)

    def _check_for_new_process(self, record: Record) -> None:
        if self.incarnations.begin_if_new(record):
            self._leaders = NodeLeaders(self._counts.leaders)
            self._handlers = self._make_handlers()

    def _make_handlers(self) -> dict[int, tuple[Handler, ...]]:
        incarnations = self.incarnations
        statements = self.statements
        leaders = self._leaders
        return {
            NODE_STARTED.number: (incarnations.handle_started, self._counts.record_zone),
            NODE_STOPPED.number: (incarnations.handle_stopped,),
            EDGE_LISTENING.number: (incarnations.handle_listening,),
            READINESS_CHANGED.number: (incarnations.handle_readiness_changed,),
            LEADER_PROVEN.number: (incarnations.handle_leader_proven, leaders.handle_leader_proven),
            LEADER_LOST.number: (leaders.handle_leader_lost,),
            FAILOVER_STARTED.number: (leaders.handle_failover_started,),
            FAILOVER_COMPLETED.number: (leaders.handle_failover_completed,),
            FORMER_LEADER_CUT_OFF.number: (leaders.handle_former_leader_cut_off,),
            REQUEST_REFUSED.number: (statements.handle_refused,),
            REQUEST_ATTEMPT_FAILED.number: (statements.handle_attempt_failed,),
            REQUEST_FORWARD_FAILED.number: (statements.handle_forward_failed,),
            TENANT_RATE_SAMPLE.number: (self._handle_rate_sample,),
            LINES_LEFT_OUT.number: (self._counts.problems.handle_lines_left_out,),
            MEMBER_JOINED.number: (self._counts.record_zone,),
        }

    def _handle_rate_sample(self, record: Record) -> None:
        self._counts.tenants.handle_rate_sample(self._number, record)


class RunCounts:
    """The aggregates over all files. Times: seconds since the epoch."""

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

    def record_zone(self, record: Record) -> None:
        """Record the zone of the node that a line reports."""
        if len(self.zones) < MAXIMUM_ZONES:
            self.zones[record.text_field("node")] = record.text_field("zone")

    def zone(self, node: str) -> str:
        """Return a node's zone; "?" if no line reports it."""
        return self.zones.get(node, "?")

    def read_log(self, path: Path) -> None:
        """Count the lines of a log. Raises UnreadableError."""
        log = _LogReader(path.stem, self)
        for line in read_lines(path):
            log.handle_line(line)
        if not log.lines:
            hint = " (it is a metrics text: pass it with --metrics)" if log.has_metrics else ""
            raise UnreadableError(f"{path}: no bramblebeam lines in this log{hint}")
        self.files += 1
        self.lines += log.lines
        if any(log.passed_over.values()):
            counts = (log.passed_over[reason] for reason in SkipReason)
            self.passed_over.append(PassedOverLines(str(path), *counts))

    def new_stream(self, name: str) -> Stream:
        """Add a stream for a node's lines."""
        stream = Stream(len(self.streams), name, self)
        self.streams.append(stream)
        return stream

    def record_time(self, time: float) -> None:
        """Extend the run to the time of a line (seconds since the epoch)."""
        if not self.first_time <= time <= self.last_time:
            self.first_time = min(self.first_time, time)
            self.last_time = max(self.last_time, time)


class _LogReader:
    """Assigns the lines of one file to streams and counts the lines that are skipped."""

    def __init__(self, name: str, counts: RunCounts) -> None:
        self.lines = 0
        self.has_metrics = False
        self.passed_over = dict.fromkeys(SkipReason, 0)
        self._name = name
        self._counts = counts
        self._by_prefix: dict[str, Stream] = {}
        self._by_name: dict[str, Stream] = {}

    def handle_line(self, line: str) -> None:
        record = parse_record(line)
        if isinstance(record, SkipReason):
            self.passed_over[record] += 1
            self.has_metrics = self.has_metrics or line.startswith(OWN_PREFIX)
            return
        self.lines += 1
        self._counts.record_time(record.time)
        stream = self._by_prefix.get(record.prefix) or self._stream(record.prefix)
        stream.handle(record)

    def _stream(self, prefix: str) -> Stream:
        """Return the stream of a new prefix, by the node's name in it.

        Most prefixes contain a time, so many of them belong to one node.
        """
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
