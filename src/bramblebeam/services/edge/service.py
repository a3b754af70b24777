"""The edge service: owns the callers' listener and the state shared by their sessions."""

from __future__ import annotations

import asyncio
import itertools
import logging
import ssl
import uuid
from collections import Counter
from typing import Any, ClassVar

from bramblebeam.core.configuration.view import ConfigurationChanged
from bramblebeam.core.identity import GroupId, ServiceId
from bramblebeam.core.membership.view import MembersChanged
from bramblebeam.core.routing.attempt import STOPPING_DETAIL, STOPPING_TRANSACTION_DETAIL
from bramblebeam.core.routing.budget import RetryBudget
from bramblebeam.core.routing.classify import Classifier
from bramblebeam.core.routing.directory import Directory
from bramblebeam.core.statement import InstanceStatus
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.edges.mysql.server import MysqlServer
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import CALLER_REJECTED, EDGE_DRAINING, EDGE_LISTENING
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.messages import BoundAddressRequest
from bramblebeam.kernel.service import answer
from bramblebeam.services.edge.caller import Caller
from bramblebeam.services.edge.drain import DrainPhase, EdgeDrain
from bramblebeam.services.edge.driver import Driver
from bramblebeam.services.edge.groups import GroupTracker
from bramblebeam.services.edge.messages import EdgeStatus, EdgeStatusRequest
from bramblebeam.services.edge.peers import TRANSPORT, Peers
from bramblebeam.services.edge.results import caller_error
from bramblebeam.services.planned_stop import transaction_seconds
from bramblebeam.services.transport.messages import PeerDelivery, PeerRoute
from bramblebeam.settings.model import ClientSettings, NodeSettings

logger = logging.getLogger(__name__)

REJECTION_LOG_INTERVAL = 1.0
"""Seconds between log records of rejected connections: one for each would add to an overload."""


class EdgeService(Service):
    """Accepts callers and sends their statements to the owners of the back ends."""

    name: ClassVar[str] = "edge"

    def __init__(self, kernel: Kernel, settings: NodeSettings) -> None:
        super().__init__(kernel)
        self.node = settings.node
        self.directory = Directory()
        self.classifier = Classifier()
        self.budget = RetryBudget()
        self.peers = Peers(kernel, settings.node)
        self.tracker = GroupTracker(self.directory, self.peers, self.spawn)
        self.driver = Driver(self.peers, self.tracker)
        self._client = settings.client
        self._port = settings.client.port
        self._server: MysqlServer | None = None
        self._boot_id = uuid.uuid4().hex[:12]
        self._session_numbers = itertools.count(1)
        self._callers: set[Caller] = set()
        self._connections: Counter[tuple[ServiceId, GroupId]] = Counter()
        self._groups: dict[Caller, tuple[ServiceId, GroupId]] = {}
        self._in_flight = 0
        self._statements = 0
        self._refusals: Counter[Reason] = Counter()
        self._rejection_logged_at = -REJECTION_LOG_INTERVAL
        self.drain_state = EdgeDrain(self._callers, transaction_seconds(settings))

    # Service lifecycle.

    async def start(self) -> None:
        """Listen for callers. Raises OSError if the address is not available."""
        for message_type in (ConfigurationChanged, MembersChanged, InstanceStatus):
            self.kernel.subscribe(message_type, self.name)
        if self.kernel.has(TRANSPORT):
            self.kernel.post(TRANSPORT, PeerRoute(self.name, (InstanceStatus,)))
        self._server = MysqlServer(
            lambda: Caller(self),
            self._client.host,
            self._port,
            _tls_context(self._client),
            {user.name: user.password for user in self._client.users} or None,
        )
        await self._server.start()
        address = self._server.address
        self._port = address.port
        log_event(logger, EDGE_LISTENING, host=address.host, port=address.port)
        self.spawn(self.tracker.run())

    async def handle(self, envelope: Envelope) -> None:
        """Handle a view, a status or a request."""
        match envelope.message:
            case InstanceStatus() as status:
                self.tracker.observe(status)
            case PeerDelivery(message=InstanceStatus() as status):
                self.tracker.observe(status)
            case ConfigurationChanged(view):
                self.directory.configure(view)
                self.tracker.refresh_all()
            case MembersChanged(view):
                self.directory.set_members(view)
                self.tracker.refresh_all()
            case BoundAddressRequest() if self._server is not None:
                answer(envelope, self._server.address)
            case EdgeStatusRequest():
                answer(envelope, self._status())

    async def drain(self) -> None:
        """Stop listening, then refuse new statements, and wait for those in flight to end.

        `EdgeDrain` decides what may still begin.
        """
        if self._server is not None:
            self._server.close()
        log_event(logger, EDGE_DRAINING, connections=len(self._callers), in_flight=self._in_flight)
        await self.drain_state.run()
        if self._server is not None:
            await self._server.wait_sent()

    async def stop(self) -> None:
        """End every connection."""
        if self._server is not None:
            await self._server.stop()
            self._server = None

    # Operations for callers.

    def next_session_identifier(self) -> str:
        """Return a session identifier that is unique over all nodes and restarts."""
        return f"{self.node}/{self._boot_id}/{next(self._session_numbers)}"

    def admit(self, caller: Caller, service: ServiceId) -> None:
        """Register a new connection. Raises CallerError above the node's limit or when stopping."""
        if not self.drain_state.admits(in_transaction=False):
            self._reject_connection(Reason.STOPPING, service)
        if len(self._callers) >= self._client.maximum_connections:
            self._reject_connection(Reason.TOO_MANY_CONNECTIONS, service)
        self._callers.add(caller)

    def admit_to_group(self, caller: Caller, service: ServiceId, group: GroupId) -> None:
        """Count a service's connection to a group. Raises CallerError above the limit."""
        key = (service, group)
        if self._groups.get(caller) == key:
            return
        if self._connections[key] >= self.directory.limit(service, group).connections:
            self._reject_connection(Reason.TOO_MANY_CONNECTIONS, service)
        self._leave_group(caller)
        self._groups[caller] = key
        self._connections[key] += 1

    def release(self, caller: Caller) -> None:
        """Unregister a connection that has ended."""
        self._callers.discard(caller)
        self._leave_group(caller)
        self.drain_state.check()

    def _leave_group(self, caller: Caller) -> None:
        key = self._groups.pop(caller, None)
        if key is None:
            return
        self._connections[key] -= 1
        if not self._connections[key]:
            del self._connections[key]

    def _reject_connection(self, reason: Reason, service: ServiceId) -> None:
        self._refusals[reason] += 1
        now = asyncio.get_running_loop().time()
        if now - self._rejection_logged_at >= REJECTION_LOG_INTERVAL:
            self._rejection_logged_at = now
            count = self._refusals[reason]
            log_event(logger, CALLER_REJECTED, service=service, reason=reason.name, count=count)
        raise caller_error(Refusal(Verdict.NOT_RUN, reason))

    def begin_statement(self, in_transaction: bool) -> None:
        """Count a statement as in flight. Raises CallerError above the limit or when stopping."""
        if not self.drain_state.admits(in_transaction):
            detail = STOPPING_TRANSACTION_DETAIL if in_transaction else STOPPING_DETAIL
            self._refuse(Reason.STOPPING, detail)
        if self._in_flight >= self._client.maximum_in_flight and not in_transaction:
            self._refuse(Reason.QUEUE_FULL)
        self._in_flight += 1
        self._statements += 1

    def end_statement(self) -> None:
        """Count a statement as ended."""
        self._in_flight -= 1

    @property
    def ends_transactions(self) -> bool:
        """Whether the node stops and open transactions have ended."""
        return self.drain_state.phase is DrainPhase.ANSWERS

    def count_refusal(self, refusal: Refusal) -> None:
        """Count a refusal by its reason."""
        self._refusals[refusal.reason] += 1

    def _refuse(self, reason: Reason, detail: str = "") -> None:
        self._refusals[reason] += 1
        raise caller_error(Refusal(Verdict.NOT_RUN, reason, detail))

    def kill(self, connection_id: int, query_only: bool, user: str) -> bool:
        """End a connection of the same user, or its statement. False: no such connection."""
        known = any(
            caller.connection_id == connection_id and caller.user == user
            for caller in self._callers
        )
        if not known or self._server is None:
            return False
        return self._server.kill(connection_id, query_only)

    def _status(self) -> EdgeStatus:
        return EdgeStatus(
            connections=len(self._callers),
            in_flight=self._in_flight,
            statements=self._statements,
            refusals={reason.name.lower(): count for reason, count in self._refusals.items()},
        )


def _tls_context(client: ClientSettings) -> Any:
    if client.tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(client.tls.certificate, client.tls.key)
    return context
