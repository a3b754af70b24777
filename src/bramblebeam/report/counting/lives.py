"""Splits the lines of one node into the node's incarnations, one per process."""

from bramblebeam.events.catalogue import NODE_STARTED
from bramblebeam.report.reading.lines import Record

MAX_ENDED = 200
"""Ended incarnations kept per log. A node that restarts more often is reported with the first
ones and the current one."""


class NodeIncarnation:
    """One process of a node. Times: seconds since the epoch, None if no line reports them."""

    def __init__(self) -> None:
        self.node = ""
        self.zone = ""
        self.started_at: float | None = None
        self.accepting_at: float | None = None
        self.ready_at: float | None = None
        self.leader_proven_at: float | None = None
        self.stopped = False


class NodeIncarnations:
    """The incarnations of one node in one log.

    Each process writes one line 1001 and one line 1101, in either order, so a second line of
    either kind belongs to the next process.
    """

    def __init__(self) -> None:
        self.ended: list[NodeIncarnation] = []
        self.current = NodeIncarnation()

    def begin_if_new(self, record: Record) -> bool:
        """Begin a new incarnation if this line 1001 or 1101 is of a new process; return whether."""
        current = self.current
        is_start = record.event == NODE_STARTED.number
        earlier = current.started_at if is_start else current.accepting_at
        is_new = earlier is not None or current.stopped
        if is_new:
            self._begin()
        return is_new

    def _begin(self) -> None:
        if len(self.ended) < MAX_ENDED:
            self.ended.append(self.current)
        self.current = NodeIncarnation()

    def handle_started(self, record: Record) -> None:
        """Handle event 1001."""
        self.current.started_at = record.time
        self.current.node = record.text_field("node")
        self.current.zone = record.text_field("zone")

    def handle_listening(self, record: Record) -> None:
        """Handle event 1101."""
        self.current.accepting_at = record.time

    def handle_readiness_changed(self, record: Record) -> None:
        """Handle event 1123; only the first time that the node is ready is kept."""
        if self.current.ready_at is None and record.fields.get("ready") is True:
            self.current.ready_at = record.time

    def handle_leader_proven(self, record: Record) -> None:
        """Handle event 1320; only the first is kept."""
        if self.current.leader_proven_at is None:
            self.current.leader_proven_at = record.time

    def handle_stopped(self, _record: Record) -> None:
        """Handle event 1003."""
        self.current.stopped = True

    def all(self) -> list[NodeIncarnation]:
        """Return the incarnations whose start, a line 1001, was read."""
        return [each for each in (*self.ended, self.current) if each.started_at is not None]
