"""Which databases are registered: a pure follower of the store's list and its changes."""

from dataclasses import dataclass, replace

from bramblebeam.core.gateway.directory import DatabaseDirectory, DatabaseEntry
from bramblebeam.core.identity import InstanceId


@dataclass(slots=True)
class _Known:
    entry: DatabaseEntry
    revision: int
    gone_at: float | None = None


class Registry:
    """Follows registrations. An entry that went counts as leaving for `grace` seconds.

    A database whose registration lapsed by mistake, or that leaves without a word, still serves
    for a while: it gets no new work that another one can do, and is forgotten after the grace.
    """

    def __init__(self, grace: float) -> None:
        self._grace = grace
        self._known: dict[InstanceId, _Known] = {}
        self._version = 0

    def replace_all(self, entries: dict[InstanceId, tuple[DatabaseEntry, int]], now: float) -> bool:
        """Take a whole list of entries with their revisions; True: something changed."""
        changed = False
        for entry, revision in entries.values():
            changed |= self.put(entry, revision)
        for instance in self._known.keys() - entries.keys():
            changed |= self.remove(instance, now)
        return changed

    def put(self, entry: DatabaseEntry, revision: int) -> bool:
        """Take one entry; True: something changed. An older revision is passed over."""
        known = self._known.get(entry.instance)
        if known is not None and known.revision > revision:
            return False
        if known is not None and known.entry == entry and known.gone_at is None:
            known.revision = revision
            return False
        self._known[entry.instance] = _Known(entry, revision)
        return True

    def remove(self, instance: InstanceId, now: float, revision: int = 0) -> bool:
        """Note that an entry went; True: something changed."""
        known = self._known.get(instance)
        if known is None or known.gone_at is not None or known.revision > revision > 0:
            return False
        known.gone_at = now
        return True

    def expire(self, now: float) -> bool:
        """Forget entries that went a grace ago; True: something changed."""
        expired = [
            instance
            for instance, known in self._known.items()
            if known.gone_at is not None and now - known.gone_at >= self._grace
        ]
        for instance in expired:
            del self._known[instance]
        return bool(expired)

    def next_expiry(self) -> float | None:
        """Return when the next entry is forgotten, or None."""
        times = [known.gone_at for known in self._known.values() if known.gone_at is not None]
        return min(times) + self._grace if times else None

    def directory(self) -> DatabaseDirectory:
        """Return the directory now, with a new version."""
        self._version += 1
        entries = {
            instance: known.entry if known.gone_at is None else replace(known.entry, leaving=True)
            for instance, known in self._known.items()
        }
        return DatabaseDirectory(self._version, entries)
