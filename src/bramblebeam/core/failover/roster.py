"""The roster of a group with synchronous replicas: whose log may hold an acknowledged commit.

A commit is acknowledged once enough replicas have received it, whichever these are. A replica that
leaves may take the only copy with it, and a node that starts later cannot know of that replica. The
roster is kept in the platform's store. It lists every member, and each one that left until enough
others have everything that it may have received.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from typing import NamedTuple

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.identity import Address, GroupId, InstanceId, ZoneId
from bramblebeam.core.revision import NO_REVISION, Revision
from bramblebeam.core.role import Role

MAXIMUM_COVERED = 16
"""Covered members that stay listed: as many as leave within the time in which nodes remember
them."""


class RosterMember(NamedTuple):
    """A database, and the address at which it was registered and a successor receives its log."""

    instance: InstanceId
    address: Address

    def as_departed(self, group: GroupId) -> DatabaseEntry:
        """Return a directory entry with which the database can be reached."""
        return DatabaseEntry(
            self.instance, group, self.address, ZoneId(""), Role.REPLICA, leaving=True, slots=1
        )


@dataclass(frozen=True, slots=True)
class Roster:
    """The databases whose receipt of a commit may have been acknowledged.

    `revision`: of its last write in the store. `members`: sorted. `covered`: databases that left
    and whose log no change of primary needs any more, the latest last. `leader`: the last proven
    primary. `loss_accepted`: an operator has the next change promote the longest reachable log,
    although acknowledged commits may be lost.
    """

    group: GroupId
    revision: Revision = NO_REVISION
    members: tuple[RosterMember, ...] = ()
    covered: tuple[InstanceId, ...] = ()
    leader: InstanceId | None = None
    loss_accepted: bool = False

    def missing(self, registered: Collection[InstanceId]) -> list[RosterMember]:
        """Return the listed members that are not registered."""
        return [member for member in self.members if member.instance not in registered]

    def updated(
        self,
        registered: Iterable[RosterMember],
        covered: Collection[InstanceId],
        leader: InstanceId | None,
    ) -> Roster:
        """Return the roster with the registered databases, and without those covered since.

        `leader`: the proven primary; None if there is none, and the former one stays listed.
        """
        arrived = list(registered)
        present = {member.instance for member in arrived}
        newly_covered = sorted(set(covered) - present)
        kept = [member for member in self.missing(present) if member.instance not in covered]
        formerly_covered = [name for name in self.covered if name not in {*present, *covered}]
        return replace(
            self,
            members=tuple(sorted([*kept, *arrived])),
            covered=tuple([*formerly_covered, *newly_covered][-MAXIMUM_COVERED:]),
            leader=leader or self.leader,
            loss_accepted=self.loss_accepted and leader is None,
        )

    def with_members_of(self, former: Roster) -> Roster:
        """Return the roster with the members of a former state, which a restored store may lack."""
        listed = {member.instance for member in former.members}
        kept = [one for one in self.missing(listed) if one.instance not in former.covered]
        members = tuple(sorted([*kept, *former.members]))
        return replace(self, members=members, covered=former.covered)
