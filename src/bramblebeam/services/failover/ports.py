"""Interfaces that a platform's adapter implements for the failover service."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from bramblebeam.core.failover.lease import Lease
from bramblebeam.core.failover.roster import Roster
from bramblebeam.core.identity import GroupId, InstanceId, NodeId


class LeaseStoreUnavailableError(Exception):
    """The store did not respond. A write may have taken effect, or may do so later."""


class LeaseStore(Protocol):
    """Keeps one lease per group."""

    async def read(self, group: GroupId, timeout: float) -> Lease | None:
        """Return the lease, or None if there is none. Raises LeaseStoreUnavailableError."""

    async def create(self, group: GroupId, holder: NodeId, timeout: float) -> Lease | None:
        """Create the lease; None if it exists already. Raises LeaseStoreUnavailableError."""

    async def write(self, lease: Lease, content: Lease, timeout: float) -> Lease | None:
        """Write `content` (except its token) if the stored lease is still `lease`.

        Return the lease with its new token, or None if it was changed meanwhile.

        Raises LeaseStoreUnavailableError.
        """


class MemberListUnavailableError(Exception):
    """The store did not tell which databases are registered."""


class MemberList(Protocol):
    """The databases that are registered now, as the store itself tells."""

    async def registered(self, group: GroupId, timeout: float) -> frozenset[InstanceId]:
        """Return a group's registered databases. Raises MemberListUnavailableError."""


class Order(Enum):
    """Outcome of a promotion order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    """A newer token was used, or the database is not running. Nothing was done."""
    UNKNOWN = "unknown"
    """No reply. The order may be carried out, even later."""
    NOT_DONE = "not done"
    """The service was unreachable or overloaded. Nothing was done."""


class Promoter(Protocol):
    """The external service that promotes databases."""

    async def promote(self, lease: Lease, target: InstanceId, timeout: float) -> Order:
        """Order `target` to lead the lease's group, fenced by the lease's token."""


class RosterStoreUnavailableError(Exception):
    """The store did not respond. A write may have taken effect, or may do so later."""


class RosterStore(Protocol):
    """Keeps one roster per group with synchronous replicas."""

    async def read(self, group: GroupId, timeout: float) -> Roster | None:
        """Return the roster, or None if there is none. Raises RosterStoreUnavailableError."""

    async def create(self, roster: Roster, timeout: float) -> Roster | None:
        """Create the roster; None if it exists already. Raises RosterStoreUnavailableError."""

    async def write(self, roster: Roster, timeout: float) -> Roster | None:
        """Write the roster if the stored one still has its revision, else return None.

        Raises RosterStoreUnavailableError.
        """
