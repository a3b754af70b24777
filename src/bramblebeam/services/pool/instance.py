"""One back-end instance at its owner: admits statements, runs them, keeps transactions."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from expression import Error, Ok, Result

from bramblebeam.core.identity import InstanceSpec, NodeId
from bramblebeam.core.ownership.events import OpenSlots
from bramblebeam.core.pool.admission import Admission, NotYet, admit, not_run
from bramblebeam.core.pool.limits import InstanceLimits
from bramblebeam.core.pool.statements import leaves_session_state
from bramblebeam.core.statement import (
    ExecuteReply,
    ExecuteRequest,
    InstanceStatus,
    RequestId,
    StatementKind,
)
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.edges.backend import BackendConnection, BackendError, BackendResult, ConnectError
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    POOL_BACKEND_LEAVING,
    POOL_BACKEND_REACHABLE,
    POOL_BACKEND_UNREACHABLE,
    POOL_SLOTS_REFUSED,
    POOL_STATEMENT_CUT,
    POOL_TRANSACTION_ROLLED_BACK,
)
from bramblebeam.services.pool.caller_requests import CallerRequest
from bramblebeam.services.pool.confirmation import Confirmation
from bramblebeam.services.pool.control import SLOT_PREFIX, ControlConnection
from bramblebeam.services.pool.execution import Answer, position_of, run_statement
from bramblebeam.services.pool.slots import Slot, SlotConnections
from bramblebeam.services.pool.status import StatusMonitor
from bramblebeam.services.pool.streams import ResultStream, fits, take_portion
from bramblebeam.services.pool.transactions import PinnedTransaction, PinnedTransactions
from bramblebeam.settings.model import BackendSettings

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT = 2.0
FULL_ERRORS = (1040, 1203, 1226)
"""The back end's codes for too many connections in all, of the user, or by its own limit."""
FULL_PAUSE = 0.05
NOT_OWNER_RETRY_MS = 50
MONITOR_ERRORS = (BackendError, TimeoutError, OSError)

StatusChanged = Callable[[InstanceStatus, InstanceStatus | None], None]


class Instance:
    """The instance's connections, transactions and streams while this node owns it.

    Transactions and streams may outlast the ownership: a planned handover retains their slots.
    """

    def __init__(
        self,
        spec: InstanceSpec,
        node: NodeId,
        settings: BackendSettings,
        limits: InstanceLimits,
        status_changed: StatusChanged,
    ) -> None:
        self.spec = spec
        self.limits = limits
        self.drained = False
        self.wanted = False
        self.slots: SlotConnections | None = None
        self.monitor: StatusMonitor | None = None
        self.transactions = PinnedTransactions()
        self.streams: dict[RequestId, ResultStream] = {}
        self.confirmation = Confirmation(spec, settings)
        self.lost_ownership: Callable[[], None] = lambda: None
        self._node = node
        self._settings = settings
        self._status_changed = status_changed
        self._control: ControlConnection | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._following: list[asyncio.Task[None]] = []
        self._retired: list[SlotConnections] = []
        self._last_status: InstanceStatus | None = None
        self._foreign: frozenset[int] = frozenset()
        self._opened: asyncio.Event = asyncio.Event()
        self._loop = asyncio.get_running_loop()

    @property
    def owned(self) -> bool:
        """Whether this node takes new work for the instance."""
        return self.slots is not None

    @property
    def status(self) -> InstanceStatus | None:
        """The status as last seen, or None."""
        return self.monitor.status if self.monitor is not None and self.owned else None

    # What the claim does (see `SlotOwner`).

    def open_slots(self, control: ControlConnection, opened: OpenSlots) -> None:
        """Use slots under a new epoch."""
        self._control = control
        slots = SlotConnections(opened.epoch, self.limits, self._connect, control.end)
        slots.set_retained(len(opened.retained))
        self.slots = slots
        self._opened.set()
        self.monitor = StatusMonitor(control, self.spec.group, self._note_status)
        self._following.append(self._spawn(self._follow(self.monitor)))
        if opened.retained:
            following = self._follow_retained(slots, control, opened)
            self._following.append(self._spawn(following))

    async def close_slots(self) -> frozenset[int]:
        """Start no new work; return the ids of the connections still in use."""
        slots, self.slots = self.slots, None
        self._opened.clear()
        self._stop_following()
        if slots is None:
            return frozenset()
        self._retired = [retired for retired in self._retired if retired.held]
        self._retired.append(slots)
        foreign, self._foreign = self._foreign, frozenset()
        return await slots.retire() | foreign

    def cut_slots(self) -> None:
        """Close every connection at once."""
        slots, self.slots = self.slots, None
        self._opened.clear()
        self._stop_following()
        if slots is not None:
            slots.cut()
        for pinned in self.transactions:
            pinned.slot.connection.abort()

    def set_limits(self, limits: InstanceLimits) -> None:
        """Take other rows."""
        self.limits = limits
        if self.slots is not None:
            self.slots.set_limits(limits)

    async def wait_unused(self) -> None:
        """Return when no transaction, stream or statement uses a connection any more."""
        for slots in list(self._retired):
            await slots.wait_unused()

    # Statements.

    async def execute(self, request: ExecuteRequest, arrived: float) -> ExecuteReply:
        """Run a request that arrived at `arrived` (loop time); its answer or its refusal."""
        deadline = arrived + self._seconds_allowed(request)
        if request.transaction and request.kind is not StatementKind.BEGIN:
            return await self._execute_pinned(request, deadline)
        wait_until = min(deadline, arrived + request.wait_ms / 1000)
        refusal = await self._admit(request, wait_until)
        if refusal is not None:
            return self._refuse(request, refusal)
        acquired = await self._acquire(request, wait_until)
        if acquired.is_error():
            return self._refuse(request, acquired.error)
        return await self._execute_on(acquired.ok, request, deadline)

    async def _acquire(self, request: ExecuteRequest, wait_until: float) -> Result[Slot, Refusal]:
        if self.slots is None:
            return Error(self._not_owner())
        return await self.slots.acquire(request.service, wait_until)

    async def _execute_on(
        self, slot: Slot, request: ExecuteRequest, deadline: float
    ) -> ExecuteReply:
        seen = self.status
        dirty = True
        keep = False
        try:
            answer = await self._run(slot.connection, request, deadline)
            if answer.is_ok():
                keep = self._keep(slot, request, answer.ok)
            dirty = leaves_session_state(request)
            return self._reply(request, answer, seen)
        finally:
            if not keep:
                self._give_back(slot, dirty)

    def _keep(self, slot: Slot, request: ExecuteRequest, result: BackendResult) -> bool:
        """Keep the slot for a transaction that has begun, or for rows still to be fetched."""
        if request.kind is StatementKind.BEGIN:
            session = request.request.session
            self.transactions.pin(request.transaction, session, slot, self._loop.time())
            return True
        if result.more or not fits(result.rows):
            stream = self._open_stream(slot, request, result)

            async def finish(complete: bool) -> None:
                if not complete:
                    slot.connection.abort()
                self._give_back(slot, True)

            stream.finish = finish
            return True
        return False

    async def _execute_pinned(self, request: ExecuteRequest, deadline: float) -> ExecuteReply:
        pinned = self.transactions.find(request.transaction)
        if pinned is None:
            return self._refuse(request, _transaction_gone(request))
        async with pinned.turn:
            if pinned.ended:
                return self._refuse(request, _transaction_gone(request))
            pinned.used_at = self._loop.time()
            connection = pinned.slot.connection
            if connection.busy or connection.broken:
                self._end_transaction(pinned)
                return self._refuse(request, _transaction_gone(request))
            try:
                answer = await self._run(connection, request, deadline)
            except asyncio.CancelledError:
                self._end_transaction(pinned)
                raise
            pinned.used_at = self._loop.time()
            return self._after_pinned(pinned, request, answer)

    def _after_pinned(
        self, pinned: PinnedTransaction, request: ExecuteRequest, answer: Answer
    ) -> ExecuteReply:
        connection = pinned.slot.connection
        if answer.is_ok() and answer.ok.more:
            stream = self._open_stream(pinned.slot, request, answer.ok)

            async def finish(complete: bool) -> None:
                if not complete:
                    self._end_transaction(pinned)

            stream.finish = finish
            return self._reply(request, answer)
        over = connection.broken
        if answer.is_ok():
            over = over or (
                request.kind is not StatementKind.READ and not connection.in_transaction
            )
        else:
            over = over or _ends_transaction(request, answer.error)
        if over:
            self._end_transaction(pinned)
        return replace(self._reply(request, answer), in_transaction=not over)

    async def _run(
        self, connection: BackendConnection, request: ExecuteRequest, deadline: float
    ) -> Answer:
        if request.caller_request and request.kind is StatementKind.WRITE:
            answer = await CallerRequest(connection, request, deadline).run()
        else:
            answer = await run_statement(connection, request, deadline)
        if answer.is_error() and answer.error.reason is Reason.DEADLINE:
            log_event(
                logger,
                POOL_STATEMENT_CUT,
                instance=self.spec.instance,
                service=request.service,
            )
        return answer

    async def _admit(self, request: ExecuteRequest, wait_until: float) -> Refusal | None:
        """Wait until the instance's state lets the request run; None: it may."""
        while True:
            if self.slots is None and not await self._wait_opened(request, wait_until):
                return self._not_owner()
            monitor = self.monitor
            assert monitor is not None
            if monitor.status is None and not await monitor.next_status(wait_until):
                return not_run(Reason.UNREACHABLE, "the back end's state is not known yet")
            judged = admit(request, monitor.status, monitor.age, self.drained)
            if judged is Admission.RUN:
                return None
            if isinstance(judged, Refusal):
                return judged
            assert isinstance(judged, NotYet)
            if not await monitor.next_status(wait_until):
                return judged.refusal
            if judged.next_status_only:
                again = admit(request, monitor.status, monitor.age, self.drained)
                if isinstance(again, NotYet) and again.next_status_only:
                    return again.refusal

    async def _wait_opened(self, request: ExecuteRequest, wait_until: float) -> bool:
        """Hold a write while this node takes the instance over; a read has other places to go."""
        if not self.wanted or request.kind is StatementKind.READ:
            return False
        try:
            async with asyncio.timeout_at(wait_until):
                await self._opened.wait()
        except TimeoutError:
            return False
        return self.slots is not None

    def _seconds_allowed(self, request: ExecuteRequest) -> float:
        limit = self.limits.services.get(request.service)
        allowed = request.deadline_ms / 1000
        return min(allowed, limit.deadline) if limit is not None and limit.deadline else allowed

    # Abandoned sessions and idle work.

    def abandon(self, session: str) -> None:
        """The session's caller is gone: roll back and free what it holds."""
        for stream in list(self.streams.values()):
            if stream.request.session == session:
                self._spawn(self.finish_stream(stream, False))
        for pinned in self.transactions.of_session(session):
            self._give_up(pinned, "abandoned")

    def give_up_idle(self, now: float, stream_bound: float) -> None:
        """Roll back idle transactions, and close streams that nobody fetches from."""
        for stream in list(self.streams.values()):
            if not stream.busy and now - stream.used_at > stream_bound:
                self._spawn(self.finish_stream(stream, False))
        for pinned in self.transactions.idle(now):
            self._give_up(pinned, "idle")

    def _give_up(self, pinned: PinnedTransaction, cause: str) -> None:
        log_event(logger, POOL_TRANSACTION_ROLLED_BACK, instance=self.spec.instance, cause=cause)
        self._end_transaction(pinned)

    def _end_transaction(self, pinned: PinnedTransaction) -> None:
        """Free the transaction's slot; what is under way on its connection is ended."""
        if not self.transactions.unpin(pinned):
            return
        connection = pinned.slot.connection
        if pinned.turn.locked() and connection.busy:
            connection.abort()
        self._give_back(pinned.slot, True)

    # Streams.

    def _open_stream(
        self, slot: Slot, request: ExecuteRequest, result: BackendResult
    ) -> ResultStream:
        async def finish(complete: bool) -> None:
            raise NotImplementedError

        stream = ResultStream(
            request.request,
            slot,
            finish,
            self._loop.time(),
            deque(result.rows),
            result.more,
        )
        self.streams[request.request] = stream
        return stream

    async def fetch(self, stream: ResultStream) -> ExecuteReply:
        """Return the next rows of a stream."""
        stream.busy = True
        try:
            rows = await stream.next_portion()
        except BackendError as error:
            await self.finish_stream(stream, False)
            refusal = Refusal(Verdict.NOT_RUN, Reason.CONNECTION_LOST, str(error))
            return ExecuteReply(stream.request, refusal=refusal)
        finally:
            stream.busy = False
            stream.used_at = self._loop.time()
        if stream.over:
            await self.finish_stream(stream, True)
        return stream.reply(rows)

    async def finish_stream(self, stream: ResultStream, complete: bool) -> None:
        """End a stream, given up where it is not `complete`."""
        if self.streams.pop(stream.request, None) is not None:
            await stream.finish(complete)

    # Replies.

    def _reply(
        self, request: ExecuteRequest, answer: Answer, seen: InstanceStatus | None = None
    ) -> ExecuteReply:
        """Return the answer; `seen` is the status when a read began."""
        if answer.is_error():
            return self._refuse(request, answer.error)
        result = answer.ok
        rows = result.rows
        more = result.more
        stream = self.streams.get(request.request)
        if stream is not None:
            rows = take_portion(stream.rows)
            more = not stream.over
        position = position_of(result.info)
        if request.kind is StatementKind.READ and seen is not None:
            position = max(seen.applied, request.floor)
        return ExecuteReply(
            request=request.request,
            columns=result.columns,
            rows=rows,
            affected_rows=result.affected_rows,
            last_insert_id=result.last_insert_id,
            position=position,
            in_transaction=result.in_transaction,
            more=more,
        )

    def _refuse(self, request: ExecuteRequest, refusal: Refusal) -> ExecuteReply:
        return ExecuteReply(request.request, refusal=refusal, status=self.status)

    def _not_owner(self) -> Refusal:
        detail = f"this node does not own {self.spec.instance}"
        return not_run(Reason.NOT_OWNER, detail, NOT_OWNER_RETRY_MS)

    # Connections and status.

    async def _connect(self, wait_until: float) -> Result[BackendConnection, Refusal]:
        """Open a slot connection and make sure that its epoch still owns the instance."""
        slots, control = self.slots, self._control
        if slots is None or control is None:
            return Error(self._not_owner())
        while True:
            try:
                connection = await self._open(slots.epoch)
                break
            except ConnectError as error:
                if error.code not in FULL_ERRORS or self._loop.time() >= wait_until:
                    return Error(not_run(Reason.UNREACHABLE, str(error), NOT_OWNER_RETRY_MS))
                log_event(logger, POOL_SLOTS_REFUSED, instance=self.spec.instance, code=error.code)
                await asyncio.sleep(FULL_PAUSE)
        try:
            vouched_for = await control.vouches_for(connection)
        except BackendError as error:
            connection.abort()
            return Error(not_run(Reason.UNREACHABLE, str(error), NOT_OWNER_RETRY_MS))
        if not vouched_for:
            connection.abort()
            self.lost_ownership()
            return Error(self._not_owner())
        return Ok(connection)

    async def _open(self, epoch: int) -> BackendConnection:
        return await BackendConnection.connect(
            self.spec.address,
            self._settings.user,
            self._settings.password,
            f"{SLOT_PREFIX}{self._node}/{epoch}",
            CONNECT_TIMEOUT,
            self.spec.group,
        )

    async def _follow(self, monitor: StatusMonitor) -> None:
        try:
            await monitor.follow()
        except MONITOR_ERRORS:
            if monitor.status is not None:
                self._note_status(replace(monitor.status, reachable=False))
            self.lost_ownership()

    async def _follow_retained(
        self, slots: SlotConnections, control: ControlConnection, opened: OpenSlots
    ) -> None:
        """Take over the slots of a former owner's connections as they end."""
        retained = frozenset(opened.retained)
        try:
            self._foreign = retained
            while retained and self._loop.time() < opened.retained_until:
                await asyncio.sleep(FULL_PAUSE)
                retained &= await control.slot_connections()
                self._foreign = retained
                slots.set_retained(len(retained))
            for connection_id in retained:
                await control.end(connection_id)
            slots.set_retained(0)
        except MONITOR_ERRORS:
            self.lost_ownership()

    def _note_status(self, status: InstanceStatus) -> None:
        before = self._last_status
        self._last_status = status
        if before is not None and before.reachable and not status.reachable:
            log_event(logger, POOL_BACKEND_UNREACHABLE, instance=self.spec.instance)
        if before is not None and not before.reachable and status.reachable:
            log_event(logger, POOL_BACKEND_REACHABLE, instance=self.spec.instance, term=status.term)
        if status.leaving and not (before is not None and before.leaving):
            log_event(logger, POOL_BACKEND_LEAVING, instance=self.spec.instance)
        self._status_changed(status, before)

    def _give_back(self, slot: Slot, dirty: bool) -> None:
        if dirty and not slot.connection.broken:
            self._spawn(slot.connections.give_back(slot))
        else:
            slot.connections.give_back_clean(slot)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _stop_following(self) -> None:
        for task in self._following:
            task.cancel()
        self._following.clear()


def _transaction_gone(request: ExecuteRequest) -> Refusal:
    """Return the verdict on a statement of a transaction that this node does not know (more).

    Without its COMMIT, a transaction is rolled back with its connection. A COMMIT that was sent
    before may have run.
    """
    detail = "the transaction is gone"
    if request.kind is StatementKind.COMMIT and request.repeat:
        return Refusal(Verdict.UNKNOWN, Reason.TRANSACTION_LOST, detail)
    return not_run(Reason.TRANSACTION_LOST, f"{detail}; it was rolled back")


def _ends_transaction(request: ExecuteRequest, refusal: Refusal) -> bool:
    """Whether an error answer means that the whole transaction is over."""
    if request.kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
        return True
    if refusal.reason is not Reason.BACKEND_ERROR:
        return True
    return refusal.code == 1213
