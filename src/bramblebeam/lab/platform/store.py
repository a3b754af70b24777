"""The objects of the stand-in platform, without any input or output.

One version counter serves the whole store and only grows. A bounded history of changes feeds the
watches; a watch from a version that fell out of it fails with `CompactedError`.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Literal, NamedTuple

ChangeType = Literal["ADDED", "MODIFIED", "DELETED"]

DEFAULT_HISTORY = 10_000


class ConflictError(Exception):
    """The object is not at the version that the writer expected. `current` is None if absent."""

    def __init__(self, current: "StoredObject | None") -> None:
        super().__init__("the object has another version")
        self.current = current


class NotFoundError(Exception):
    """There is no object of this name."""


class CompactedError(Exception):
    """The changes after the asked version are no longer kept, or the version is not reached yet."""


class ObjectName(NamedTuple):
    """Names one object."""

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
    """One entry of the history. A deletion carries the last object with the deletion's version."""

    type: ChangeType
    object: StoredObject


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """A backup: what `restore` puts back."""

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
        """Return all objects of a kind (None: of every kind)."""
        return [found for found in self._objects.values() if kind in (None, found.name.kind)]

    def create(
        self, name: ObjectName, spec: dict[str, Any], annotations: dict[str, str]
    ) -> StoredObject:
        """Add an object. Raises ConflictError if there is one already."""
        if name in self._objects:
            raise ConflictError(self._objects[name])
        return self._write("ADDED", name, spec, annotations)

    def replace(
        self, name: ObjectName, version: int, spec: dict[str, Any], annotations: dict[str, str]
    ) -> StoredObject:
        """Replace the object at `version`. Raises NotFoundError, ConflictError."""
        self._check(name, version)
        return self._write("MODIFIED", name, spec, annotations)

    def delete(self, name: ObjectName, version: int) -> StoredObject:
        """Remove the object at `version`. Raises NotFoundError, ConflictError."""
        current = self._check(name, version)
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
        """Forget the history: every watch from an older version fails from now on."""
        self._history.clear()
        self._compacted_through = self.version

    def snapshot(self) -> StoreSnapshot:
        """Return a backup."""
        return StoreSnapshot(self.version, dict(self._objects))

    def restore(self, snapshot: StoreSnapshot) -> None:
        """Go back to a backup, its version counter too, as a careless restore does."""
        self.version = snapshot.version
        self._objects = dict(snapshot.objects)
        self.compact()

    def _check(self, name: ObjectName, version: int) -> StoredObject:
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
        self._remember(Change(type_, written))
        return written

    def _remember(self, change: Change) -> None:
        if len(self._history) == self._history.maxlen:
            self._compacted_through = self._history[0].object.version
        self._history.append(change)
