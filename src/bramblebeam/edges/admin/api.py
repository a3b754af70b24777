"""The interface between the HTTP server and the node: one method per operation.

Every method completes within a bounded time.
"""

from typing import Protocol

from bramblebeam.edges.admin.authentication import Operator
from bramblebeam.edges.admin.schemas import (
    ChangePrimaryResult,
    DrainBody,
    EditBody,
    EditResult,
    GroupBody,
    GroupList,
    InForceBody,
    MemberList,
    NodeDrainResult,
    PoolList,
    RowBody,
    RowList,
    StatusBody,
    VersionsBody,
)


class AdministrationApi(Protocol):
    """The operations. All raise ApiError if the request is refused."""

    async def ready(self) -> bool:
        """Whether this node is ready to serve traffic."""

    async def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""

    async def status(self) -> StatusBody:
        """Return a summary of the system."""

    async def rows(self, kind: str, prefix: str, after: str, limit: int) -> RowList:
        """Return a page of the rows in force."""

    async def row(self, kind: str, name: str) -> RowBody:
        """Return one row in force."""

    async def edit(self, operator: Operator, kind: str, name: str, body: EditBody) -> EditResult:
        """Write a row."""

    async def delete(
        self, operator: Operator, kind: str, name: str, expected: int, change_id: str
    ) -> EditResult:
        """Delete a row."""

    async def in_force(self, version: int) -> InForceBody:
        """Return where a version is in force."""

    async def versions(self, limit: int) -> VersionsBody:
        """Return the version in force at each node, the lowest first."""

    async def members(self, zone: str, after: str, limit: int) -> MemberList:
        """Return a page of the known nodes of `zone`, or of all zones if it is empty."""

    async def groups(self, after: str, limit: int) -> GroupList:
        """Return a page of groups with their live state."""

    async def group(self, group: str) -> GroupBody:
        """Return one group with its live state."""

    async def pools(self, group: str, after: str, limit: int) -> PoolList:
        """Return the pools of one group, or of a page of groups."""

    async def change_primary(
        self, operator: Operator, group: str, instance: str
    ) -> ChangePrimaryResult:
        """Make the instance the primary of its group."""

    async def drain_instance(
        self, operator: Operator, instance: str, body: DrainBody
    ) -> EditResult:
        """Drain a back end, or return it to service, by editing its weight row."""

    async def drain_node(self, operator: Operator, node: str) -> NodeDrainResult:
        """Start the planned stop of a node."""
