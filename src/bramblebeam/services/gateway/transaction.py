"""A caller's transaction on one database connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bramblebeam.core.gateway.replies import Reply, TransactionState
from bramblebeam.core.gateway.routes import Route
from bramblebeam.core.gateway.statements import BEGIN, BEGIN_READ, ROLLBACK, Action
from bramblebeam.core.identity import InstanceId
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.gateway.admission import admit, refund_unused
from bramblebeam.services.gateway.lending import BUSY_PAUSE, run_at_leader, time_left, time_to_hold
from bramblebeam.services.gateway.pool import DatabasePool
from bramblebeam.services.gateway.pooled import CLOCK_STEP, PooledConnection
from bramblebeam.services.gateway.ports import Command, ConnectError, ConnectionLostError
from bramblebeam.services.gateway.read_floor import current_floor, is_floor_from_session
from bramblebeam.services.gateway.request import Request, StatementSession
from bramblebeam.services.gateway.session_order import (
    LACKS_OBSERVED,
    check_answer,
    check_commit,
    lacks_observed_position,
)
from bramblebeam.services.gateway.slot_queue import NoSlotError
from bramblebeam.services.gateway.transaction_gates import UNGATED

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

ROLLBACK_TIMEOUT = 1.0


class Transaction:
    """An open transaction. Its database is chosen when the first statement arrives."""

    def __init__(
        self, context: GatewayContext, session: StatementSession, route: Route, read_only: bool
    ) -> None:
        self._context = context
        self._session = session
        self.route = route
        self._at_leader = context.runs_at_leader(route, writes=not read_only)
        self._pooled: PooledConnection | None = None
        self._admission = UNGATED
        self._wrote = False
        self._is_counted = False
        self._running = False
        self._used_at = context.now()
        self._failure: Refusal | None = None

    @property
    def state(self) -> TransactionState:
        """Whether the transaction is open or has failed."""
        return TransactionState.OPEN if self._failure is None else TransactionState.FAILED

    @property
    def wrote(self) -> bool:
        """Whether a write of the transaction was acknowledged."""
        return self._wrote

    # Statements.

    async def run(self, request: Request) -> Reply:
        """Run a read or a write in the transaction."""
        self._running = True
        try:
            return await self._run(request)
        finally:
            request.release_permit()
            refund_unused(self._context, request)
            self._running = False
            self._used_at = self._context.now()

    async def _run(self, request: Request) -> Reply:
        if self._pooled is None:
            refused = await self._start(request)
            if refused is not None:
                return self.fail(refused)
            if self._failure is not None:
                # The transaction was abandoned while it was being opened.
                return self.fail(self._failure)
        while True:
            refused = await self._acquire_permit(request)
            if refused is not None:
                return self.fail(refused)
            reply = await self._send(request)
            if reply.refusal is None:
                self._wrote = self._wrote or request.writes
                if not self._wrote:
                    request.record_observed(reply)
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
            # The caller may have disconnected in the meantime.
            request.release_permit()
            refund_unused(self._context, request)
            self._release(dirty=True)
            self._admission.release()

    async def _commit(self, request: Request) -> Reply:
        if self._failure is not None:
            self._release(dirty=True)
            refusal = Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, self._failure.detail)
            return Reply(refusal=refusal)
        if self._pooled is None:
            refused = await self._start(request)
            if refused is not None:
                return Reply(refusal=refused)
        while True:
            refused = await self._prepare_commit(request)
            if refused is not None:
                return self._not_committed(refused)
            queried_at = self._context.now()
            reply = await self._send(request)
            if reply.refusal is None:
                return self._committed(request, reply, queried_at)
            busy = reply.refusal.reason is Reason.QUEUE_FULL
            retry = busy and reply.state is TransactionState.OPEN
            if not retry or self._context.now() >= request.hold_until:
                return self._not_committed(reply.refusal)
            await asyncio.sleep(BUSY_PAUSE)

    async def _prepare_commit(self, request: Request) -> Refusal | None:
        """Wait for a permit; return the refusal if the COMMIT may not be sent now."""
        refused = await self._acquire_permit(request)
        if refused is not None:
            return refused
        if self._is_connection_lost():
            return Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, "its connection is lost")
        if not await self._may_commit(request):
            detail = "its database is no longer known to be the leader"
            return Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, detail)
        return None

    def _is_connection_lost(self) -> bool:
        """Return whether sending a COMMIT would fail because the connection is lost.

        No COMMIT was sent, and the connection is closed now: the database rolls back the open
        transaction.
        """
        pooled = self._pooled
        assert pooled is not None
        return pooled.connection.closed or pooled.pool.is_suspect(pooled)

    async def _may_commit(self, request: Request) -> bool:
        """Return whether the COMMIT may be sent now; one that commits a write needs a leader."""
        if not self._wrote:
            return True
        assert self._pooled is not None
        leaders = self._context.leader(self.route.group)
        return await leaders.wait_to_use(self._pooled.instance, request.hold_until)

    def _committed(self, request: Request, reply: Reply, queried_at: float) -> Reply:
        pooled = self._pooled
        assert pooled is not None
        if self._wrote:
            leaders = self._context.leader(self.route.group)
            leaders.record_write_reply()
            leaders.record_commit(reply.position)
            leaders.record_proof(pooled.instance, reply.position, queried_at)
        if self._wrote:
            check_commit(self._context, request, reply)
        request.record_observed(reply)
        self._release(dirty=reply.state is not TransactionState.IDLE)
        return Reply(reply.rows, reply.signature, position=reply.position)

    def _not_committed(self, refusal: Refusal) -> Reply:
        self._release(dirty=True)
        if refusal.verdict is Verdict.UNKNOWN and not self._wrote:
            detail = "the transaction wrote nothing, and its end was not confirmed"
            refusal = Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, detail)
        return Reply(refusal=refusal)

    async def _acquire_permit(self, request: Request) -> Refusal | None:
        """Wait for a permit unless the request has one; return the refusal if there is none.

        Nothing is sent if the transaction has lost its connection in the meantime.
        """
        pooled = self._pooled
        if request.permit is None and pooled is not None:
            try:
                request.permit = await pooled.pool.enter(request.work(in_transaction=True))
            except NoSlotError as error:
                request.record_no_slot(pooled.instance, error.refusal)
                return error.refusal
            except ConnectError as error:
                return Refusal(Verdict.NOT_RUN, error.reason, str(error))
        return self._failure if self._pooled is None else None

    async def _send(self, request: Request) -> Reply:
        pooled = self._pooled
        assert pooled is not None
        remaining = time_left(self._context, request)
        commands = [*request.preparation(pooled.state, pinned=True), request.command()]
        if not self._is_counted:
            self._is_counted = True
            request.record_sent()
        if self._wrote:
            # Its COMMIT needs the lease, also if this node has ceased to serve the group.
            self._context.leader(self.route.group).record_use()
        queried_at = self._context.now()
        served = False
        try:
            is_commit = request.statement.action is Action.COMMIT
            reply = (await pooled.run(commands, remaining, must_wait=is_commit))[-1]
            served = reply.refusal is None
        except ConnectionLostError as error:
            is_late = self._context.now() - queried_at >= remaining - CLOCK_STEP
            if self._wrote and is_late and not pooled.pool.is_suspect(pooled):
                leaders = self._context.leader(self.route.group)
                leaders.record_write_timeout(pooled.instance, queried_at)
            lost = self._lost(request, str(error))
            request.record_failed_attempt(pooled.instance, lost)
            return Reply(refusal=lost, state=TransactionState.FAILED)
        finally:
            request.release_permit(served=served)
        pooled.pool.record_reply(self._context.now() - queried_at, reply.refusal)
        if reply.refusal is not None and reply.refusal.may_retry:
            request.at_database = False
        if reply.refusal is not None and reply.refusal.reason is Reason.STALE_TERM:
            self._context.leader(self.route.group).record_denial(
                pooled.instance, "it is no longer the leader"
            )
        return reply

    @staticmethod
    def _lost(request: Request, detail: str) -> Refusal:
        """Return the refusal after a lost connection; without its COMMIT all is rolled back."""
        if request.statement.action is Action.COMMIT:
            return Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST, detail)
        return Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, detail)

    # Start.

    async def _start(self, request: Request) -> Refusal | None:
        """Open the transaction at a database if its tenant may; return the refusal if not."""
        refused = await admit(self._context, request)
        return refused or await self._start_admitted(request)

    async def _start_admitted(self, request: Request) -> Refusal | None:
        excluded: set[InstanceId] = set()
        while not self._at_leader:
            pool = await self._choose_replica(request, excluded)
            has_no_floor = pool is None and not self._at_leader
            if pool is not None:
                refused = await self._await_gate(request, pool.entry.instance)
                if refused is not None:
                    return refused
                if await self._start_at_replica(request, pool, excluded):
                    return None
            request.release_permit()
            if request.no_slot is not None and self._at_leader:
                # The leader's slots are reserved for statements that no replica can run.
                reply = Reply(refusal=request.no_slot)
                return self._context.load.add_retry_delay(request, reply).refusal
            if has_no_floor or self._context.now() >= request.hold_until:
                return request.refusal or Refusal(Verdict.NOT_RUN, Reason.NO_PRIMARY)
            if request.must_back_off:
                await asyncio.sleep(BUSY_PAUSE)

        refused = await self._await_gate(request, self._expected_leader())
        if refused is not None:
            return refused

        async def begin(pooled: PooledConnection) -> Reply | None:
            return await self._begin_at_leader(request, pooled)

        reply = await run_at_leader(self._context, request, begin, Reason.NO_PRIMARY)
        return self._context.load.add_retry_delay(request, reply).refusal

    async def _await_gate(self, request: Request, instance: InstanceId | None) -> Refusal | None:
        """Wait for the transaction's turn at a database; return the refusal if it may not begin."""
        self._admission.release()
        admission = await self._context.transactions.enter(request, instance)
        if isinstance(admission, Refusal):
            return admission
        self._admission = admission
        return None

    def _expected_leader(self) -> InstanceId | None:
        """Return the database that will probably run the transaction, or None if it is unknown."""
        leaders = self._context.leader(self.route.group)
        return leaders.leader or leaders.last_leader

    async def _begin_at_leader(self, request: Request, pooled: PooledConnection) -> Reply | None:
        leaders = self._context.leader(self.route.group)
        instance = pooled.instance
        queried_at = self._context.now()
        was_fresh = pooled.is_fresh
        begin = await self._begin(request, pooled, Command(BEGIN))
        if begin is None:
            if was_fresh:
                leaders.reject(instance, "the connection was lost")
            return None
        if begin.refusal is not None:
            if begin.refusal.reason is Reason.STALE_TERM:
                leaders.record_denial(instance, "it refused to begin a transaction")
            return None
        if not leaders.record_proof(instance, begin.position, queried_at):
            self._release(dirty=True)
            return None
        if lacks_observed_position(self._context, request, begin):
            request.record_failed_attempt(instance, LACKS_OBSERVED)
            leaders.record_missing_commit(instance, request.observed)
            self._release(dirty=True)
            return None
        return begin

    async def _choose_replica(
        self, request: Request, excluded: set[InstanceId]
    ) -> DatabasePool | None:
        """Return the replica to try next; None: there is no floor, or it goes to the leader."""
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
            pooled = await pool.acquire(
                request.tenant, self._session.state, time_to_hold(self._context, request)
            )
        except NoSlotError as error:
            request.record_no_slot(instance, error.refusal)
            return False
        except (TimeoutError, ConnectError) as error:
            unreachable = Refusal(Verdict.NOT_RUN, Reason.UNREACHABLE, str(error))
            request.record_failed_attempt(instance, unreachable)
            if isinstance(error, ConnectError):
                refusal = Refusal(Verdict.NOT_RUN, error.reason)
                self._context.placement.record_failure(pool, refusal, self._context.now())
            return False
        try:
            floor = await current_floor(self._context, request)
        except BaseException:
            pooled.release()
            raise
        if floor is None:
            pooled.release()
            return False
        was_fresh = pooled.is_fresh
        request.floor = floor
        begin = await self._begin(request, pooled, Command(BEGIN_READ, floor=floor))
        if begin is None and not was_fresh:
            # The next connection to it is new, or has received data since.
            excluded.discard(instance)
        return begin is not None and self._is_open_at(request, instance, begin)

    def _is_open_at(self, request: Request, instance: InstanceId, begin: Reply) -> bool:
        """Return whether a BEGIN READ opened the transaction; record a database that was behind."""
        if begin.refusal is None:
            check_answer(self._context, request, begin)
        elif begin.refusal.reason is Reason.REPLICA_BEHIND and not self._has_session_floor(request):
            self._context.placement.record_behind(instance)
        return begin.refusal is None

    def _has_session_floor(self, request: Request) -> bool:
        """Return whether, under overload control, a database is behind for this session only."""
        return self._context.overload.enabled and is_floor_from_session(request)

    async def _begin(
        self, request: Request, pooled: PooledConnection, begin: Command
    ) -> Reply | None:
        """Send a BEGIN, and keep the connection if it succeeds."""
        needed = pooled.state.preparation(self._session.state, None, pinned=False)
        commands = [*(Command(statement) for statement in needed), begin]
        remaining = time_to_hold(self._context, request)
        queried_at = self._context.now()
        try:
            reply = (await pooled.run_at_once(commands, remaining))[-1]
        except ConnectionLostError as error:
            lost = Refusal(Verdict.NOT_RUN, Reason.CONNECTION_LOST, str(error))
            request.record_failed_attempt(pooled.instance, lost)
            self._context.placement.record_failure(pooled.pool, lost, queried_at)
            pooled.release()
            return None
        except BaseException:
            pooled.release()
            raise
        leaders = self._context.leader(self.route.group)
        leaders.record_position(pooled.instance, reply.position, queried_at, pooled.opened_at)
        if reply.refusal is None:
            self._pooled = pooled
            return reply
        request.record_failed_attempt(pooled.instance, reply.refusal)
        if reply.state is not TransactionState.IDLE:
            pooled.connection.close()
        pooled.release()
        return reply

    # Ends.

    def fail(self, refusal: Refusal) -> Reply:
        """Roll back at the database; the caller still has to end its transaction."""
        self._failure = refusal
        self._release(dirty=True)
        self._admission.release()
        return Reply(refusal=refusal, state=TransactionState.FAILED)

    def abandon(self, detail: str) -> None:
        """Roll back; a running statement is cut off by closing its connection."""
        if self._failure is None:
            self._failure = Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, detail)
        self._release(dirty=True)
        self._admission.release()

    def end_if_idle(self, now: float) -> None:
        """Roll back the transaction if its caller has been idle for longer than allowed."""
        if self._running or self._failure is not None or self._pooled is None:
            return
        if now - self._used_at > self._context.table.transaction_idle:
            self.fail(Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, "it was idle for too long"))

    def _release(self, dirty: bool) -> None:
        pooled = self._pooled
        self._pooled = None
        if pooled is None:
            return
        if not dirty or pooled.connection.closed:
            pooled.release()
        elif self._running:
            pooled.connection.close()
            pooled.release()
        else:
            self._context.spawn(self._roll_back(pooled))

    async def _roll_back(self, pooled: PooledConnection) -> None:
        try:
            (reply,) = await pooled.run([Command(ROLLBACK)], ROLLBACK_TIMEOUT)
            if reply.state is not TransactionState.IDLE:
                pooled.connection.close()
        except ConnectionLostError:
            # The database rolls back an open transaction when its connection ends.
            pooled.connection.close()
        finally:
            pooled.release()
