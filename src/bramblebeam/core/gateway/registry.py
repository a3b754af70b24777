"""Which databases are registered: a pure follower of the store's list and its changes."""

from dataclasses import dataclass
from typing import NamedTuple

from bramblebeam.core.gateway.directory import DatabaseDirectory, DatabaseEntry
from bramblebeam.core.gateway.incarnations import Incarnations
from bramblebeam.core.identity import InstanceId, ServerName, server_name
from bramblebeam.core.revision import NO_REVISION, Revision

DEPARTED_SECONDS = 60.0
"""For how long a database that left is remembered as one that may still run."""
DOUBT_SECONDS = 5.0
"""For how long an entry that had gone, and is back with a copy of the store, is doubted. One that
nobody writes is dropped by the store after three heartbeats, which take 3 to 4.5 s."""


@dataclass(slots=True)
class _Known:
    """`stays_leaving`: it said so in a former era of the store, which may have forgotten it.

    `doubted_until`: it had gone in a former era, and may be back with the copy only.
    """

    entry: DatabaseEntry
    revision: Revision
    gone: bool = False
    leaving_since: float | None = None
    stays_leaving: bool = False
    doubted_until: float | None = None


class _Departed(NamedTuple):
    """A database that left, and the revision at which its entry went."""

    entry: DatabaseEntry
    since: float
    revision: Revision


class Registry:
    """Follows registrations. An entry that went counts as leaving.

    A database whose registration lapsed by mistake, or that leaves without a word, still serves
    for a while. One that leaves gets work only for want of another, and none at all after `grace`
    seconds: then it is not in the directory any more. One that started again is another database
    under the same name: the former one has ended, and is never taken back.

    A store that comes back from a copy tells what was. What a database said since the copy holds
    until it says something else: that it leaves for its whole life, that it has left until it
    writes again, or has been registered for as long as only one that writes can be.
    """

    def __init__(self, grace: float) -> None:
        self._grace = grace
        self._known: dict[ServerName, _Known] = {}
        self._departed: dict[ServerName, _Departed] = {}
        self._lives = Incarnations()
        self._version = 0

    def is_former(self, instance: InstanceId) -> bool:
        """Whether a database has started again since: what tells of it is out of date."""
        return self._lives.is_former(instance)

    def put(self, entry: DatabaseEntry, revision: Revision, now: float) -> bool:
        """Take one entry; True: something changed.

        An older revision is passed over, and so is a database that has started again since.
        """
        name = server_name(entry.instance)
        known = self._known.get(name)
        if known is not None and known.revision > revision:
            return False
        if not self._lives.observe(entry.instance):
            return False
        if known is not None and known.entry.instance != entry.instance:
            known = None
        stays_leaving = self._stays_leaving(known, entry, revision)
        if stays_leaving:
            entry = entry._replace(leaving=True)
        leaving_since = None
        if entry.leaving:
            already = known is not None and known.entry.leaving
            leaving_since = known.leaving_since if known is not None and already else now
        doubted_until = now + DOUBT_SECONDS if self._has_left(known, entry, revision) else None
        is_doubt_over = known is not None and known.doubted_until is not None
        changed = known is None or known.gone or known.entry != entry or is_doubt_over
        self._known[name] = _Known(
            entry, revision, False, leaving_since, stays_leaving, doubted_until
        )
        return changed

    def forget_revisions(self) -> None:
        """Let whatever is told next count: the revisions so far were of an era that is none."""
        for known in self._known.values():
            known.revision = NO_REVISION

    def _stays_leaving(
        self, known: _Known | None, entry: DatabaseEntry, revision: Revision
    ) -> bool:
        """Whether a database said in a former era that it leaves."""
        if known is None:
            departed = self._departed_life(entry)
            is_new_era = departed is not None and departed.revision.era < revision.era
            return departed is not None and is_new_era and departed.entry.leaving
        is_new_era = known.revision.era < revision.era
        return known.stays_leaving or (is_new_era and known.entry.leaving)

    def _has_left(self, known: _Known | None, entry: DatabaseEntry, revision: Revision) -> bool:
        """Whether the entry went in a former era, and may be back with the copy only."""
        if known is not None:
            return known.gone and known.revision.era < revision.era
        departed = self._departed_life(entry)
        return departed is not None and departed.revision.era < revision.era

    def _departed_life(self, entry: DatabaseEntry) -> _Departed | None:
        """Return what is known of the same life of a database that left."""
        departed = self._departed.get(server_name(entry.instance))
        is_same = departed is not None and departed.entry.instance == entry.instance
        return departed if is_same else None

    def remove(self, name: str, now: float, revision: Revision = NO_REVISION) -> bool:
        """Note that the entry of a name went; True: something changed."""
        known = self._known.get(ServerName(name))
        if known is None or known.gone or known.revision > revision > NO_REVISION:
            return False
        known.gone = True
        known.doubted_until = None
        known.revision = max(known.revision, revision)
        if known.leaving_since is None:
            known.leaving_since = now
        return True

    def expire(self, now: float) -> bool:
        """Forget what has left for a grace, end doubts; True: the directory changes."""
        changed = self._end_doubts(now)
        expired = [name for name, known in self._known.items() if self._is_over(known, now)]
        for name in expired:
            known = self._known[name]
            if known.gone:
                del self._known[name]
                self._departed[name] = _Departed(known.entry, now, known.revision)
                changed = True
            elif known.leaving_since != float("-inf"):
                known.leaving_since = float("-inf")
                changed = True
        return changed

    def _end_doubts(self, now: float) -> bool:
        """Take databases for registered that have been so for long enough."""
        over = [
            known
            for known in self._known.values()
            if known.doubted_until is not None and known.doubted_until <= now
        ]
        for known in over:
            known.doubted_until = None
        return bool(over)

    def next_expiry(self) -> float | None:
        """Return when the next entry is forgotten, or is doubted no more; None: none is."""
        times = [
            known.leaving_since + self._grace
            for known in self._known.values()
            if known.leaving_since is not None and known.leaving_since != float("-inf")
        ]
        times += [
            known.doubted_until for known in self._known.values() if known.doubted_until is not None
        ]
        return min(times, default=None)

    def directory(self, now: float) -> DatabaseDirectory:
        """Return the directory now, with a new version."""
        self._version += 1
        entries = {
            known.entry.instance: _offered(known)
            for known in self._known.values()
            if not self._is_over(known, now)
        }
        restarted = frozenset(filter(self._lives.has_restarted, entries))
        return DatabaseDirectory(self._version, entries, self._departed_at(now), restarted)

    def _departed_at(self, now: float) -> dict[InstanceId, DatabaseEntry]:
        """Return what left a while ago, registered as leaving or not at all."""
        departed = {
            found.entry.instance: found.entry
            for name, found in self._departed.items()
            if now - found.since < DEPARTED_SECONDS and name not in self._known
        }
        for known in self._known.values():
            if self._is_over(known, now):
                departed[known.entry.instance] = known.entry
        return departed

    def _is_over(self, known: _Known, now: float) -> bool:
        return known.leaving_since is not None and now - known.leaving_since >= self._grace


def _offered(known: _Known) -> DatabaseEntry:
    """Return the entry as others are to see it."""
    if known.gone or known.doubted_until is not None:
        return known.entry._replace(leaving=True, lapsed=True)
    return known.entry
