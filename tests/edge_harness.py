"""A node's edge with an in-memory fake pool and group."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Any, ClassVar

import pymysql

from bramblebeam.core.configuration.rows import GroupSpec, LimitSpec, MemberSpec
from bramblebeam.core.configuration.view import ConfigurationChanged, ConfigurationView
from bramblebeam.core.identity import (
    ZERO_POSITION,
    Address,
    GroupId,
    InstanceId,
    NodeId,
    Position,
    ServiceId,
    ZoneId,
)
from bramblebeam.core.membership.view import MembersChanged, MembersView
from bramblebeam.core.role import Role
from bramblebeam.core.statement import (
    AbandonRequest,
    ColumnSpec,
    ExecuteReply,
    ExecuteRequest,
    FetchRequest,
    InstanceStatus,
    PositionReply,
    PositionRequest,
    StatementKind,
    SubscribeReply,
    SubscribeRequest,
)
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.messages import BoundAddressRequest
from bramblebeam.kernel.service import answer
from bramblebeam.services.edge.service import EdgeService
from bramblebeam.services.transport.messages import PeerDelivery, PeerFailure, PeerPost
from bramblebeam.settings.model import ClientSettings, NodeSettings

NODE = NodeId("n1")
GROUP = GroupId("shop")
SERVICE = ServiceId("app")
P, R1, R2 = InstanceId("p"), InstanceId("r1"), InstanceId("r2")
ROW = (ColumnSpec("value", 253),)


def configuration(version: int = 1, **limits: Any) -> ConfigurationView:
    members = tuple(
        MemberSpec(instance=name, zone=ZoneId("z"), host="127.0.0.1", port=1)
        for name in (P, R1, R2)
    )
    limit = LimitSpec(service=SERVICE, group=GROUP, **limits)
    return ConfigurationView(
        version=version,
        groups={GROUP: GroupSpec(members=members)},
        limits={(SERVICE, GROUP): limit},
    )


def members() -> MembersView:
    return MembersView(owners={ZoneId("z"): (NODE,)})


def status(
    instance: InstanceId, applied: Position, role: Role = Role.REPLICA, **changes: Any
) -> InstanceStatus:
    template = InstanceStatus(
        instance, GROUP, applied.term, role, applied, applied, 0, False, True, NODE, 1
    )
    return dataclasses.replace(template, **changes)


HELD = object()
"""Scripted reply to a request that `FakePool.answer_held` answers later."""


class FakePool(Service):
    """Owns a group of three: a log of values on the primary, replicas that apply on `catch_up`.

    `script` holds replies to the next execute requests, in place of the ordinary ones: a function
    of the request, a refusal, a `PeerFailure`, which is returned although the statement ran, or
    `HELD`, after which `answer_held` replies. Fetches wait for `may_fetch`.
    """

    name: ClassVar[str] = "pool"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.term = 1
        self.primary = P
        self.log: list[str] = []
        self.applied = {P: 0, R1: 0, R2: 0}
        self.requests: list[ExecuteRequest] = []
        self.abandoned: list[AbandonRequest] = []
        self.fetches: list[FetchRequest] = []
        self.confirmations = 0
        self.script: list[Any] = []
        self.replies: dict[Any, ExecuteReply] = {}
        self.open: set[str] = set()
        self.was_abandoned = asyncio.Event()
        self.held: list[Envelope] = []
        self.may_fetch = asyncio.Event()
        self.may_fetch.set()

    def answer_held(self) -> None:
        """Answer the held requests as usual."""
        held, self.held = self.held, []
        for envelope in held:
            answer(envelope, self._execute(envelope.message.message))

    def catch_up(self) -> None:
        for instance in self.applied:
            self.applied[instance] = len(self.log)

    def status(self, instance: InstanceId) -> InstanceStatus:
        role = Role.PRIMARY if instance == self.primary else Role.REPLICA
        return status(instance, Position(self.term, self.applied[instance]), role)

    async def handle(self, envelope: Envelope) -> None:
        message = envelope.message.message
        match message:
            case ExecuteRequest():
                self.requests.append(message)
                if self.script and self.script[0] is HELD:
                    self.held.append(envelope)
                    self.script.pop(0)
                else:
                    answer(envelope, self._execute(message))
            case SubscribeRequest(instance):
                answer(envelope, SubscribeReply(instance, True, self.status(instance)))
            case PositionRequest(instance):
                self.confirmations += 1
                answer(envelope, PositionReply(instance, Position(self.term, len(self.log))))
            case AbandonRequest():
                self.abandoned.append(message)
                self.was_abandoned.set()
            case FetchRequest():
                self.fetches.append(message)
                self.spawn(self._answer_fetch(message, envelope))

    async def _answer_fetch(self, request: FetchRequest, envelope: Envelope) -> None:
        reply = self._fetch(request)
        await self.may_fetch.wait()
        answer(envelope, reply)

    def _execute(self, request: ExecuteRequest) -> Any:
        if request.repeat:
            unknown = Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST)
            known = self.replies.get(request.request)
            return known or ExecuteReply(request.request, unknown)
        scripted = self.script.pop(0) if self.script else None
        if isinstance(scripted, Refusal):
            return ExecuteReply(request.request, scripted, status=self.status(request.instance))
        if callable(scripted):
            return scripted(request)
        reply = self._run(request)
        self.replies[request.request] = reply
        return scripted if isinstance(scripted, PeerFailure) else reply

    def _run(self, request: ExecuteRequest) -> ExecuteReply:
        instance = request.instance
        is_read = request.kind is StatementKind.READ and not request.transaction
        if is_read and self.applied[instance] < request.floor.offset:
            behind = Refusal(Verdict.NOT_RUN, Reason.REPLICA_BEHIND)
            return ExecuteReply(request.request, behind, status=self.status(instance))
        if instance != self.primary and request.kind is not StatementKind.READ:
            stale = Refusal(Verdict.NOT_RUN, Reason.STALE_TERM)
            return ExecuteReply(request.request, stale, status=self.status(instance))
        return self._reply(request)

    def _reply(self, request: ExecuteRequest) -> ExecuteReply:
        instance = request.instance
        position = ZERO_POSITION
        rows: tuple[Any, ...] = ()
        if request.kind is StatementKind.BEGIN:
            self.open.add(request.transaction)
        elif request.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
            self.open.discard(request.transaction)
        if request.kind is StatementKind.READ:
            seen = self.applied[instance]
            rows = ((self.log[seen - 1] if seen else None,),)
            position = Position(self.term, seen)
        elif request.kind in (StatementKind.WRITE, StatementKind.COMMIT):
            self.log.append(request.sql)
            self.applied[instance] = len(self.log)
            position = Position(self.term, len(self.log))
        return ExecuteReply(
            request.request,
            columns=ROW if rows else (),
            rows=rows,
            affected_rows=0 if rows else 1,
            last_insert_id=len(self.log),
            position=position,
            in_transaction=request.transaction in self.open,
        )

    def _fetch(self, request: FetchRequest) -> ExecuteReply:
        more = len(self.fetches) < 3
        return ExecuteReply(request.request, rows=((f"row {len(self.fetches)}",),), more=more)


class FakeTransport(Service):
    """Delivers every message to the own node's pool."""

    name: ClassVar[str] = "transport"

    async def handle(self, envelope: Envelope) -> None:
        if isinstance(envelope.message, PeerPost):
            self.kernel.post("pool", PeerDelivery(NODE, envelope.message.message))


class Harness:
    """A started edge; callers run in threads."""

    def __init__(self, kernel: Kernel, pool: FakePool, edge: EdgeService, address: Address) -> None:
        self.kernel = kernel
        self.pool = pool
        self.edge = edge
        self.address = address

    def connect(self, attributes: dict[str, str] | None = None, **options: Any) -> Any:
        options = {"user": "app", "database": GROUP, "autocommit": True, **options}
        connection = pymysql.connect(
            host=self.address.host, port=self.address.port, defer_connect=True, **options
        )
        connection._connect_attrs.update(attributes or {})
        connection.connect()
        return connection

    async def run(self, work: Callable[..., Any], *arguments: Any) -> Any:
        return await asyncio.to_thread(work, *arguments)


async def start_harness(
    client: ClientSettings | None = None, drain_seconds: float = 10.0, **limits: Any
) -> Harness:
    settings = NodeSettings(
        node=NODE,
        zone=ZoneId("z"),
        region="r",
        client=client or ClientSettings(),
        drain_seconds=drain_seconds,
    )
    kernel = Kernel()
    pool = FakePool(kernel)
    edge = EdgeService(kernel, settings)
    kernel.register(FakeTransport(kernel), edge, pool)
    await kernel.start()
    kernel.publish(MembersChanged(members()))
    kernel.publish(ConfigurationChanged(configuration(**limits)))
    address = await kernel.call("edge", BoundAddressRequest(), 5.0)
    return Harness(kernel, pool, edge, address)
