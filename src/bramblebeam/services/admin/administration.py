"""The operations of the administration API at one node."""

from dataclasses import asdict

from bramblebeam.core.configuration.rows import RowKey
from bramblebeam.core.identity import GroupId, InstanceId, NodeId
from bramblebeam.core.membership.view import MemberState
from bramblebeam.edges.admin.authentication import Operator
from bramblebeam.edges.admin.errors import refuse
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
from bramblebeam.kernel import Kernel
from bramblebeam.services.admin.metrics import NodeMetrics
from bramblebeam.services.admin.peers import ask_service
from bramblebeam.services.admin.rows import RowOperations
from bramblebeam.services.admin.system import SystemOperations
from bramblebeam.services.admin.views import Views
from bramblebeam.services.configuration.messages import (
    ConfigurationStatus,
    ConfigurationStatusQuery,
)
from bramblebeam.settings.model import NodeSettings


class Administration:
    """Implements `AdministrationApi` by messages to the node's services and to other nodes."""

    def __init__(self, kernel: Kernel, settings: NodeSettings, views: Views) -> None:
        self._kernel = kernel
        self._settings = settings
        self._views = views
        self._rows = RowOperations(kernel)
        self._system = SystemOperations(kernel, views)
        self._metrics = NodeMetrics(kernel, settings, views)

    async def ready(self) -> bool:
        """Whether this node may take traffic."""
        found = await ask_service(
            self._kernel, "configuration", ConfigurationStatusQuery(), ConfigurationStatus
        )
        return found is not None and found.ready

    async def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return await self._metrics.render()

    async def status(self) -> StatusBody:
        """Return an overview of the system."""
        here = await self._rows.status_here()
        in_force = await self._rows.in_force(here.complete)
        states = [member.state for member in self._views.members.members.values()]
        return StatusBody(
            node=self._settings.node,
            zone=self._settings.zone,
            ready=here.ready,
            complete=here.complete,
            watching_store=here.watching,
            rows=here.rows,
            groups=len(self._views.configuration.groups),
            members={state.name.lower(): states.count(state) for state in MemberState},
            zones=in_force.zones,
            unreachable=in_force.unreachable,
        )

    async def rows(self, kind: str, prefix: str, after: str, limit: int) -> RowList:
        """Return a page of the rows in force."""
        return await self._rows.page(kind, prefix, after, limit)

    async def row(self, kind: str, name: str) -> RowBody:
        """Return one row in force."""
        return await self._rows.one(RowKey(kind, name))

    async def edit(self, operator: Operator, kind: str, name: str, body: EditBody) -> EditResult:
        """Write a row."""
        return await self._rows.write(operator, RowKey(kind, name), body)

    async def delete(
        self, operator: Operator, kind: str, name: str, expected: int, change_id: str
    ) -> EditResult:
        """Delete a row."""
        return await self._rows.remove(operator, RowKey(kind, name), expected, change_id)

    async def in_force(self, version: int) -> InForceBody:
        """Return each zone's progress on a version."""
        return await self._rows.in_force(version)

    async def versions(self, limit: int) -> VersionsBody:
        """Return the version in force at each node, lowest first."""
        return await self._rows.versions(limit)

    async def members(self, zone: str, after: str, limit: int) -> MemberList:
        """Return a page of the known nodes, of one zone or (empty) of all."""
        return self._system.members(zone, after, limit)

    async def groups(self, after: str, limit: int) -> GroupList:
        """Return a page of groups with their live state."""
        return await self._system.groups(after, limit)

    async def group(self, group: str) -> GroupBody:
        """Return one group with its live state."""
        return await self._system.group(GroupId(group))

    async def pools(self, group: str, after: str, limit: int) -> PoolList:
        """Return the pools of one group, or of a page of groups."""
        return await self._system.pools(group, after, limit)

    async def change_primary(
        self, operator: Operator, group: str, instance: str
    ) -> ChangePrimaryResult:
        """Make the instance the primary of its group."""
        return await self._system.change_primary(operator, GroupId(group), InstanceId(instance))

    async def drain_instance(
        self, operator: Operator, instance: str, body: DrainBody
    ) -> EditResult:
        """Set `drain` in the back end's weight row; create the row if none is in force."""
        group = self._views.group_of(InstanceId(instance))
        if group is None:
            raise refuse(404, "instance", f"no group in force has a member {instance!r}")
        operator.require_row(instance)
        if body.drain and not body.force:
            await self._check_primary_can_move(group, instance)
        key = RowKey("weight", instance)
        row = await self._rows.find(key)
        weight = self._views.configuration.weights.get(InstanceId(instance))
        spec = asdict(weight) if weight else {"instance": instance}
        in_force = row.version if row and row.spec else 0
        expected = in_force if body.expected_version is None else body.expected_version
        edit = EditBody(expected_version=expected, spec={**spec, "drain": body.drain})
        return await self._rows.write(operator, key, edit)

    async def _check_primary_can_move(self, group: GroupId, instance: str) -> None:
        """Refuse to drain a primary that bramblebeam may not move. Raises ApiError 409."""
        found = await self._system.group(group)
        if found.primary == instance and found.failover == "observed":
            message = f"{instance!r} is the primary of {group!r}, which changes its primary itself"
            raise refuse(409, "primary", message)

    async def drain_node(self, operator: Operator, node: str) -> NodeDrainResult:
        """Let a node stop as planned."""
        return await self._system.drain_node(operator, NodeId(node))
