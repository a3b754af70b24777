"""One caller's session: its statements in order, its variables and its transaction."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from bramblebeam.core.gateway.floors import age_ms
from bramblebeam.core.gateway.replies import TRANSACTION_FAILED, Reply, TransactionState
from bramblebeam.core.gateway.routes import Route
from bramblebeam.core.gateway.state import SessionState
from bramblebeam.core.gateway.statements import COMMIT, Action, PreparedStatement, Statement
from bramblebeam.core.identity import GroupId, Position
from bramblebeam.core.tenants import NO_TENANT, KeyDigest, short_digest
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import REQUEST_REFUSED
from bramblebeam.services.gateway.execution import execute
from bramblebeam.services.gateway.forwarded_transaction import ForwardedTransaction
from bramblebeam.services.gateway.request import Request
from bramblebeam.services.gateway.running import RunningStatement
from bramblebeam.services.gateway.transaction import Transaction

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

logger = logging.getLogger(__name__)

NO_SIGNATURE = "-"
STOPPING = "its node is stopping"
ENDED_BY_STOP = Refusal(Verdict.NOT_RUN, Reason.TRANSACTION_LOST, STOPPING)


class GatewaySession:
    """The session of one caller connection. Runs one statement at a time."""

    forwarded = False
    forwarded_on = False

    def __init__(self, context: GatewayContext, database: str, key: KeyDigest) -> None:
        self.identifier = short_digest(key)
        self.tenant = NO_TENANT
        self.state = SessionState()
        self.observed: dict[GroupId, Position] = {}
        self.retry_at: float | None = None
        self.running: RunningStatement | None = None
        self._context = context
        self.database = database
        self._key = key
        self._transaction: Transaction | ForwardedTransaction | None = None

    @property
    def idle(self) -> bool:
        """Whether no transaction is open."""
        return self._transaction is None

    async def execute(self, identifier: str, statement: Statement) -> Reply:
        """Run one statement and return its final reply."""
        arrived = self._context.now()
        running = RunningStatement(identifier, statement.action, arrived)
        self.running = running
        try:
            with self._context.running.track(running):
                reply = await self._execute(identifier, statement)
        except asyncio.CancelledError:
            if running.ended_for is None:
                raise
            reply = self._end(running)
        finally:
            self.running = None
        self._record(identifier, statement, reply, self._context.now() - arrived)
        self._context.load.record_reply(self, self._route(), reply, arrived)
        return reply

    def _record(self, identifier: str, statement: Statement, reply: Reply, seconds: float) -> None:
        """Count the reply, and log it if it is a refusal."""
        refusal = reply.refusal
        outcome = "done" if refusal is None else refusal.verdict.name.lower()
        route = self._route()
        consistency = "none" if route is None else route.consistency.name.lower()
        action = statement.action.name.lower()
        self._context.metrics.answered(consistency, action, outcome, seconds)
        if refusal is None:
            return
        leaders = None if route is None else self._context.known_leader(route.group)
        proof_age = None
        if leaders is not None and leaders.leader is not None:
            proof_age = age_ms(leaders.watermarks.newest.queried_at, self._context.now())
        log_event(
            logger,
            REQUEST_REFUSED,
            request=identifier,
            session=self.identifier,
            database=self.database,
            action=action,
            verdict=outcome,
            reason=refusal.reason.name.lower(),
            detail=refusal.detail,
            waited_ms=round(seconds * 1000),
            leader=None if leaders is None else leaders.leader,
            proof_age_ms=proof_age,
            routes_version=self._context.table.version,
        )

    async def _execute(self, identifier: str, statement: Statement) -> Reply:
        if self._may_begin(statement.action):
            return await self._execute_begun(identifier, statement)
        return self._refuse_stopping(statement.action)

    async def _execute_begun(self, identifier: str, statement: Statement) -> Reply:
        action = statement.action
        refused = None if action is Action.ROLLBACK else self._authenticate()
        if refused is not None:
            return self._refuse(refused)
        if action in (Action.BEGIN, Action.BEGIN_READ):
            return await self._begin(action is Action.BEGIN_READ)
        if self._transaction is not None:
            return await self._in_transaction(self._transaction, identifier, statement)
        if action in (Action.COMMIT, Action.ROLLBACK):
            return _done(TransactionState.IDLE)
        if action in (Action.READ, Action.WRITE, Action.EXECUTE):
            return await self._run_single(identifier, statement)
        return self._local(statement, TransactionState.IDLE)

    def _authenticate(self) -> Refusal | None:
        """Return the refusal if the configuration in force does not admit the caller.

        A key may be revoked or move to another tenant while the session is open. An open
        transaction of the former tenant ends then.
        """
        tenant = self._context.table.tenant_of(self.database, self._key)
        if tenant is None:
            return Refusal(Verdict.NOT_RUN, Reason.UNKNOWN_KEY)
        if self._transaction is not None and tenant != self.tenant:
            return Refusal(
                Verdict.NOT_RUN, Reason.TRANSACTION_LOST, "its key belongs to another tenant now"
            )
        self.tenant = tenant
        return None

    # Planned stop of the node.

    def _may_begin(self, action: Action) -> bool:
        """Return whether the statement may begin, as the node may be stopping."""
        transaction = self._transaction
        route = self._route() if transaction is None else transaction.route
        limit = 0.0 if route is None else route.timeout
        in_transaction = transaction is not None
        return self._context.stop.may_begin(action, in_transaction, limit, self._context.now())

    def _refuse_stopping(self, action: Action) -> Reply:
        """Refuse a statement that may not begin, and end an open transaction."""
        transaction = self._transaction
        if transaction is None:
            return _refused(Reason.STOPPING, TransactionState.IDLE)
        if action is Action.COMMIT:
            self._transaction = None
            transaction.abandon(STOPPING)
            return Reply(refusal=ENDED_BY_STOP)
        return transaction.fail(ENDED_BY_STOP)

    def _end(self, running: RunningStatement) -> Reply:
        """Return the reply to a statement that the stop of the node has ended."""
        refusal = running.refusal()
        if self._transaction is not None:
            return self._transaction.fail(ENDED_BY_STOP)
        if running.action is Action.COMMIT and refusal.may_retry:
            return Reply(refusal=ENDED_BY_STOP)
        return Reply(refusal=refusal)

    def _refuse(self, refusal: Refusal) -> Reply:
        """Reply with a refusal, and roll back an open transaction."""
        if self._transaction is None:
            return Reply(refusal=refusal)
        transaction = self._transaction
        if refusal.reason is Reason.UNKNOWN_KEY:
            self._transaction = None
        return transaction.fail(refusal)

    def abandon(self) -> None:
        """Roll back an open transaction, because the caller has disconnected."""
        if self._transaction is not None:
            self._transaction.abandon("the caller disconnected")
            self._transaction = None

    def end_idle(self, now: float) -> None:
        """Roll back a transaction that was idle for longer than allowed."""
        if self._transaction is not None:
            self._transaction.end_if_idle(now)

    # Statements outside a transaction.

    async def _run_single(self, identifier: str, statement: Statement) -> Reply:
        route = self._route()
        if route is None:
            return _refused(Reason.UNKNOWN_DATABASE, TransactionState.IDLE)
        prepared = self._prepared(statement)
        if statement.action is Action.EXECUTE and prepared is None:
            return _refused(Reason.UNKNOWN_STATEMENT, TransactionState.IDLE)
        request = self._request(route, identifier, statement, prepared)
        return await execute(self._context, request)

    def _request(
        self,
        route: Route,
        identifier: str,
        statement: Statement,
        prepared: PreparedStatement | None,
    ) -> Request:
        now = self._context.now()
        request = Request(self, route, identifier, statement, prepared, now, self._context.metrics)
        if self.running is not None:
            self.running.request = request
        return request

    # Transactions.

    async def _begin(self, read_only: bool) -> Reply:
        if self._transaction is not None:
            return _refused(Reason.BAD_REQUEST, self._transaction.state)
        route = self._route()
        if route is None:
            return _refused(Reason.UNKNOWN_DATABASE, TransactionState.IDLE)
        await self._context.wait_for_members(self._context.now() + route.timeout)
        at_leader = self._context.runs_at_leader(route, writes=not read_only)
        serves = self._context.runs_here(route.group, self.tenant, at_leader)
        kind = Transaction if serves else ForwardedTransaction
        self._transaction = kind(self._context, self, route, read_only)
        return _done(TransactionState.OPEN)

    async def _in_transaction(
        self,
        transaction: Transaction | ForwardedTransaction,
        identifier: str,
        statement: Statement,
    ) -> Reply:
        action = statement.action
        if action is Action.ROLLBACK:
            self._transaction = None
            transaction.abandon("")
            return _done(TransactionState.IDLE)
        if action is Action.COMMIT:
            self._transaction = None
            request = self._request(transaction.route, identifier, COMMIT, None)
            if self.running is not None:
                self.running.keeps_nothing = not transaction.wrote
            return await transaction.commit(request)
        if transaction.state is TransactionState.FAILED:
            return TRANSACTION_FAILED
        if action in (Action.READ, Action.WRITE, Action.EXECUTE):
            prepared = self._prepared(statement)
            if action is Action.EXECUTE and prepared is None:
                return transaction.fail(Refusal(Verdict.NOT_RUN, Reason.UNKNOWN_STATEMENT))
            request = self._request(transaction.route, identifier, statement, prepared)
            return await transaction.run(request)
        return self._local(statement, TransactionState.OPEN)

    # Statements that the session handles itself.

    def _local(self, statement: Statement, state: TransactionState) -> Reply:
        name = statement.name
        match statement.action:
            case Action.SET:
                self.state.values[name] = statement.body
            case Action.PREPARE_READ:
                self.state.prepared[name] = PreparedStatement(statement.body, writes=False)
            case Action.PREPARE_WRITE:
                self.state.prepared[name] = PreparedStatement(statement.body, writes=True)
            case Action.DEALLOCATE:
                if self.state.prepared.pop(name, None) is None:
                    return _refused(Reason.UNKNOWN_STATEMENT, state)
        return _done(state)

    def _prepared(self, statement: Statement) -> PreparedStatement | None:
        if statement.action is not Action.EXECUTE:
            return None
        return self.state.prepared.get(statement.name)

    def _route(self) -> Route | None:
        return self._context.table.route(self.database)


def _done(state: TransactionState) -> Reply:
    return Reply(signature=NO_SIGNATURE, state=state)


def _refused(reason: Reason, state: TransactionState) -> Reply:
    return Reply(refusal=Refusal(Verdict.NOT_RUN, reason), state=state)
