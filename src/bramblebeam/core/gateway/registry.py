"""Which databases are registered: a pure follower of the store's list and its changes."""

from dataclasses import dataclass

from bramblebeam.core.gateway.directory import DatabaseDirectory, DatabaseEntry
from bramblebeam.core.gateway.lives import Lives
from bramblebeam.core.identity import InstanceId, ServerName, server_name
from bramblebeam.core.revision import NO_REVISION, Revision

DEPARTED_SECONDS = 60.0
"""For how long a database that left is remembered as one that may still run."""


@dataclass(slots=True)
class _Known:
    entry: DatabaseEntry
    revision: Revision
    gone: bool = False
    leaving_since: float | None = None


class Registry:
    """Follows registrations. An entry that went counts as leaving.

    A database whose registration lapsed by mistake, or that leaves without a word, still serves
    for a while. One that leaves gets work only for want of another, and none at all after `grace`
    seconds: then it is not in the directory any more. One that started again is another database
    under the same name: the former one has ended, and is never taken back.
    """

    def __init__(self, grace: float) -> None:
        self._grace = grace
        self._known: dict[ServerName, _Known] = {}
        self._departed: dict[ServerName, tuple[DatabaseEntry, float]] = {}
        self._lives = Lives()
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
        if not self._lives.take(entry.instance):
            return False
        if known is not None and known.entry.instance != entry.instance:
            known = None
        leaving_since = None
        if entry.leaving:
            already = known is not None and known.entry.leaving
            leaving_since = known.leaving_since if known is not None and already else now
        changed = known is None or known.gone or known.entry != entry
        self._known[name] = _Known(entry, revision, False, leaving_since)
        return changed

    def remove(self, name: str, now: float, revision: Revision = NO_REVISION) -> bool:
        """Note that the entry of a name went; True: something changed."""
        known = self._known.get(ServerName(name))
        if known is None or known.gone or known.revision > revision > NO_REVISION:
            return False
        known.gone = True
        if known.leaving_since is None:
            known.leaving_since = now
        return True

    def expire(self, now: float) -> bool:
        """Forget what has left for a grace; True: the directory changes."""
        expired = [name for name, known in self._known.items() if self._is_over(known, now)]
        changed = False
        for name in expired:
            known = self._known[name]
            if known.gone:
                del self._known[name]
                self._departed[name] = (known.entry, now)
                changed = True
            elif known.leaving_since != float("-inf"):
                known.leaving_since = float("-inf")
                changed = True
        return changed

    def next_expiry(self) -> float | None:
        """Return when the next entry is forgotten, or None."""
        times = [
            known.leaving_since
            for known in self._known.values()
            if known.leaving_since is not None and known.leaving_since != float("-inf")
        ]
        return min(times) + self._grace if times else None

    def directory(self, now: float) -> DatabaseDirectory:
        """Return the directory now, with a new version."""
        self._version += 1
        entries = {
            known.entry.instance: known.entry
            if not known.gone
            else known.entry._replace(leaving=True, lapsed=True)
            for known in self._known.values()
            if not self._is_over(known, now)
        }
        restarted = frozenset(filter(self._lives.has_restarted, entries))
        return DatabaseDirectory(self._version, entries, self._departed_at(now), restarted)

    def _departed_at(self, now: float) -> dict[InstanceId, DatabaseEntry]:
        """Return what left a while ago, registered as leaving or not at all."""
        departed = {
            entry.instance: entry
            for name, (entry, since) in self._departed.items()
            if now - since < DEPARTED_SECONDS and name not in self._known
        }
        for known in self._known.values():
            if self._is_over(known, now):
                departed[known.entry.instance] = known.entry
        return departed

    def _is_over(self, known: _Known, now: float) -> bool:
        return known.leaving_since is not None and now - known.leaving_since >= self._grace
