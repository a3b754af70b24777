"""Gateway contexts without databases, which exchange messages about limits without delay."""

from __future__ import annotations

import asyncio
import itertools

from bramblebeam.core.gateway.owners import NodeLocation
from bramblebeam.core.gateway.routes import GroupSettings, RouteTable
from bramblebeam.core.identity import Address, GroupId, NodeId
from bramblebeam.core.membership.view import Member, MembersView
from bramblebeam.core.quota.messages import (
    Admission,
    AdmissionRequest,
    AdmissionReturned,
    Grant,
    GrantRequest,
    GrantReturned,
)
from bramblebeam.core.tenants import RateLimit, Tenant, TenantId, TenantTable
from bramblebeam.platform.database_connection import LineDatabaseConnector
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.gateway.forwarding import Peers
from bramblebeam.services.transport.messages import TIMED_OUT, PeerFailure
from member_views import Nodes, view_of

GROUP = GroupId("deliveries")
CONNECTIONS = 32
_ports = itertools.count(1)


def addressed(view: MembersView) -> MembersView:
    """Return the view with a distinct address for each member."""
    members = {}
    for node, member in view.members.items():
        spec = member.spec._replace(peer_address=Address("", next(_ports)))
        members[node] = Member(spec, member.incarnation, member.state)
    return MembersView(members, view.owners)


def table(version: int, limit: RateLimit, *tenants: TenantId) -> RouteTable:
    """Return a configuration with a limit for some tenants."""
    listed = TenantTable([Tenant(tenant, (), limit) for tenant in tenants])
    return RouteTable(version, {}, {GROUP: GroupSettings(GROUP, CONNECTIONS)}, 3.0, listed)


class _FleetPeers(Peers):
    """Delivers the messages of one node."""

    def __init__(self, fleet: Fleet, node: NodeId) -> None:
        self._fleet = fleet
        self._node = node

    def send(self, to: Address, message: GrantRequest | Grant | GrantReturned) -> None:
        fleet = self._fleet
        found = next((node for node, own in fleet.addresses.items() if own == to), None)
        if found is None or not fleet.reaches(self._node, found):
            return
        limits = fleet.contexts[found].limits
        if isinstance(message, GrantRequest):
            limits.handle_grant_request(self._node, message, fleet.addresses[self._node])
        elif isinstance(message, Grant):
            limits.handle_grant(self._node, message)
        else:
            limits.handle_grant_returned(self._node, message)

    async def request_admission(
        self, node: NodeId, message: AdmissionRequest, timeout: float
    ) -> Admission | PeerFailure:
        if not self._fleet.reaches(self._node, node):
            return PeerFailure(True, TIMED_OUT)
        return self._fleet.contexts[node].limits.count(message)

    def post(self, node: NodeId, message: object) -> None:
        if isinstance(message, AdmissionReturned) and self._fleet.reaches(self._node, node):
            self._fleet.contexts[node].limits.refund(message)


class Fleet:
    """Nodes in regions of two zones each, which all know each other.

    `unresponsive`: nodes that neither send nor receive. `sides`: side of a partition by node; nodes
    on different sides can't reach each other.
    """

    def __init__(self, nodes: Nodes, configured: RouteTable) -> None:
        self.view = addressed(view_of(nodes, lambda zone: zone // 2))
        self.addresses = {
            node: member.spec.peer_address for node, member in self.view.members.items()
        }
        self.unresponsive: set[NodeId] = set()
        self.sides: dict[NodeId, int] = {}
        self.contexts = {node: self._context(node, configured) for node in self.view.members}

    def _context(self, node: NodeId, configured: RouteTable) -> GatewayContext:
        spec = self.view.members[node].spec
        context = GatewayContext(
            NodeLocation(node, spec.zone, spec.region),
            LineDatabaseConnector(),
            _FleetPeers(self, node),
            lambda message: None,
            asyncio.ensure_future,
        )
        context.expects_others = True
        context.limits.start()
        context.configure(configured)
        context.update_members(self.view)
        return context

    def restart(self, node: NodeId, configured: RouteTable) -> GatewayContext:
        """Restart a node, which immediately knows all others."""
        self.contexts[node] = self._context(node, configured)
        return self.contexts[node]

    def reaches(self, node: NodeId, other: NodeId) -> bool:
        """Whether messages of a node arrive at another one."""
        apart = self.sides.get(node, 0) != self.sides.get(other, 0)
        return not apart and not {node, other} & self.unresponsive

    def request_grants(self) -> None:
        """Let every node send its pending grant requests."""
        for node, context in list(self.contexts.items()):
            if node not in self.unresponsive:
                context.limits.request_grants()

    def homes(self, tenant: TenantId) -> tuple[NodeId, ...]:
        """Return the nodes that may count a tenant if all nodes are reachable."""
        return next(iter(self.contexts.values())).homes(tenant)

    def shares(self, tenant: TenantId) -> dict[NodeId, float]:
        """Return the share of a tenant's limit by node, without nodes that have none."""
        found = {node: context.limits.share(tenant) for node, context in self.contexts.items()}
        return {node: share for node, share in found.items() if share}
