"""Maintains the directory of registered databases from the store's list and its changes."""

from dataclasses import dataclass
from typing import NamedTuple

from bramblebeam.core.gateway.directory import DatabaseDirectory, DatabaseEntry
from bramblebeam.core.gateway.incarnations import Incarnations
from bramblebeam.core.identity import InstanceId, ServerName, server_name
from bramblebeam.core.revision import NO_REVISION, Revision

DEPARTED_SECONDS = 60.0
"""How long a database that left is remembered as one that may still run."""
PROVISIONAL_SECONDS = 5.0
"""How long an entry that had been removed and reappears with a restored store is provisional. The
store drops an entry that is not renewed after three heartbeats, which take 3 to 4.5 s."""


@dataclass(slots=True)
class _Registration:
    """One server name's registration.

    `stays_leaving`: it announced in a former era of the store that it leaves, which the restored
    store may not contain. `provisional_until`: it was removed in a former era, and may have
    reappeared only because the store was restored from a backup.
    """

    entry: DatabaseEntry
    revision: Revision
    removed: bool = False
    leaving_since: float | None = None
    stays_leaving: bool = False
    provisional_until: float | None = None


class _Departed(NamedTuple):
    """A database that left, and the revision at which its entry was removed."""

    entry: DatabaseEntry
    since: float
    revision: Revision


class Registry:
    """Tracks registrations. A removed entry is treated as leaving.

    A database whose registration lapsed by mistake, or that leaves without notice, still serves for
    a while. A leaving database gets work only if no other is available. `grace` seconds after it
    began to leave it is removed from the directory and gets none. A restarted server is a new
    instance under the same name: the former one has ended, and is never accepted again.

    A store that is restored from a backup reports an old state. What a database announced after the
    backup stays in force until the database replaces it: a notice of leaving for the rest of that
    incarnation, a removal until the database renews its entry or has been registered for longer
    than an entry lasts that is not renewed.
    """

    def __init__(self, grace: float) -> None:
        self._grace = grace
        self._registrations: dict[ServerName, _Registration] = {}
        self._departed: dict[ServerName, _Departed] = {}
        self._incarnations = Incarnations()
        self._version = 0

    def is_former(self, instance: InstanceId) -> bool:
        """Whether the server has restarted since, so that reports of this instance are stale."""
        return self._incarnations.is_former(instance)

    def put(self, entry: DatabaseEntry, revision: Revision, now: float) -> bool:
        """Add or update one entry; return whether anything changed.

        Older revisions and instances whose server has restarted since are ignored.
        """
        name = server_name(entry.instance)
        known = self._registrations.get(name)
        if known is not None and known.revision > revision:
            return False
        if not self._incarnations.observe(entry.instance):
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
        provisional_until = (
            now + PROVISIONAL_SECONDS if self._was_removed(known, entry, revision) else None
        )
        was_provisional = known is not None and known.provisional_until is not None
        changed = known is None or known.removed or known.entry != entry or was_provisional
        self._registrations[name] = _Registration(
            entry, revision, False, leaving_since, stays_leaving, provisional_until
        )
        return changed

    def forget_revisions(self) -> None:
        """Accept any revision from now on: those known belong to an era that is no longer valid."""
        for known in self._registrations.values():
            known.revision = NO_REVISION

    def _stays_leaving(
        self, known: _Registration | None, entry: DatabaseEntry, revision: Revision
    ) -> bool:
        """Whether a database announced in a former era that it leaves."""
        if known is None:
            departed = self._same_departed(entry)
            is_new_era = departed is not None and departed.revision.era < revision.era
            return departed is not None and is_new_era and departed.entry.leaving
        is_new_era = known.revision.era < revision.era
        return known.stays_leaving or (is_new_era and known.entry.leaving)

    def _was_removed(
        self, known: _Registration | None, entry: DatabaseEntry, revision: Revision
    ) -> bool:
        """Whether the entry was removed in a former era, and may be back by a restore only."""
        if known is not None:
            return known.removed and known.revision.era < revision.era
        departed = self._same_departed(entry)
        return departed is not None and departed.revision.era < revision.era

    def _same_departed(self, entry: DatabaseEntry) -> _Departed | None:
        """Return the departed entry of the same instance, if there is one."""
        departed = self._departed.get(server_name(entry.instance))
        is_same = departed is not None and departed.entry.instance == entry.instance
        return departed if is_same else None

    def remove(self, name: str, now: float, revision: Revision = NO_REVISION) -> bool:
        """Record that the entry of a name was removed; return whether anything changed."""
        known = self._registrations.get(ServerName(name))
        if known is None or known.removed or known.revision > revision > NO_REVISION:
            return False
        known.removed = True
        known.provisional_until = None
        known.revision = max(known.revision, revision)
        if known.leaving_since is None:
            known.leaving_since = now
        return True

    def expire(self, now: float) -> bool:
        """Expire entries after their grace period; return whether the directory changes.

        Entries that have been provisional for long enough become regular ones.
        """
        changed = self._confirm_provisional(now)
        expired = [name for name, known in self._registrations.items() if self._is_over(known, now)]
        for name in expired:
            known = self._registrations[name]
            if known.removed:
                del self._registrations[name]
                self._departed[name] = _Departed(known.entry, now, known.revision)
                changed = True
            elif known.leaving_since != float("-inf"):
                known.leaving_since = float("-inf")
                changed = True
        return changed

    def _confirm_provisional(self, now: float) -> bool:
        """Turn entries that have been provisional for long enough into regular ones."""
        over = [
            known
            for known in self._registrations.values()
            if known.provisional_until is not None and known.provisional_until <= now
        ]
        for known in over:
            known.provisional_until = None
        return bool(over)

    def next_expiry(self) -> float | None:
        """Return when the next entry expires or ceases to be provisional; None if none will."""
        times = [
            known.leaving_since + self._grace
            for known in self._registrations.values()
            if known.leaving_since is not None and known.leaving_since != float("-inf")
        ]
        times += [
            known.provisional_until
            for known in self._registrations.values()
            if known.provisional_until is not None
        ]
        return min(times, default=None)

    def directory(self, now: float) -> DatabaseDirectory:
        """Return the directory now, with a new version."""
        self._version += 1
        entries = {
            known.entry.instance: _published(known)
            for known in self._registrations.values()
            if not self._is_over(known, now)
        }
        restarted = frozenset(filter(self._incarnations.has_restarted, entries))
        return DatabaseDirectory(self._version, entries, self._departed_at(now), restarted)

    def _departed_at(self, now: float) -> dict[InstanceId, DatabaseEntry]:
        """Return the databases that left recently, still registered as leaving or not at all."""
        departed = {
            found.entry.instance: found.entry
            for name, found in self._departed.items()
            if now - found.since < DEPARTED_SECONDS and name not in self._registrations
        }
        for known in self._registrations.values():
            if self._is_over(known, now):
                departed[known.entry.instance] = known.entry
        return departed

    def _is_over(self, known: _Registration, now: float) -> bool:
        return known.leaving_since is not None and now - known.leaving_since >= self._grace


def _published(known: _Registration) -> DatabaseEntry:
    """Return the entry as the directory shows it."""
    if known.removed or known.provisional_until is not None:
        return known.entry._replace(leaving=True, lapsed=True)
    return known.entry
