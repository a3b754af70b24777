"""The objects of the stand-in platform, without I/O.

One version counter serves the whole store and only a restore decreases it. Watches read a bounded
history of changes; a watch from a version older than the history fails with `CompactedError`.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Literal, NamedTuple

ChangeType = Literal["ADDED", "MODIFIED", "DELETED"]

DEFAULT_HISTORY = 10_000


class ConflictError(Exception):
    """The object is not at the expected version. `current` is None if it does not exist."""

    def __init__(self, current: "StoredObject | None") -> None:
        super().__init__("object is not at the expected version")
        self.current = current


class NotFoundError(Exception):
    """No object has this name."""


class CompactedError(Exception):
    """The changes after the requested version are compacted, or the version is in the future."""


class ObjectName(NamedTuple):
    """The kind and name that identify an object."""

    kind: str
    name: str


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One version of one object."""

    name: ObjectName
    version: int
    spec: dict[str, Any]
    annotations: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Change:
    """A change in the history. A deletion has the last object with the deletion's version."""

    type: ChangeType
    object: StoredObject


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """A backup for `restore`."""

    version: int
    objects: dict[ObjectName, StoredObject]


class ObjectStore:
    """Objects by (kind, name), with compare-and-swap writes."""

    def __init__(self, history: int = DEFAULT_HISTORY) -> None:
        self.version = 0
        self._objects: dict[ObjectName, StoredObject] = {}
        self._history: deque[Change] = deque(maxlen=history)
        self._compacted_through = 0

    def get(self, name: ObjectName) -> StoredObject:
        """Return the object. Raises NotFoundError."""
        try:
            return self._objects[name]
        except KeyError as error:
            raise NotFoundError from error

    def list(self, kind: str | None = None) -> Iterable[StoredObject]:
        """Return all objects of a kind (None: of all kinds)."""
        return [found for found in self._objects.values() if kind in (None, found.name.kind)]

    def create(
        self, name: ObjectName, spec: dict[str, Any], annotations: dict[str, str]
    ) -> StoredObject:
        """Create an object. Raises ConflictError if it already exists."""
        if name in self._objects:
            raise ConflictError(self._objects[name])
        return self._write("ADDED", name, spec, annotations)

    def replace(
        self, name: ObjectName, version: int, spec: dict[str, Any], annotations: dict[str, str]
    ) -> StoredObject:
        """Replace the object at `version`. Raises NotFoundError, ConflictError."""
        self._require_version(name, version)
        return self._write("MODIFIED", name, spec, annotations)

    def delete(self, name: ObjectName, version: int) -> StoredObject:
        """Delete the object at `version`. Raises NotFoundError, ConflictError."""
        current = self._require_version(name, version)
        return self._write("DELETED", name, current.spec, current.annotations)

    def changes_after(self, version: int, kind: str | None = None) -> Iterable[Change]:
        """Return the changes after `version`, oldest first. Raises CompactedError."""
        if version < self._compacted_through or version > self.version:
            raise CompactedError
        newer = []
        for change in reversed(self._history):
            if change.object.version <= version:
                break
            if kind in (None, change.object.name.kind):
                newer.append(change)
        newer.reverse()
        return newer

    def compact(self) -> None:
        """Discard the history, so that watches from older versions fail from now on."""
        self._history.clear()
        self._compacted_through = self.version

    def snapshot(self) -> StoreSnapshot:
        """Return a backup."""
        return StoreSnapshot(self.version, dict(self._objects))

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Restore a backup and its version counter, so that versions are reused, as a fault."""
        self.version = snapshot.version
        self._objects = dict(snapshot.objects)
        self.compact()

    def _require_version(self, name: ObjectName, version: int) -> StoredObject:
        current = self.get(name)
        if current.version != version:
            raise ConflictError(current)
        return current

    def _write(
        self, type_: ChangeType, name: ObjectName, spec: dict[str, Any], annotations: dict[str, str]
    ) -> StoredObject:
        self.version += 1
        written = StoredObject(name, self.version, spec, annotations)
        if type_ == "DELETED":
            del self._objects[name]
        else:
            self._objects[name] = written
        self._add_to_history(Change(type_, written))
        return written

    def _add_to_history(self, change: Change) -> None:
        if len(self._history) == self._history.maxlen:
            self._compacted_through = self._history[0].object.version
        self._history.append(change)
