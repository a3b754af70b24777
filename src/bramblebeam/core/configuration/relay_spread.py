"""How news goes on from a node: to its zone, to the readers of other zones, and reports back.

A reader pushes what is new to every member of its zone, announces it to one reader of each other
zone, and after a while probes the members that have not reported it. Any other node gives news
to its zone's readers, and reports to them how far its rows are.
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

FOLLOW_UPS = 4
"""How often members that have not reported are probed after a push."""

FOLLOW_UP_MEMBERS = 64
"""How many are probed at once."""


class _Repeated:
    """Something to do soon, but not more often than each `period` seconds."""

    def __init__(self, period: float) -> None:
        self.due: float | None = None
        self._period = period
        self._done_at = float("-inf")

    def request(self, now: float) -> None:
        """Let it be done as soon as the period allows."""
        if self.due is None:
            self.due = max(now, self._done_at + self._period)

    def take(self, now: float) -> bool:
        """Whether it is to be done now."""
        if self.due is None or now < self.due:
            return False
        self.due = None
        self._done_at = now
        return True


class Spreading:
    """The outgoing side of one relay. `probe` makes the node's own probe (True: to be answered)."""

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
        self._report = _Repeated(settings.report)
        self._announcement = _Repeated(settings.report)
        self._follow_up_due: float | None = None
        self._follow_ups = 0

    def next_wakeup(self) -> float | None:
        """Return when `wakeup` is due (seconds), or None."""
        due = (self._report.due, self._announcement.due, self._follow_up_due)
        return min((moment for moment in due if moment is not None), default=None)

    def wakeup(self, now: float, fraction: float) -> list[Any]:
        """Send what is due; `fraction` (0 to 1) chooses among the readers of other zones."""
        effects: list[Any] = []
        if self._report.take(now):
            readers = self._peers.zone_readers(but=None)
            effects += [Send(node, Report(self._table.complete)) for node in readers]
        if self._announcement.take(now):
            foreign = self._peers.foreign_readers(fraction)
            effects += [Send(node, self._probe(False)) for node in foreign]
        if self._follow_up_due is not None and now >= self._follow_up_due:
            effects += self._follow_up(now)
        return effects

    def report(self, now: float) -> None:
        """Let the zone's readers know soon how far the rows are here."""
        if not self._peers.is_reader:
            self._report.request(now)

    def pass_on(
        self, applied: list[Row], before: int, source: NodeId | None, now: float
    ) -> list[Any]:
        """Send on what is new here since the version `before`, which came from `source`."""
        if self._peers.is_reader:
            targets = self._peers.zone_members(but=source)
        elif applied and (source is None or not self._peers.is_zone_reader(source)):
            targets = self._peers.zone_readers(but=source)
        else:
            return []
        push = self._push(applied, before)
        if push is None:
            return []
        if self._peers.is_reader:
            self._follow_ups = 0
            self._follow_up_due = now + self._settings.follow_up
            if source is None or not self._peers.in_own_zone(source):
                self._announcement.request(now)
        return [Send(node, push) for node in targets]

    def late_members(self, version: int) -> list[NodeId]:
        """Return members of the zone that have not reported the version, some at most."""
        completes = self._peers.zone_completes(version)
        late = [node for node, complete in completes.items() if complete < version]
        return late[:FOLLOW_UP_MEMBERS]

    def _push(self, applied: list[Row], before: int) -> Changes | Probe | None:
        """Return the rows that are new here, or a probe if they are many, or None.

        Rows that came earlier, ahead of their turn, are among the changes that are now complete.
        """
        batch = self._settings.batch
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
        late = self.late_members(self._table.complete)
        self._follow_ups += 1
        again = bool(late) and self._follow_ups < FOLLOW_UPS
        self._follow_up_due = now + self._settings.follow_up if again else None
        return [Send(node, self._probe(True)) for node in late]
