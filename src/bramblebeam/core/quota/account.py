"""The counts taken by one operation, and which of them belong to attempts that may have run."""

from typing import NamedTuple

from bramblebeam.core.identity import NodeId
from bramblebeam.core.quota.messages import NO_RECEIPT
from bramblebeam.core.tenants import TenantId


class Count(NamedTuple):
    """One counted operation of a tenant, which may be refunded at the node that counted it.

    `node` None: the node that forwarded the statement took the count and settles it.
    """

    tenant: TenantId
    node: NodeId | None
    receipt: int = NO_RECEIPT


class OperationAccount:
    """Charges one count to each attempt of an operation that a database may run.

    The count of an attempt that has surely not run is used for the next attempt, and counts left at
    the end are refunded. For a tenant without a limit, only the attempts are recorded.
    """

    def __init__(self) -> None:
        self._unused: list[Count] = []
        self._charged: list[Count | None] = []

    @property
    def has_unused(self) -> bool:
        """Whether there is a count for another attempt."""
        return bool(self._unused)

    @property
    def surely_not_run(self) -> bool:
        """Whether no attempt can have run."""
        return not self._charged

    def add(self, count: Count) -> None:
        """Add a count that was taken for this operation."""
        self._unused.append(count)

    def charge(self) -> None:
        """Charge an attempt that is about to be sent."""
        self._charged.append(self._unused.pop() if self._unused else None)

    def record_not_run(self) -> None:
        """Record that the last attempt has surely not run."""
        if not self._charged:
            return
        count = self._charged.pop()
        if count is not None:
            self._unused.append(count)

    def take_unused(self) -> list[Count]:
        """Remove and return the unused counts, for the caller to refund."""
        unused, self._unused = self._unused, []
        return unused
