"""The interfaces between failover and the adapter of a platform."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from bramblebeam.core.failover.lease import Lease
from bramblebeam.core.identity import GroupId, InstanceId, NodeId


class LeaseStoreUnavailableError(Exception):
    """The store gave no answer. A write may have been done, or may be done later."""


class LeaseStore(Protocol):
    """Keeps one lease a group."""

    async def read(self, group: GroupId, timeout: float) -> Lease | None:
        """Return the lease, or None where there is none. Raises LeaseStoreUnavailableError."""

    async def create(self, group: GroupId, holder: NodeId, timeout: float) -> Lease | None:
        """Create the lease; None: there is one. Raises LeaseStoreUnavailableError."""

    async def write(self, lease: Lease, content: Lease, timeout: float) -> Lease | None:
        """Write `content` (but its token) if the lease is still `lease`.

        Return the lease with its new token; None: it was changed.

        Raises LeaseStoreUnavailableError.
        """


class Order(Enum):
    """What became of an order to promote."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    """A newer token was used, or the database does not run. Nothing was done."""
    UNKNOWN = "unknown"
    """No answer. It may be carried out, also later."""
    NOT_DONE = "not done"
    """The service could not be reached or had too much to do. Nothing was done."""


class Promoter(Protocol):
    """The outside service that promotes a database."""

    async def promote(self, lease: Lease, target: InstanceId, timeout: float) -> Order:
        """Order that `target` leads the lease's group, fenced by the lease's token."""
