"""The admin service: the HTTP server, its views, and answers to other nodes' admin services."""

from __future__ import annotations

import logging
import signal
from typing import ClassVar

from bramblebeam.core.administration.messages import (
    DrainNodeReply,
    DrainNodeRequest,
    NodeStatusReply,
    NodeStatusRequest,
    PoolStatus,
    PoolStatusRequest,
)
from bramblebeam.core.configuration.view import ConfigurationChanged
from bramblebeam.core.group.messages import GroupChanged
from bramblebeam.core.identity import Address
from bramblebeam.core.membership.view import MembersChanged
from bramblebeam.core.statement import InstanceStatus
from bramblebeam.edges.admin.server import AdminServer
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import ADMIN_NODE_DRAIN, ADMIN_STARTED
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.messages import BoundAddressRequest
from bramblebeam.kernel.service import answer
from bramblebeam.services.admin.administration import Administration
from bramblebeam.services.admin.peers import ask_service
from bramblebeam.services.admin.views import Views
from bramblebeam.services.configuration.messages import (
    ConfigurationStatus,
    ConfigurationStatusQuery,
)
from bramblebeam.services.edge.messages import EdgeStatus, EdgeStatusRequest
from bramblebeam.services.transport.messages import PeerDelivery, PeerRoute
from bramblebeam.settings.model import NodeSettings

logger = logging.getLogger(__name__)


class AdminService(Service):
    """Owns the administration port of a node."""

    name: ClassVar[str] = "admin"

    def __init__(self, kernel: Kernel, settings: NodeSettings) -> None:
        super().__init__(kernel)
        self._settings = settings
        self._views = Views()
        self._api = Administration(kernel, settings, self._views)
        self._server = AdminServer(self._api, settings.admin)
        self._address = Address(settings.admin.host, settings.admin.port)

    async def start(self) -> None:
        """Start listening. Raises OSError, ssl.SSLError."""
        for view in (ConfigurationChanged, MembersChanged, InstanceStatus, GroupChanged):
            self.kernel.subscribe(view, self.name)
        if self.kernel.has("transport"):
            route = PeerRoute(self.name, (NodeStatusRequest, DrainNodeRequest))
            await self.kernel.call("transport", route, timeout=5.0)
        self._server = AdminServer(self._api, self._settings.admin)
        self._address = await self._server.start()
        log_event(logger, ADMIN_STARTED, host=self._address.host, port=self._address.port)

    async def stop(self) -> None:
        """Stop listening."""
        await self._server.stop()

    async def handle(self, envelope: Envelope) -> None:
        """Handle one message."""
        match envelope.message:
            case ConfigurationChanged(view):
                self._views.configuration = view
            case MembersChanged(view):
                self._views.members = view
            case InstanceStatus() as status:
                self._record_status(status)
            case GroupChanged() as changed:
                self._views.groups[changed.group] = changed
            case BoundAddressRequest():
                answer(envelope, self._address)
            case PeerDelivery(_, NodeStatusRequest() as request):
                self.spawn(self._node_status(request, envelope))
            case PeerDelivery(_, DrainNodeRequest(operator)):
                self._begin_drain(operator, envelope)

    def _record_status(self, status: InstanceStatus) -> None:
        if status.owner == self._settings.node:
            self._views.statuses[status.instance] = status
        else:
            self._views.statuses.pop(status.instance, None)

    async def _node_status(self, request: NodeStatusRequest, envelope: Envelope) -> None:
        rows = await ask_service(
            self.kernel, "configuration", ConfigurationStatusQuery(), ConfigurationStatus
        )
        edge = await ask_service(self.kernel, "edge", EdgeStatusRequest(), EdgeStatus)
        pools = await ask_service(self.kernel, "pool", PoolStatusRequest(), PoolStatus)
        statuses = self._views.owned_statuses(self._settings.node)
        wanted = request.instances or tuple(statuses)
        reply = NodeStatusReply(
            self._settings.node,
            self._settings.zone,
            ready=rows.ready if rows else False,
            complete=rows.complete if rows else 0,
            connections=edge.connections if edge else 0,
            in_flight=edge.in_flight if edge else 0,
            statements=edge.statements if edge else 0,
            instances=tuple(statuses[name] for name in wanted if name in statuses),
            pools=tuple(pool for pool in pools.pools if pool.instance in wanted) if pools else (),
        )
        answer(envelope, reply)

    def _begin_drain(self, operator: str, envelope: Envelope) -> None:
        """Stop this process as its supervisor would, by SIGTERM."""
        log_event(logger, ADMIN_NODE_DRAIN, operator=operator, node=self._settings.node)
        answer(envelope, DrainNodeReply(self._settings.node))
        signal.raise_signal(signal.SIGTERM)
