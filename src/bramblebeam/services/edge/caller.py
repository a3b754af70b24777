"""One caller connection: dispatches each statement to the edge itself or to a back end."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from expression import Result

from bramblebeam.core.identity import GroupId, ServiceId
from bramblebeam.core.routing.attempt import STOPPING_DETAIL
from bramblebeam.core.routing.classify import Action, StatementClass
from bramblebeam.core.routing.effects import Finish, StatementRequest
from bramblebeam.core.routing.execution import Execution
from bramblebeam.core.routing.pinned import PinnedExecution
from bramblebeam.core.routing.shape import is_request_id, request_hint
from bramblebeam.core.session.session import Session
from bramblebeam.core.session.token import decode_token
from bramblebeam.core.session.variables import MAXIMUM_SESSION_NAME_LENGTH, Connection
from bramblebeam.core.statement import AbandonRequest, ColumnSpec, StatementKind
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.edges.mysql.server import (
    CallerError,
    CallerSession,
    ConnectionInfo,
    OkResult,
    RowsResult,
)
from bramblebeam.services.edge.local import LOCAL_ANSWERS
from bramblebeam.services.edge.results import bad_request, caller_error, stream_rows

if TYPE_CHECKING:
    from bramblebeam.services.edge.service import EdgeService

SESSION_ATTRIBUTE = "bramblebeam_session"
TOKEN_ATTRIBUTE = "bramblebeam_token"
REQUEST_ATTRIBUTE = "bramblebeam_request"
NO_DATABASE = 1046
UNKNOWN_DATABASE = 1049

NOT_BEGUN = Refusal(Verdict.NOT_RUN, Reason.STOPPING, STOPPING_DETAIL)
ANSWER_CUT = Refusal(Verdict.RAN, Reason.STOPPING, "the rest of the answer is lost")

_KINDS = {
    Action.READ: StatementKind.READ,
    Action.WRITE: StatementKind.WRITE,
    Action.COMMIT: StatementKind.COMMIT,
    Action.ROLLBACK: StatementKind.ROLLBACK,
}


class Caller(CallerSession):
    """The edge's side of one MySQL connection."""

    def __init__(self, edge: EdgeService) -> None:
        self.edge = edge
        self.session = Session(edge.next_session_identifier(), ServiceId(""))
        self.connection = Connection(0, "", "", edge.node)
        self.answering = False
        """Whether a statement has begun whose answer is not complete."""
        self._admitted = False
        self._verdict = NOT_BEGUN
        """What is known about the present statement if the node's stop cuts it."""

    # Connection lifecycle.

    async def opened(self, connection: ConnectionInfo) -> None:
        """Start a session with the connection's session name and token. Raises CallerError.

        Runs again when the connection changes its user; no state of the former user is kept.
        """
        self.connection = Connection(
            connection.id, connection.user, connection.remote, self.edge.node
        )
        service = ServiceId(connection.user)
        session = Session(self.edge.next_session_identifier(), service)
        self.session = session
        self.edge.admit(self, session.service)
        self._admitted = True
        session.roaming_name = connection.attributes.get(SESSION_ATTRIBUTE, "")
        if len(session.roaming_name) > MAXIMUM_SESSION_NAME_LENGTH:
            raise bad_request(
                f"{SESSION_ATTRIBUTE} is longer than {MAXIMUM_SESSION_NAME_LENGTH} characters"
            )
        self._adopt_token(connection.attributes.get(TOKEN_ATTRIBUTE, ""))
        if connection.database:
            await self.use(connection.database)

    def _adopt_token(self, text: str) -> None:
        if not text:
            return
        match decode_token(text):
            case Result(tag="ok", ok=token):
                self.session.adopt_token(token)
            case Result(error=detail):
                raise bad_request(f"{TOKEN_ATTRIBUTE}: {detail}")

    async def use(self, database: str) -> None:
        """Change the group. Raises CallerError for an unknown group or in a transaction."""
        if self.session.in_transaction and database != self.session.group:
            raise bad_request("the database cannot be changed in a transaction")
        group = GroupId(database)
        configuration = self.edge.directory.configuration
        if configuration.version == 0:
            raise caller_error(Refusal(Verdict.NOT_RUN, Reason.NO_CONFIGURATION))
        if group not in configuration.groups:
            raise CallerError(UNKNOWN_DATABASE, "42000", f"Unknown database '{database}'")
        self.edge.admit_to_group(self, self.session.service, group)
        self.session.group = group
        self.edge.tracker.record_use(group)

    async def reset(self) -> None:
        """Roll back and reset the connection's settings, but keep the record of its writes."""
        self._abandon_transaction()
        self.session.reset()

    async def closed(self) -> None:
        """Abandon an open transaction and unregister the connection."""
        self._abandon_transaction()
        if self._admitted:
            self._admitted = False
            self.edge.release(self)

    def answered(self) -> None:
        """Record that the present statement has its whole answer."""
        self.answering = False
        self._verdict = NOT_BEGUN
        self.edge.drain_state.check(self)

    def stopped(self) -> CallerError:
        """Return the verdict on the present statement, which the stop of the node cuts."""
        return caller_error(self._verdict)

    def end_transaction(self) -> None:
        """Have an open transaction rolled back, unless a statement of it has begun.

        The session stays in it: its next statement, which may be a COMMIT, has to be refused.
        """
        transaction = self.session.transaction
        if transaction is not None and not self.answering:
            abandon = AbandonRequest(self.session.identifier, transaction.instance)
            self.edge.peers.post(transaction.node, abandon)

    def _abandon_transaction(self) -> None:
        transaction = self.session.transaction
        if transaction is None:
            return
        self.session.transaction = None
        abandon = AbandonRequest(self.session.identifier, transaction.instance)
        self.edge.peers.post(transaction.node, abandon)

    @property
    def connection_id(self) -> int:
        """The connection's id at this node."""
        return self.connection.connection_id

    @property
    def user(self) -> str:
        """The caller's user name."""
        return self.connection.user

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self.session.in_transaction

    # Statements.

    async def execute(self, sql: str, attributes: dict[str, Any]) -> OkResult | RowsResult:
        """Run one statement. Raises CallerError."""
        self.answering = True
        statement_class = self.edge.classifier.classify(sql)
        handler = _HANDLERS[statement_class.action]
        return await handler(self, sql, attributes, statement_class)

    async def _forward(
        self, sql: str, attributes: dict[str, Any], statement_class: StatementClass
    ) -> OkResult | RowsResult:
        session = self.session
        statement = StatementRequest(
            kind=_KINDS[statement_class.action],
            sql=sql,
            sees_writes=statement_class.action is Action.READ or statement_class.returns_rows,
            implicit_commit=statement_class.implicit_commit,
            caller_request=_caller_request(sql, attributes, statement_class),
        )
        if session.transaction is None:
            if not session.autocommit and not statement_class.implicit_commit:
                await self._open_transaction("BEGIN")
            elif statement_class.needs_connection:
                raise bad_request("the statement needs the connection of the statement before it")
        finish = await self.run(statement)
        return self._result(finish)

    async def _begin(
        self, sql: str, attributes: dict[str, Any], statement_class: StatementClass
    ) -> OkResult:
        await self._open_transaction(sql)
        return self.ok()

    async def _open_transaction(self, sql: str) -> None:
        if self.session.in_transaction:
            await self.run(StatementRequest(StatementKind.COMMIT, "COMMIT"))
        await self.run(StatementRequest(StatementKind.BEGIN, sql))

    async def _end(
        self, sql: str, attributes: dict[str, Any], statement_class: StatementClass
    ) -> OkResult | RowsResult:
        if not self.session.in_transaction:
            return self.ok()
        kind = _KINDS[statement_class.action]
        if kind is StatementKind.ROLLBACK and self.edge.ends_transactions:
            self._abandon_transaction()
            return self.ok()
        finish = await self.run(StatementRequest(kind, sql))
        return self._result(finish)

    async def run(self, statement: StatementRequest) -> Finish:
        """Run one statement to its end. Raises CallerError for a refusal."""
        session = self.session
        if not session.group:
            raise CallerError(NO_DATABASE, "3D000", "No database selected")
        edge = self.edge
        machine = self._machine(statement)
        self._begin_statement()
        try:
            finish = await edge.driver.run(machine, session.identifier)
        except BaseException:
            self._verdict = machine.interrupted()
            session.transaction = None
            session.record_uncertain_write(session.group)
            raise
        finally:
            edge.end_statement()
        self._verdict = ANSWER_CUT
        if finish.refusal is not None:
            edge.count_refusal(finish.refusal)
            raise caller_error(finish.refusal)
        return finish

    def _begin_statement(self) -> None:
        """Count a statement as in flight. Raises CallerError, which also ends a transaction."""
        try:
            self.edge.begin_statement(self.session.in_transaction)
        except CallerError:
            self._abandon_transaction()
            raise

    def _machine(self, statement: StatementRequest) -> Execution | PinnedExecution:
        edge = self.edge
        session = self.session
        if session.transaction is not None:
            return PinnedExecution(session, statement, edge.directory)
        edge.tracker.record_use(session.group)
        return Execution(session, statement, edge.directory, edge.budget)

    # Statements that the edge answers itself.

    async def _local(
        self, sql: str, attributes: dict[str, Any], statement_class: StatementClass
    ) -> OkResult | RowsResult:
        answer = await LOCAL_ANSWERS[statement_class.action](self, sql, statement_class)
        return self.rows(*answer) if answer is not None else self.ok()

    # Answers.

    def _result(self, finish: Finish) -> OkResult | RowsResult:
        reply = finish.reply
        if reply is None:
            return self.ok()
        session = self.session
        if reply.columns:
            session.affected_rows = -1
            if not reply.more:
                return self.rows(reply.columns, reply.rows)
            rows = stream_rows(self.edge.peers, finish.node, finish.instance, reply)
            return RowsResult(reply.columns, rows, session.in_transaction, session.autocommit)
        session.affected_rows = reply.affected_rows
        if reply.last_insert_id:
            session.last_insert_id = reply.last_insert_id
        return self.ok(reply.affected_rows, reply.last_insert_id)

    def rows(
        self, columns: tuple[ColumnSpec, ...], rows: tuple[tuple[Any, ...], ...]
    ) -> RowsResult:
        """Return a complete result with the session's flags."""
        return RowsResult(columns, rows, self.session.in_transaction, self.session.autocommit)

    def ok(self, affected_rows: int = 0, last_insert_id: int = 0) -> OkResult:
        """Return the result of a statement without rows, with the session's flags and token."""
        session = self.session
        return OkResult(
            affected_rows,
            last_insert_id,
            f"{TOKEN_ATTRIBUTE}={session.token.encode()}",
            session.in_transaction,
            session.autocommit,
        )


def _caller_request(sql: str, attributes: dict[str, Any], statement_class: StatementClass) -> str:
    """Return the caller's own id of a write, from a query attribute or a comment.

    Raises CallerError for an invalid id, which must be neither truncated nor ignored.
    """
    if statement_class.action is not Action.WRITE:
        return ""
    given = attributes.get(REQUEST_ATTRIBUTE)
    text = request_hint(sql) if given is None else str(given)
    if text is None:
        return ""
    if not is_request_id(text):
        raise bad_request(
            f"{REQUEST_ATTRIBUTE} must be 1 to 128 letters, digits or characters of _.:+/@-"
        )
    return text


_HANDLERS = {
    Action.READ: Caller._forward,
    Action.WRITE: Caller._forward,
    Action.BEGIN: Caller._begin,
    Action.COMMIT: Caller._end,
    Action.ROLLBACK: Caller._end,
    **dict.fromkeys(LOCAL_ANSWERS, Caller._local),
}
"""The handler of each class of statements."""
