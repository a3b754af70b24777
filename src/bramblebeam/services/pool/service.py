"""The pool service: owns instances' connections and serves the edges of all nodes."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any, ClassVar

from bramblebeam.core.administration.messages import PoolStatusRequest
from bramblebeam.core.configuration.view import ConfigurationChanged
from bramblebeam.core.group.messages import GroupChanged
from bramblebeam.core.identity import InstanceId, NodeId
from bramblebeam.core.membership.view import MembersChanged
from bramblebeam.core.ownership.messages import ReleaseReply, ReleaseRequest
from bramblebeam.core.pool.admission import not_run
from bramblebeam.core.pool.status_changes import must_notify
from bramblebeam.core.statement import (
    AbandonRequest,
    ExecuteReply,
    ExecuteRequest,
    FetchRequest,
    InstanceStatus,
    PositionReply,
    PositionRequest,
    RequestId,
    SubscribeReply,
    SubscribeRequest,
)
from bramblebeam.core.verdict import Reason, Refusal
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import POOL_REQUEST_FAILED
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope, MailboxFullError, ServiceFailedError
from bramblebeam.kernel.service import answer
from bramblebeam.services.planned_stop import transaction_seconds
from bramblebeam.services.pool.absent_edges import AbsentEdges
from bramblebeam.services.pool.floors import confirmed_floors
from bramblebeam.services.pool.forwarding import forward, may_be_forwarded
from bramblebeam.services.pool.instance import NOT_OWNER_RETRY_MS
from bramblebeam.services.pool.instances import InstanceTable
from bramblebeam.services.pool.report import count_read, pool_status
from bramblebeam.services.pool.requests import RequestDeduplicator, failed_reply, may_be_cancelled
from bramblebeam.services.pool.statements import StatementRunner
from bramblebeam.services.pool.subscribers import Subscribers
from bramblebeam.services.transport.messages import (
    PeerDelivery,
    PeerFailure,
    PeerPost,
    PeerRequest,
    PeerRoute,
)
from bramblebeam.settings.model import NodeSettings

logger = logging.getLogger(__name__)

PEER_MESSAGES = (
    ExecuteRequest,
    FetchRequest,
    AbandonRequest,
    PositionRequest,
    SubscribeRequest,
    ReleaseRequest,
)
IDLE_CHECK_INTERVAL = 1.0
FORWARD_TIMEOUT = 5.0
"""How long a former owner waits for the successor's reply to a request (seconds)."""


class PoolService(Service):
    """Runs statements on the instances that this node owns."""

    name: ClassVar[str] = "pool"

    def __init__(self, kernel: Kernel, settings: NodeSettings) -> None:
        super().__init__(kernel)
        self._settings = settings
        self._edges = AbsentEdges(settings.node)
        self._table = InstanceTable(settings, self.spawn, self._request_peer, self._status_changed)
        self._deduplicator = RequestDeduplicator()
        self._running: dict[RequestId, tuple[ExecuteRequest, asyncio.Task[None]]] = {}
        self._subscribers = Subscribers()
        self._handlers: dict[type, Callable[[NodeId, Any, Envelope], None]] = {
            ExecuteRequest: self._execute,
            FetchRequest: self._fetch,
            AbandonRequest: self._abandon,
            PositionRequest: self._position,
            SubscribeRequest: self._subscribe,
            ReleaseRequest: self._release,
        }

    async def start(self) -> None:
        """Subscribe to the views and to the edges' requests."""
        self.kernel.subscribe(MembersChanged, self.name)
        self.kernel.subscribe(ConfigurationChanged, self.name)
        self.kernel.subscribe(GroupChanged, self.name)
        if self.kernel.has("transport"):
            await self.kernel.call("transport", PeerRoute(self.name, PEER_MESSAGES))
        self.spawn(self._run_maintenance())
        self._table.apply()

    async def stop(self) -> None:
        """Cut the remaining connections and drop every instance."""
        self._table.cut()

    async def handle(self, envelope: Envelope) -> None:
        """Handle a request of a peer or a new view."""
        message = envelope.message
        if isinstance(message, PeerDelivery):
            self._handlers[type(message.message)](message.sender, message.message, envelope)
        elif isinstance(message, ConfigurationChanged):
            self._table.configure(message.view)
        elif isinstance(message, MembersChanged):
            self._table.set_owners(message.view.owners.get(self._settings.zone, ()))
            self._edges.set_members(message.view)
            self._abandon_absent()
        elif isinstance(message, GroupChanged):
            self._record_term(message)
        elif isinstance(message, PoolStatusRequest):
            answer(envelope, pool_status(entry.instance for entry in self._table.all()))
        elif type(message) in self._handlers:
            self._handlers[type(message)](self._settings.node, message, envelope)

    def _record_term(self, changed: GroupChanged) -> None:
        """Check a group's instances at once after a change of its primary."""
        for entry in self._table.all():
            if entry.instance.spec.group == changed.group:
                entry.instance.record_term(changed.term)

    def _abandon_absent(self) -> None:
        """Roll back the transactions of absent edges."""
        now = self._now()
        for entry in self._table.all():
            for pinned in entry.runner.transactions:
                if self._edges.is_absent(pinned.session, now - pinned.used_at):
                    entry.runner.abandon(pinned.session)

    # Requests to other nodes.

    async def _request_peer(self, node: NodeId, message: Any, timeout: float) -> Any:
        try:
            request = PeerRequest(node, message, timeout)
            return await self.kernel.call("transport", request, timeout + 0.5)
        except (TimeoutError, MailboxFullError, ServiceFailedError, KeyError) as error:
            return PeerFailure(sent=True, detail=repr(error))

    # Statements.

    def _execute(self, sender: NodeId, request: ExecuteRequest, envelope: Envelope) -> None:
        self._edges.record_request(request.request.session)
        if not self._deduplicator.begin(request, envelope, self._now()):
            return
        entry = self._table.find(request.instance)
        if entry is None:
            refusal = _not_owner(request.instance)
            reply = ExecuteReply(request.request, refusal=refusal)
            self._deduplicator.finish(request, envelope, reply, self._now())
            return
        task = self.spawn(self._run(entry.runner, sender, request, envelope))
        self._running[request.request] = (request, task)

    async def _run(
        self,
        runner: StatementRunner,
        sender: NodeId,
        request: ExecuteRequest,
        envelope: Envelope,
    ) -> None:
        reply: ExecuteReply | None = None
        try:
            reply = await self._execute_or_forward(runner, sender, request)
        except Exception as error:
            log_event(logger, POOL_REQUEST_FAILED, instance=request.instance, error=repr(error))
            reply = failed_reply(request, repr(error))
        finally:
            self._running.pop(request.request, None)
            if reply is None:
                reply = failed_reply(request, "the request was cancelled")
            runner.instance.positions.record(request, reply)
            count_read(request, reply, runner.instance.status)
            reply = self._subscribers.with_status(reply, runner.instance.status, sender)
            self._deduplicator.finish(request, envelope, reply, self._now())

    async def _execute_or_forward(
        self, runner: StatementRunner, sender: NodeId, request: ExecuteRequest
    ) -> ExecuteReply:
        arrived = self._now()
        reply = await runner.execute(request, arrived)
        successor = runner.instance.successor
        if successor in (None, sender) or not may_be_forwarded(request, reply):
            return reply
        return await forward(request, reply, successor, self._now() - arrived, self._request_peer)

    def _fetch(self, sender: NodeId, request: FetchRequest, envelope: Envelope) -> None:
        entry = self._table.find(request.instance)
        stream = entry.runner.streams.find(request.request) if entry is not None else None
        if entry is None or stream is None or stream.busy:
            refusal = not_run(Reason.CONNECTION_LOST, "the request has no open result")
            self._forward_or_refuse(
                sender, envelope, ExecuteReply(request.request, refusal=refusal)
            )
            return
        if request.cancel:
            entry.runner.streams.end(stream, complete=False)
            answer(envelope, ExecuteReply(request.request))
            return
        self.spawn(self._answer_when_done(envelope, entry.runner.streams.fetch(stream)))

    def _abandon(self, sender: NodeId, request: AbandonRequest, envelope: Envelope) -> None:
        for running, task in list(self._running.values()):
            if running.request.session == request.session and may_be_cancelled(running):
                task.cancel()
        entry = self._table.find(request.instance)
        if entry is not None:
            entry.runner.abandon(request.session)
        answer(envelope, None)

    def _position(self, sender: NodeId, request: PositionRequest, envelope: Envelope) -> None:
        entry = self._table.find(request.instance)
        if entry is None or not entry.instance.owned:
            refusal = _not_owner(request.instance)
            self._forward_or_refuse(
                sender, envelope, PositionReply(request.instance, refusal=refusal)
            )
            return
        self.spawn(self._answer_when_done(envelope, confirmed_floors(entry.instance, request)))

    def _subscribe(self, sender: NodeId, request: SubscribeRequest, envelope: Envelope) -> None:
        entry = self._table.find(request.instance)
        if entry is None or not entry.instance.owned:
            self._forward_or_refuse(sender, envelope, SubscribeReply(request.instance, owned=False))
            return
        entry.instance.record_use()
        if sender != self._settings.node:
            self._subscribers.add(request.instance, sender, self._now())
        answer(envelope, SubscribeReply(request.instance, True, entry.instance.status))

    def _forward_or_refuse(self, sender: NodeId, envelope: Envelope, refusal: Any) -> None:
        """Forward the request to the successor; without one or its reply, answer `refusal`."""
        request = envelope.message
        if isinstance(request, PeerDelivery):
            request = request.message
        entry = self._table.find(request.instance)
        successor = entry.instance.successor if entry is not None else None
        if successor in (None, sender):
            answer(envelope, refusal)
            return
        self.spawn(self._request_successor(successor, request, envelope, refusal))

    async def _request_successor(
        self, successor: NodeId, request: Any, envelope: Envelope, refusal: Any
    ) -> None:
        reply = await self._request_peer(successor, request, FORWARD_TIMEOUT)
        if isinstance(reply, PeerFailure):
            reply = refusal
        elif isinstance(reply, SubscribeReply):
            reply = SubscribeReply(reply.instance, owned=False, status=reply.status)
        answer(envelope, reply)

    def _status_changed(self, status: InstanceStatus, before: InstanceStatus | None) -> None:
        self.kernel.publish(status)
        if before is not None and not must_notify(status, before):
            return
        for node in self._subscribers.of(status.instance, self._now()):
            try:
                self.kernel.post("transport", PeerPost(node, status))
            except MailboxFullError:
                return

    # Handover.

    def _release(self, sender: NodeId, request: ReleaseRequest, envelope: Envelope) -> None:
        entry = self._table.find(request.instance)
        if entry is None:
            answer(envelope, ReleaseReply(request.instance, granted=False))
            return
        self.spawn(self._answer_when_done(envelope, entry.claim.release(request)))

    async def drain(self) -> None:
        """Hand every instance over and let transactions and streams end (bounded by the node).

        Requests passed on to a successor use no connection here, but are answered through here.
        """
        self.spawn(self._end_transactions_later())
        await self._table.hand_over()
        while self._running:
            await asyncio.wait([task for _, task in self._running.values()])

    async def _end_transactions_later(self) -> None:
        await asyncio.sleep(transaction_seconds(self._settings))
        self._table.end_transactions()

    # Tasks.

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL)
            for entry in self._table.all():
                entry.runner.end_idle(self._now())
                self.spawn(entry.retention.clear(self._now()))
            self._abandon_absent()

    async def _answer_when_done(self, envelope: Envelope, work: Coroutine[Any, Any, Any]) -> None:
        answer(envelope, await work)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()


def _not_owner(instance: InstanceId) -> Refusal:
    return not_run(Reason.NOT_OWNER, f"this node does not own {instance}", NOT_OWNER_RETRY_MS)
