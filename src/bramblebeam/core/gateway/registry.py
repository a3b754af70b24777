"""Which databases are registered: a pure follower of the store's list and its changes."""

from dataclasses import dataclass

from bramblebeam.core.gateway.directory import DatabaseDirectory, DatabaseEntry
from bramblebeam.core.identity import InstanceId

DEPARTED_SECONDS = 60.0
"""For how long a database that left is remembered as one that may still run."""


@dataclass(slots=True)
class _Known:
    entry: DatabaseEntry
    revision: int
    gone: bool = False
    leaving_since: float | None = None


class Registry:
    """Follows registrations. An entry that went counts as leaving.

    A database whose registration lapsed by mistake, or that leaves without a word, still serves
    for a while. One that leaves gets work only for want of another, and none at all after `grace`
    seconds: then it is not in the directory any more.
    """

    def __init__(self, grace: float) -> None:
        self._grace = grace
        self._known: dict[InstanceId, _Known] = {}
        self._departed: dict[InstanceId, tuple[DatabaseEntry, float]] = {}
        self._version = 0

    def put(self, entry: DatabaseEntry, revision: int, now: float) -> bool:
        """Take one entry; True: something changed. An older revision is passed over."""
        known = self._known.get(entry.instance)
        if known is not None and known.revision > revision:
            return False
        leaving_since = None
        if entry.leaving:
            already = known is not None and known.entry.leaving
            leaving_since = known.leaving_since if known is not None and already else now
        changed = known is None or known.gone or known.entry != entry
        self._known[entry.instance] = _Known(entry, revision, False, leaving_since)
        return changed

    def remove(self, instance: InstanceId, now: float, revision: int = 0) -> bool:
        """Note that an entry went; True: something changed."""
        known = self._known.get(instance)
        if known is None or known.gone or known.revision > revision > 0:
            return False
        known.gone = True
        if known.leaving_since is None:
            known.leaving_since = now
        return True

    def expire(self, now: float) -> bool:
        """Forget what has left for a grace; True: the directory changes."""
        expired = [instance for instance, known in self._known.items() if self._is_over(known, now)]
        changed = False
        for instance in expired:
            known = self._known[instance]
            if known.gone:
                del self._known[instance]
                self._departed[instance] = (known.entry, now)
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
            instance: known.entry
            if not known.gone
            else known.entry._replace(leaving=True, lapsed=True)
            for instance, known in self._known.items()
            if not self._is_over(known, now)
        }
        return DatabaseDirectory(self._version, entries, self._departed_at(now))

    def _departed_at(self, now: float) -> dict[InstanceId, DatabaseEntry]:
        """Return what left a while ago, registered as leaving or not at all."""
        departed = {
            instance: entry
            for instance, (entry, since) in self._departed.items()
            if now - since < DEPARTED_SECONDS and instance not in self._known
        }
        for instance, known in self._known.items():
            if self._is_over(known, now):
                departed[instance] = known.entry
        return departed

    def _is_over(self, known: _Known, now: float) -> bool:
        return known.leaving_since is not None and now - known.leaving_since >= self._grace
