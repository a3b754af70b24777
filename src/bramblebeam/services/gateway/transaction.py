"""A caller's transaction on one database connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bramblebeam.core.gateway.replies import Reply, TransactionState
from bramblebeam.core.gateway.routes import Route
from bramblebeam.core.gateway.statements import (
    BEGIN,
    BEGIN_READ,
    ROLLBACK,
    Action,
)
from bramblebeam.core.identity import InstanceId
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.gateway.admission import admit, settle
from bramblebeam.services.gateway.lending import BUSY_PAUSE, run_at_leader, time_left, time_to_hold
from bramblebeam.services.gateway.pool import DatabasePool
from bramblebeam.services.gateway.pooled import CLOCK_STEP, PooledConnection
from bramblebeam.services.gateway.ports import Command, ConnectError, ConnectionLostError
from bramblebeam.services.gateway.read_floor import current_floor, lacks_own
from bramblebeam.services.gateway.request import Request, StatementSession
from bramblebeam.services.gateway.session_order import (
    LACKS_OBSERVED,
    lacks_observed,
    watch_answer,
    watch_commit,
)
from bramblebeam.services.gateway.slot_queue import NoSlotError
from bramblebeam.services.gateway.transaction_gates import NO_PLACE

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

ROLLBACK_TIMEOUT = 1.0


class Transaction:
    """An open transaction. Its database is chosen when its first statement arrives."""

    def __init__(
        self, context: GatewayContext, session: StatementSession, route: Route, read_only: bool
    ) -> None:
        self._context = context
        self._session = session
        self.route = route
        self._at_leader = context.runs_at_leader(route, writes=not read_only)
        self._lent: PooledConnection | None = None
        self._place = NO_PLACE
        self._wrote = False
        self._is_counted = False
        self._running = False
        self._used_at = context.now()
        self._failure: Refusal | None = None

    @property
    def state(self) -> TransactionState:
        """Whether the transaction is open or has failed."""
        return TransactionState.OPEN if self._failure is None else TransactionState.FAILED

    # Statements.

    async def run(self, request: Request) -> Reply:
        """Run a read or a write inside the transaction."""
        self._running = True
        try:
            return await self._run(request)
        finally:
            request.leave_slot()
            settle(self._context, request)
            self._running = False
            self._used_at = self._context.now()

    async def _run(self, request: Request) -> Reply:
        if self._lent is None:
            refused = await self._start(request)
            if refused is not None:
                return self.fail(refused)
            if self._failure is not None:
                # It was abandoned while it began.
                return self.fail(self._failure)
        while True:
            refused = await self._enter(request)
            if refused is not None:
                return self.fail(refused)
            reply = await self._send(request)
            if reply.refusal is None:
                self._wrote = self._wrote or request.writes
                if not self._wrote:
                    request.note_observed(reply)
                return reply
            busy = reply.refusal.reason is Reason.QUEUE_FULL
            if not busy or reply.state is not TransactionState.OPEN:
                return self.fail(reply.refusal)
            if self._context.now() >= request.hold_until:
                return self.fail(reply.refusal)
            await asyncio.sleep(BUSY_PAUSE)

    async def commit(self, request: Request) -> Reply:
        """Commit and end the transaction."""
        try:
            return await self._commit(request)
        finally:
            # The caller may have left meanwhile.
            request.leave_slot()
            settle(self._context, request)
            self._release(dirty=True)
            self._place.end()

    async def _commit(self, request: Request) -> Reply:
        if self._failure is not None:
            self._release(dirty=True)
            refusal = Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, self._failure.detail)
            return Reply(refusal=refusal)
        if self._lent is None:
            refused = await self._start(request)
            if refused is not None:
                return Reply(refusal=refused)
        while True:
            refused = await self._why_not_commit(request)
            if refused is not None:
                return self._not_committed(refused)
            asked_at = self._context.now()
            reply = await self._send(request)
            if reply.refusal is None:
                return self._committed(request, reply, asked_at)
            busy = reply.refusal.reason is Reason.QUEUE_FULL
            retry = busy and reply.state is TransactionState.OPEN
            if not retry or self._context.now() >= request.hold_until:
                return self._not_committed(reply.refusal)
            await asyncio.sleep(BUSY_PAUSE)

    async def _why_not_commit(self, request: Request) -> Refusal | None:
        """Wait for a permit; return why the COMMIT may not be sent now."""
        refused = await self._enter(request)
        if refused is not None:
            return refused
        if self._is_cut_off():
            return Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, "its connection is lost")
        if not await self._may_commit(request):
            detail = "its database leads no more, or is not known to"
            return Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, detail)
        return None

    def _is_cut_off(self) -> bool:
        """Whether a COMMIT would be sent in vain.

        None was sent, and the connection is closed now: the database rolls back what is open on it.
        """
        lent = self._lent
        assert lent is not None
        return lent.connection.closed or lent.pool.is_suspect(lent)

    async def _may_commit(self, request: Request) -> bool:
        """Whether the COMMIT may be sent now; one that commits a write needs a leader."""
        if not self._wrote:
            return True
        assert self._lent is not None
        leaders = self._context.leader(self.route.group)
        return await leaders.wait_to_use(self._lent.instance, request.hold_until)

    def _committed(self, request: Request, reply: Reply, asked_at: float) -> Reply:
        lent = self._lent
        assert lent is not None
        if self._wrote:
            leaders = self._context.leader(self.route.group)
            leaders.record_write_reply()
            leaders.record_commit(reply.position)
            leaders.record_proof(lent.instance, reply.position, asked_at)
        if self._wrote:
            watch_commit(self._context, request, reply)
        request.note_observed(reply)
        self._release(dirty=reply.state is not TransactionState.IDLE)
        return Reply(reply.rows, reply.signature, position=reply.position)

    def _not_committed(self, refusal: Refusal) -> Reply:
        self._release(dirty=True)
        if refusal.verdict is Verdict.UNKNOWN and not self._wrote:
            detail = "the transaction wrote nothing, and its end was not confirmed"
            refusal = Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, detail)
        return Reply(refusal=refusal)

    async def _enter(self, request: Request) -> Refusal | None:
        """Wait for a permit, unless the first statement has its own; return why there is none.

        Nothing is sent that the transaction has lost its connection for meanwhile.
        """
        lent = self._lent
        if request.permit is None and lent is not None:
            try:
                request.permit = await lent.pool.enter(request.work(inside=True))
            except NoSlotError as error:
                request.no_slot_at(lent.instance, error.refusal)
                return error.refusal
            except ConnectError as error:
                return Refusal(Verdict.NOT_RUN, error.reason, str(error))
        return self._failure if self._lent is None else None

    async def _send(self, request: Request) -> Reply:
        lent = self._lent
        assert lent is not None
        remaining = time_left(self._context, request)
        commands = [*request.preparation(lent.state, pinned=True), request.command()]
        if not self._is_counted:
            self._is_counted = True
            request.note_sent()
        asked_at = self._context.now()
        served = False
        try:
            is_commit = request.statement.action is Action.COMMIT
            reply = (await lent.run(commands, remaining, must_wait=is_commit))[-1]
            served = reply.refusal is None
        except ConnectionLostError as error:
            is_late = self._context.now() - asked_at >= remaining - CLOCK_STEP
            if self._wrote and is_late and not lent.pool.is_suspect(lent):
                leaders = self._context.leader(self.route.group)
                leaders.record_write_timeout(lent.instance, asked_at)
            lost = self._lost(request, str(error))
            request.attempt_failed(lent.instance, lost)
            return Reply(refusal=lost, state=TransactionState.FAILED)
        finally:
            request.leave_slot(served=served)
        lent.pool.record_reply(self._context.now() - asked_at, reply.refusal)
        if reply.refusal is not None and reply.refusal.reason is Reason.STALE_TERM:
            self._context.leader(self.route.group).record_denial(lent.instance, "it lost the lead")
        return reply

    @staticmethod
    def _lost(request: Request, detail: str) -> Refusal:
        """Without its COMMIT a transaction is rolled back when its connection ends."""
        if request.statement.action is Action.COMMIT:
            return Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, detail)
        return Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, detail)

    # Start.

    async def _start(self, request: Request) -> Refusal | None:
        """Open the transaction at a database, if its tenant may; return why there is none."""
        refused = await admit(self._context, request)
        return refused or await self._start_admitted(request)

    async def _start_admitted(self, request: Request) -> Refusal | None:
        excluded: set[InstanceId] = set()
        while not self._at_leader:
            pool = await self._choose_replica(request, excluded)
            if pool is not None:
                refused = await self._take_place(request, pool.entry.instance)
                if refused is not None:
                    return refused
                if await self._start_at_replica(request, pool, excluded):
                    return None
            request.leave_slot()
            if request.no_slot is not None and self._at_leader:
                # The leader's slots are for what no replica can run.
                reply = Reply(refusal=request.no_slot)
                return self._context.load.add_retry_delay(request, reply).refusal
            if self._context.now() >= request.hold_until:
                return request.refusal or Refusal(Verdict.NOT_RUN, Reason.NO_PRIMARY)
            if request.must_pause:
                await asyncio.sleep(BUSY_PAUSE)

        refused = await self._take_place(request, self._expected_leader())
        if refused is not None:
            return refused

        async def begin(lent: PooledConnection) -> Reply | None:
            return await self._begin_at_leader(request, lent)

        reply = await run_at_leader(self._context, request, begin, Reason.NO_PRIMARY)
        return self._context.load.add_retry_delay(request, reply).refusal

    async def _take_place(self, request: Request, instance: InstanceId | None) -> Refusal | None:
        """Wait for the transaction's turn at a database; return why it may not begin there."""
        self._place.end()
        place = await self._context.transactions.enter(request, instance)
        if isinstance(place, Refusal):
            return place
        self._place = place
        return None

    def _expected_leader(self) -> InstanceId | None:
        """Return the database that will probably run the transaction, if it is known."""
        leaders = self._context.leader(self.route.group)
        return leaders.leader or leaders.last_leader

    async def _begin_at_leader(self, request: Request, lent: PooledConnection) -> Reply | None:
        leaders = self._context.leader(self.route.group)
        instance = lent.instance
        asked_at = self._context.now()
        was_fresh = lent.is_fresh
        begin = await self._begin(request, lent, Command(BEGIN))
        if begin is None:
            if was_fresh:
                leaders.reject(instance, "the connection was lost")
            return None
        if begin.refusal is not None:
            if begin.refusal.reason is Reason.STALE_TERM:
                leaders.record_denial(instance, "it refused to begin a transaction")
            return None
        if not leaders.record_proof(instance, begin.position, asked_at):
            self._release(dirty=True)
            return None
        if lacks_observed(self._context, request, begin):
            request.attempt_failed(instance, LACKS_OBSERVED)
            leaders.record_missing_commit(instance, request.observed)
            self._release(dirty=True)
            return None
        return begin

    async def _choose_replica(
        self, request: Request, excluded: set[InstanceId]
    ) -> DatabasePool | None:
        """Return where to begin next; None: there is no floor yet, or it goes to the leader."""
        if await current_floor(self._context, request) is None:
            return None
        pool = self._context.placement.choose(
            self.route.group, request.tenant, excluded, stays=True
        )
        if pool is None:
            self._at_leader = True
        else:
            excluded.add(pool.entry.instance)
        return pool

    async def _start_at_replica(
        self, request: Request, pool: DatabasePool, excluded: set[InstanceId]
    ) -> bool:
        instance = pool.entry.instance
        try:
            request.permit = await pool.enter(request.work())
            lent = await pool.acquire(
                request.tenant, self._session.state, time_to_hold(self._context, request)
            )
        except NoSlotError as error:
            request.no_slot_at(instance, error.refusal)
            return False
        except (TimeoutError, ConnectError) as error:
            unreachable = Refusal(Verdict.NOT_RUN, Reason.UNREACHABLE, str(error))
            request.attempt_failed(instance, unreachable)
            if isinstance(error, ConnectError):
                refusal = Refusal(Verdict.NOT_RUN, error.reason)
                self._context.placement.record_failure(pool, refusal, self._context.now())
            return False
        try:
            floor = await current_floor(self._context, request)
        except BaseException:
            lent.release()
            raise
        if floor is None:
            lent.release()
            return False
        was_fresh = lent.is_fresh
        request.floor = floor
        begin = await self._begin(request, lent, Command(BEGIN_READ, floor=floor))
        if begin is None and not was_fresh:
            # The next connection to it has been heard of since, or is new.
            excluded.discard(instance)
        return begin is not None and self._is_open_at(request, instance, begin)

    def _is_open_at(self, request: Request, instance: InstanceId, begin: Reply) -> bool:
        """Whether a BEGIN READ opened the transaction; note where the database was behind."""
        if begin.refusal is None:
            watch_answer(self._context, request, begin)
        elif begin.refusal.reason is Reason.REPLICA_BEHIND and not self._lacks_own(request):
            self._context.placement.record_behind(instance)
        return begin.refusal is None

    def _lacks_own(self, request: Request) -> bool:
        """Whether a database is behind for this session alone, where load decides on that."""
        return self._context.overload.enabled and lacks_own(request)

    async def _begin(
        self, request: Request, lent: PooledConnection, begin: Command
    ) -> Reply | None:
        """Send a BEGIN; keep the connection where it was taken."""
        needed = lent.state.preparation(self._session.state, None, pinned=False)
        commands = [*(Command(statement) for statement in needed), begin]
        remaining = time_to_hold(self._context, request)
        asked_at = self._context.now()
        try:
            reply = (await lent.run_at_once(commands, remaining))[-1]
        except ConnectionLostError as error:
            lost = Refusal(Verdict.NOT_RUN, Reason.CONNECTION_LOST, str(error))
            request.attempt_failed(lent.instance, lost)
            self._context.placement.record_failure(lent.pool, lost, asked_at)
            lent.release()
            return None
        except BaseException:
            lent.release()
            raise
        leaders = self._context.leader(self.route.group)
        leaders.record_position(lent.instance, reply.position, asked_at, lent.opened_at)
        if reply.refusal is None:
            self._lent = lent
            return reply
        request.attempt_failed(lent.instance, reply.refusal)
        if reply.state is not TransactionState.IDLE:
            lent.connection.close()
        lent.release()
        return reply

    # Ends.

    def fail(self, refusal: Refusal) -> Reply:
        """End the work at the database; the caller still has to end its transaction."""
        self._failure = refusal
        self._release(dirty=True)
        self._place.end()
        return Reply(refusal=refusal, state=TransactionState.FAILED)

    def abandon(self, detail: str) -> None:
        """Roll back; a statement that runs is cut off with its connection."""
        if self._failure is None:
            self._failure = Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, detail)
        self._release(dirty=True)
        self._place.end()

    def end_if_idle(self, now: float) -> None:
        """Roll back a transaction whose caller has not used it for longer than allowed."""
        if self._running or self._failure is not None or self._lent is None:
            return
        if now - self._used_at > self._context.table.transaction_idle:
            self.fail(Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, "it rested for too long"))

    def _release(self, dirty: bool) -> None:
        lent = self._lent
        self._lent = None
        if lent is None:
            return
        if not dirty or lent.connection.closed:
            lent.release()
        elif self._running:
            lent.connection.close()
            lent.release()
        else:
            self._context.spawn(self._roll_back(lent))

    async def _roll_back(self, lent: PooledConnection) -> None:
        try:
            (reply,) = await lent.run([Command(ROLLBACK)], ROLLBACK_TIMEOUT)
            if reply.state is not TransactionState.IDLE:
                lent.connection.close()
        except ConnectionLostError:
            # The database rolls back what was open on a connection that ends.
            lent.connection.close()
        finally:
            lent.release()
