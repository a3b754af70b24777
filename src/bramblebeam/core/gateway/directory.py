"""The directory of registered databases."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from bramblebeam.core.identity import Address, GroupId, InstanceId, ZoneId
from bramblebeam.core.role import Role


class DatabaseEntry(NamedTuple):
    """One registered database server.

    `role`: as the server reports it; it may lag. `lapsed`: the registration disappeared without a
    notice of leaving; either the server leaves, or the registration will be renewed.
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

    `departed`: databases that left recently. They get no work, but may still run. `restarted`:
    instances in `entries` that are known to have restarted under the same server name.
    """

    version: int = 0
    entries: Mapping[InstanceId, DatabaseEntry] = field(default_factory=dict)
    departed: Mapping[InstanceId, DatabaseEntry] = field(default_factory=dict)
    restarted: frozenset[InstanceId] = frozenset()

    def members(self, group: GroupId) -> list[DatabaseEntry]:
        """Return the group's databases, sorted by instance."""
        found = [entry for entry in self.entries.values() if entry.group == group]
        return sorted(found, key=lambda entry: entry.instance)


@dataclass(frozen=True, slots=True)
class DirectoryChanged:
    """Published when the directory changes."""

    directory: DatabaseDirectory
