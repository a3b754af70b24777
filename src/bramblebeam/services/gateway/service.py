"""The gateway service: callers' sessions on pools of database connections."""

from __future__ import annotations

import asyncio
import logging
from typing import ClassVar, Protocol

from bramblebeam.core.gateway.directory import DirectoryChanged
from bramblebeam.core.gateway.messages import (
    ForwardedStatement,
    StatementWithdrawn,
    TransactionAbandoned,
)
from bramblebeam.core.gateway.owners import NodeLocation
from bramblebeam.core.gateway.routes import RoutesChanged
from bramblebeam.core.gateway.stopping import PlannedStop, StopPhase
from bramblebeam.core.identity import Address, NodeId
from bramblebeam.core.membership.view import MembersChanged
from bramblebeam.core.overload.settings import SWITCHED_OFF, OverloadSettings
from bramblebeam.core.quota.messages import (
    AdmissionRequest,
    AdmissionReturned,
    Grant,
    GrantRequest,
    GrantReturned,
)
from bramblebeam.core.tenants import KeyDigest
from bramblebeam.core.verdict import Reason, Refusal
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    EDGE_DRAINED,
    EDGE_DRAINING,
    EDGE_LISTENING,
    READINESS_CHANGED,
)
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.service import answer
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.gateway.hosting import StatementHost
from bramblebeam.services.gateway.leader_news import LeaderProven
from bramblebeam.services.gateway.peers import TransportPeers
from bramblebeam.services.gateway.ports import DatabaseConnector
from bramblebeam.services.gateway.refused_keys import RefusedKeys
from bramblebeam.services.gateway.running import Stage
from bramblebeam.services.gateway.session import GatewaySession
from bramblebeam.services.transport.messages import PeerDelivery, PeerRoute

logger = logging.getLogger(__name__)

HOUSEKEEPING_INTERVAL = 0.5
DRAIN_CHECK_INTERVAL = 0.05
"""Interval between two looks at what a stopping node has left (seconds)."""
READING_TURNS = 2
"""Turns of the loop: one to read the sockets, one for the tasks that this starts."""
CLOSE_SECONDS = 0.15
"""How long the last answers may take to leave the process (seconds)."""
CLOSE_CHECK_INTERVAL = 0.005
"""The same interval while the last answers are sent (seconds)."""
FORWARDED_TYPES = (
    ForwardedStatement,
    StatementWithdrawn,
    TransactionAbandoned,
    AdmissionRequest,
    AdmissionReturned,
    GrantRequest,
    Grant,
    GrantReturned,
)


class Listener(Protocol):
    """Accepts callers and translates their protocol into calls of sessions."""

    async def start(self) -> Address:
        """Listen; return the bound address. Raises OSError."""

    @property
    def has_connections(self) -> bool:
        """Whether a caller is connected, including one that has not named its database yet."""

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections stay."""

    def close_resting(self) -> None:
        """Close the connections at rest that the planned stop of the node lets close now."""

    def close(self) -> None:
        """Close every connection."""


class GatewayService(Service):
    """Owns the callers' sessions and this node's database connections.

    `grace_period`: from the request to stop to the kill (seconds). `stop_requested_at`: monotonic
    clock, seconds; None: when the drain begins.
    """

    name: ClassVar[str] = "gateway"

    def __init__(
        self,
        kernel: Kernel,
        location: NodeLocation,
        connector: DatabaseConnector,
        grace: float,
        overload: OverloadSettings = SWITCHED_OFF,
    ) -> None:
        super().__init__(kernel)
        peers = TransportPeers(kernel)
        self.context = GatewayContext(
            location, connector, peers, kernel.publish, self.spawn, overload
        )
        self.host = StatementHost(self.context)
        self.listener: Listener | None = None
        self.grace_period = grace
        self.stop_requested_at: float | None = None
        self._sessions: set[GatewaySession] = set()
        self._refused_keys = RefusedKeys()
        self._has_databases = False

    @property
    def stopping(self) -> bool:
        """Whether the node stops as planned."""
        return self.stop_state.has_begun

    @property
    def stop_state(self) -> PlannedStop:
        """The state of the node's planned stop."""
        return self.context.stop

    @property
    def ready(self) -> bool:
        """Whether the node can serve callers."""
        return bool(self.context.table.version) and self._has_databases and not self.stopping

    async def start(self) -> None:
        """Subscribe to updates and start listening. Raises OSError."""
        self.kernel.subscribe(RoutesChanged, self.name)
        self.kernel.subscribe(DirectoryChanged, self.name)
        self.kernel.subscribe(LeaderProven, self.name)
        self.kernel.subscribe(MembersChanged, self.name)
        self.context.resume()
        await self.kernel.call("transport", PeerRoute(self.name, FORWARDED_TYPES))
        if self.listener is not None:
            address = await self.listener.start()
            log_event(logger, EDGE_LISTENING, host=address.host, port=address.port)
        self.spawn(self.context.limits.run())
        self.spawn(self._run_housekeeping())
        self.spawn(self._report_readiness())

    async def handle(self, envelope: Envelope) -> None:
        """Handle an update, or a message of another node."""
        match envelope.message:
            case RoutesChanged(table):
                self.context.configure(table)
            case LeaderProven():
                self.context.metrics.leader_changed()
            case MembersChanged(view):
                self.context.update_members(view)
            case PeerDelivery(sender, ForwardedStatement() as statement):
                self.spawn(self._serve(sender, statement, envelope))
            case PeerDelivery(sender, StatementWithdrawn(number)):
                self.host.withdraw(sender, number)
            case PeerDelivery(sender, TransactionAbandoned(transaction)):
                self.host.abandon(sender, transaction)
            case PeerDelivery(_, AdmissionRequest() as request):
                answer(envelope, self.context.limits.count(request))
            case PeerDelivery(_, AdmissionReturned() as returned):
                self.context.limits.refund(returned)
            case PeerDelivery(sender, GrantRequest() as request, Address() as source):
                self.context.limits.handle_grant_request(sender, request, source)
            case PeerDelivery(sender, Grant() as grant):
                self.context.limits.handle_grant(sender, grant)
            case PeerDelivery(sender, GrantReturned() as returned):
                self.context.limits.handle_grant_returned(sender, returned)
            case DirectoryChanged(directory):
                self._has_databases = bool(directory.entries)
                self.context.update(directory)

    async def drain(self) -> None:
        """Let what is in progress end, phase by phase; what is left gets a verdict."""
        stop = self.context.stop
        running = self.context.running
        log_event(logger, EDGE_DRAINING, connections=len(self._sessions), in_flight=len(running))
        now = self.context.now()
        began = now if self.stop_requested_at is None else self.stop_requested_at
        stop.begin(began, self.grace_period)
        self.context.limits.leave()
        while (phase := stop.phase(self.context.now())) < StopPhase.EXPIRED:
            self._end_what_may_not_go_on(phase)
            if phase > StopPhase.ADMITTING and not self._is_busy:
                break
            await asyncio.sleep(DRAIN_CHECK_INTERVAL)
            await _read_what_has_arrived()
        self._log_drained(self.context.now() - began)
        await self._close_callers()

    @property
    def _is_busy(self) -> bool:
        has_callers = self.listener is not None and self.listener.has_connections
        return has_callers or self.host.busy

    def _end_what_may_not_go_on(self, phase: StopPhase) -> None:
        if phase > StopPhase.ADMITTING and self.listener is not None:
            self.listener.stop_accepting()
            self.listener.close_resting()
        if phase is StopPhase.REFUSING:
            self.context.running.refuse_waiting()
            self.host.running.refuse_waiting()

    async def _close_callers(self) -> None:
        """Give a verdict to every statement, and close all connections behind their answers."""
        listener = self.listener
        running = self.context.running
        await _read_what_has_arrived()
        running.end_all()
        deadline = self.context.now() + CLOSE_SECONDS
        while self.context.now() < deadline:
            if listener is not None and not running:
                listener.close()
            if not running and (listener is None or not listener.has_connections):
                return
            await asyncio.sleep(CLOSE_CHECK_INTERVAL)

    def _log_drained(self, seconds: float) -> None:
        """Log what the drain leaves open."""
        stages = self.context.running.stages()
        transactions = sum(not session.idle for session in self._sessions)
        log_event(
            logger,
            EDGE_DRAINED,
            seconds=round(seconds, 3),
            resting=len(self._sessions) - len(self.context.running),
            transactions=transactions,
            waiting=stages[Stage.WAITING],
            passed_on=stages[Stage.PASSED_ON],
            at_database=stages[Stage.AT_DATABASE],
            for_other_nodes=self.host.in_flight,
        )

    async def stop(self) -> None:
        """Close every connection, behind a verdict on its statement if one is in progress."""
        if self.listener is not None:
            self.listener.stop_accepting()
        await self._close_callers()
        if self.listener is not None:
            self.listener.close()
        self.context.placement.close()

    # Called by the listener.

    def open_session(self, database: str, key: KeyDigest) -> GatewaySession | Refusal:
        """Return a session on a database for the holder of a key, or the refusal."""
        access = self.context.table.access(database, key)
        if isinstance(access, Refusal):
            if access.reason is Reason.UNKNOWN_KEY:
                self._refused_keys.record(key)
            return access
        session = GatewaySession(self.context, database, key)
        self._sessions.add(session)
        return session

    def close_session(self, session: GatewaySession) -> None:
        """Remove a session whose caller has disconnected."""
        self._sessions.discard(session)

    async def _serve(
        self, sender: NodeId, statement: ForwardedStatement, envelope: Envelope
    ) -> None:
        answer(envelope, await self.host.serve(sender, statement))

    async def _report_readiness(self) -> None:
        known: bool | None = None
        while True:
            if self.ready is not known:
                known = self.ready
                log_event(logger, READINESS_CHANGED, ready=known)
            await asyncio.sleep(HOUSEKEEPING_INTERVAL)

    async def _run_housekeeping(self) -> None:
        while True:
            await asyncio.sleep(HOUSEKEEPING_INTERVAL)
            now = self.context.now()
            self._refused_keys.report(now)
            self.context.metrics.tenants.report(now, self.context.limit_of)
            self.context.placement.close_idle()
            self.host.end_idle(now)
            for session in self._sessions:
                session.end_idle(now)


async def _read_what_has_arrived() -> None:
    """Let the loop read its sockets: after a stall, it runs what is due before it does."""
    for _ in range(READING_TURNS):
        await asyncio.sleep(0)
