"""The starts of one node, from the lines of one log."""

from bramblebeam.events.catalogue import NODE_STARTED
from bramblebeam.report.reading.lines import Record

MAXIMUM_LIVES = 200
"""Of one log; a node that starts more often is told with these."""


class NodeIncarnation:
    """One process of a node. Times: seconds of the epoch, None: not told."""

    def __init__(self) -> None:
        self.node = ""
        self.zone = ""
        self.started: float | None = None
        self.accepting_at: float | None = None
        self.ready: float | None = None
        self.leader_proven_at: float | None = None
        self.stopped = False


class NodeIncarnations:
    """Cuts a log into processes.

    Each writes one line 1001 and one line 1101, in either order: the second of either kind is the
    next process's.
    """

    def __init__(self) -> None:
        self.ended: list[NodeIncarnation] = []
        self.life = NodeIncarnation()

    def begin_if_new(self, record: Record) -> bool:
        """Whether 1001 or 1101 is another process than the last one's; begins its life then."""
        life = self.life
        is_start = record.event == NODE_STARTED.number
        told_before = life.started if is_start else life.accepting_at
        is_next = told_before is not None or life.stopped
        if is_next:
            self._begin()
        return is_next

    def _begin(self) -> None:
        if len(self.ended) < MAXIMUM_LIVES:
            self.ended.append(self.life)
        self.life = NodeIncarnation()

    def started(self, record: Record) -> None:
        """Take 1001."""
        self.life.started = record.time
        self.life.node = record.word("node")
        self.life.zone = record.word("zone")

    def handle_listening(self, record: Record) -> None:
        """Take 1101."""
        self.life.accepting_at = record.time

    def handle_readiness_changed(self, record: Record) -> None:
        """Take 1123."""
        if self.life.ready is None and record.fields.get("ready") is True:
            self.life.ready = record.time

    def handle_leader_proven(self, record: Record) -> None:
        """Take 1320."""
        if self.life.leader_proven_at is None:
            self.life.leader_proven_at = record.time

    def stopped(self, _record: Record) -> None:
        """Take 1003."""
        self.life.stopped = True

    def all(self) -> list[NodeIncarnation]:
        """Return the lives that a line 1001 tells of."""
        return [life for life in (*self.ended, self.life) if life.started is not None]
