"""The databases that are known, as they registered themselves."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from bramblebeam.core.identity import Address, GroupId, InstanceId, ZoneId
from bramblebeam.core.role import Role


class DatabaseEntry(NamedTuple):
    """One registered database server.

    `role` is its own view of itself and may lag. `lapsed`: its registration went without a word:
    it leaves, or the registration will be back.
    """

    instance: InstanceId
    group: GroupId
    address: Address
    zone: ZoneId
    role: Role
    leaving: bool
    slots: int
    lapsed: bool = False


@dataclass(frozen=True, slots=True)
class DatabaseDirectory:
    """Every registered database. `version` grows with each change.

    `departed`: databases that left a while ago. They get no work, but may still run. `restarted`:
    those of `entries` that are known to have started again under their name.
    """

    version: int = 0
    entries: Mapping[InstanceId, DatabaseEntry] = field(default_factory=dict)
    departed: Mapping[InstanceId, DatabaseEntry] = field(default_factory=dict)
    restarted: frozenset[InstanceId] = frozenset()

    def members(self, group: GroupId) -> list[DatabaseEntry]:
        """Return the group's databases, in the order of their names."""
        found = [entry for entry in self.entries.values() if entry.group == group]
        return sorted(found, key=lambda entry: entry.instance)


@dataclass(frozen=True, slots=True)
class DirectoryChanged:
    """Published when the directory changed."""

    directory: DatabaseDirectory
