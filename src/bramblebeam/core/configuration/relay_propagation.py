"""Propagates changes from a node to its zone and to other zones, and reports its progress.

A reader pushes changes to every member of its zone, announces them to one reader of each other
zone, and after a delay probes the members that have not reported them. Any other node sends changes
to its zone's readers and reports its `complete` version to them.
"""

from collections.abc import Callable
from typing import Any

from bramblebeam.core.configuration.messages import Changes, Probe, Report
from bramblebeam.core.configuration.relay_peers import RelayPeers
from bramblebeam.core.configuration.relay_settings import RelaySettings
from bramblebeam.core.configuration.rows import Row
from bramblebeam.core.configuration.table import RowTable
from bramblebeam.core.identity import NodeId
from bramblebeam.core.machine import Send

MAX_FOLLOW_UPS = 4
"""How many times the members that have not reported a push are probed."""

MAX_FOLLOW_UP_MEMBERS = 64
"""How many members are probed at a time."""


class _RateLimited:
    """An action that runs at most once per `interval` seconds."""

    def __init__(self, interval: float) -> None:
        self.due: float | None = None
        self._interval = interval
        self._last_at = float("-inf")

    def request(self, now: float) -> None:
        """Schedule the action as soon as the interval allows."""
        if self.due is None:
            self.due = max(now, self._last_at + self._interval)

    def take_if_due(self, now: float) -> bool:
        """Return whether the action is due, and if so count it as done."""
        if self.due is None or now < self.due:
            return False
        self.due = None
        self._last_at = now
        return True


class Propagator:
    """The outgoing side of one relay. `probe` builds this node's probe (True: with a reply)."""

    def __init__(
        self,
        table: RowTable,
        peers: RelayPeers,
        settings: RelaySettings,
        probe: Callable[[bool], Probe],
    ) -> None:
        self._table = table
        self._peers = peers
        self._settings = settings
        self._probe = probe
        self._report = _RateLimited(settings.report_interval)
        self._announcement = _RateLimited(settings.report_interval)
        self._follow_up_due: float | None = None
        self._follow_ups = 0

    def next_wakeup(self) -> float | None:
        """Return when `wakeup` is due (seconds), or None."""
        due = (self._report.due, self._announcement.due, self._follow_up_due)
        return min((moment for moment in due if moment is not None), default=None)

    def wakeup(self, now: float, fraction: float) -> list[Any]:
        """Send what is due; `fraction` (0 to 1) selects among the readers of other zones."""
        effects: list[Any] = []
        if self._report.take_if_due(now):
            readers = self._peers.zone_readers(exclude=None)
            effects += [Send(node, Report(self._table.complete)) for node in readers]
        if self._announcement.take_if_due(now):
            foreign = self._peers.foreign_readers(fraction)
            effects += [Send(node, self._probe(False)) for node in foreign]
        if self._follow_up_due is not None and now >= self._follow_up_due:
            effects += self._follow_up(now)
        return effects

    def report(self, now: float) -> None:
        """Schedule a report of the `complete` version to the zone's readers."""
        if not self._peers.is_reader:
            self._report.request(now)

    def propagate(
        self, applied: list[Row], before: int, source: NodeId | None, now: float
    ) -> list[Any]:
        """Send on the changes since the version `before`.

        `source`: the peer that sent them; None: the store, or an edit at this node.
        """
        if self._peers.is_reader:
            targets = self._peers.zone_members(exclude=source)
        elif applied and (source is None or not self._peers.is_zone_reader(source)):
            targets = self._peers.zone_readers(exclude=source)
        else:
            return []
        push = self._push(applied, before)
        if push is None:
            return []
        if self._peers.is_reader:
            self._follow_ups = 0
            self._follow_up_due = now + self._settings.follow_up_delay
            if source is None or not self._peers.in_own_zone(source):
                self._announcement.request(now)
        return [Send(node, push) for node in targets]

    def lagging_members(self, version: int) -> list[NodeId]:
        """Return up to `MAX_FOLLOW_UP_MEMBERS` zone members that have not reported the version."""
        completes = self._peers.zone_completes(version)
        lagging = [node for node, complete in completes.items() if complete < version]
        return lagging[:MAX_FOLLOW_UP_MEMBERS]

    def _push(self, applied: list[Row], before: int) -> Changes | Probe | None:
        """Return the new rows, a probe if they exceed one message, or None if there are none.

        Rows that arrived out of order are included once all changes before them are complete.
        """
        batch = self._settings.batch_rows
        complete = self._table.complete
        since, more = self._table.rows_after(before, batch)
        newer = {row.key: row for row in since if row.version <= complete}
        newer |= {row.key: row for row in applied}
        if not newer:
            return None
        if more or len(newer) > batch:
            return self._probe(False)
        return Changes(before, complete, tuple(newer.values()), floor=self._table.floor)

    def _follow_up(self, now: float) -> list[Any]:
        lagging = self.lagging_members(self._table.complete)
        self._follow_ups += 1
        again = bool(lagging) and self._follow_ups < MAX_FOLLOW_UPS
        self._follow_up_due = now + self._settings.follow_up_delay if again else None
        return [Send(node, self._probe(True)) for node in lagging]
