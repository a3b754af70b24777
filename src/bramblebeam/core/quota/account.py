"""The counts that one operation has taken, and which of them a database may have run."""

from typing import NamedTuple

from bramblebeam.core.identity import NodeId
from bramblebeam.core.quota.messages import NO_RECEIPT
from bramblebeam.core.tenants import TenantId


class Count(NamedTuple):
    """One count of a tenant's operations, which may be given back where it was taken.

    `node` None: the node that passed the statement on has taken it, and settles it.
    """

    tenant: TenantId
    node: NodeId | None
    receipt: int = NO_RECEIPT


class OperationAccount:
    """Each attempt that a database may run is paid for by a count of its own.

    One that has surely not run pays for the next one. What is left in the end is given back. Where
    a tenant has no limit, only the attempts are noted.
    """

    def __init__(self) -> None:
        self._free: list[Count] = []
        self._paid: list[Count | None] = []

    @property
    def has_unused(self) -> bool:
        """Whether another attempt is paid for."""
        return bool(self._free)

    @property
    def surely_not_run(self) -> bool:
        """Whether no attempt can have run."""
        return not self._paid

    def add(self, count: Count) -> None:
        """Add a count that was taken for this operation."""
        self._free.append(count)

    def charge(self) -> None:
        """Pay for an attempt that is about to be sent."""
        self._paid.append(self._free.pop() if self._free else None)

    def record_not_run(self) -> None:
        """Note that an attempt has surely not run."""
        if not self._paid:
            return
        count = self._paid.pop()
        if count is not None:
            self._free.append(count)

    def take_unused(self) -> list[Count]:
        """Return what was not used, which is given back once."""
        free, self._free = self._free, []
        return free
