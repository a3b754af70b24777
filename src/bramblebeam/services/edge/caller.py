"""One caller connection: each statement by its class to the edge itself or to a back end."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

from expression import Result

from bramblebeam.core.identity import GroupId, ServiceId
from bramblebeam.core.routing.classify import Action, StatementClass
from bramblebeam.core.routing.effects import Finish, StatementRequest
from bramblebeam.core.routing.execution import Execution
from bramblebeam.core.routing.pinned import PinnedExecution
from bramblebeam.core.routing.shape import request_hint
from bramblebeam.core.session.session import Session
from bramblebeam.core.session.token import decode_token
from bramblebeam.core.session.variables import Connection, VariableError, apply_set, select_local
from bramblebeam.core.statement import AbandonRequest, ColumnSpec, StatementKind
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.edges.mysql.server import (
    CallerError,
    CallerSession,
    ConnectionInfo,
    OkResult,
    RowsResult,
)
from bramblebeam.services.edge.results import caller_error, stream_rows

if TYPE_CHECKING:
    from bramblebeam.services.edge.service import EdgeService

SESSION_ATTRIBUTE = "bramblebeam_session"
TOKEN_ATTRIBUTE = "bramblebeam_token"
REQUEST_ATTRIBUTE = "bramblebeam_request"
NO_DATABASE = 1046
UNKNOWN_DATABASE = 1049
UNKNOWN_THREAD = 1094
MAXIMUM_NAME_LENGTH = 128

_KILL = re.compile(r"\s*kill\s+(?P<kind>query\s+|connection\s+)?(?P<id>\d+)\s*;?\s*", re.IGNORECASE)
_USE = re.compile(r"\s*use\s+`?(?P<name>[^`;]+?)`?\s*;?\s*", re.IGNORECASE)
_WARNING_COLUMNS = (ColumnSpec("Level", 253), ColumnSpec("Code", 8), ColumnSpec("Message", 253))

_KINDS = {
    Action.READ: StatementKind.READ,
    Action.WRITE: StatementKind.WRITE,
    Action.COMMIT: StatementKind.COMMIT,
    Action.ROLLBACK: StatementKind.ROLLBACK,
}


class Caller(CallerSession):
    """The edge's side of one MySQL connection."""

    def __init__(self, edge: EdgeService) -> None:
        self._edge = edge
        self._session = Session(edge.next_session_identifier(), ServiceId(""))
        self._connection = Connection(0, "", "", edge.node)
        self._counted = False

    # Life of the connection.

    async def opened(self, connection: ConnectionInfo) -> None:
        """Take the connection, its session's name and token. Raises CallerError."""
        self._connection = Connection(
            connection.id, connection.user, connection.remote, self._edge.node
        )
        session = self._session
        session.service = ServiceId(connection.user)
        self._edge.admit(self, session.service)
        self._counted = True
        session.roaming_name = connection.attributes.get(SESSION_ATTRIBUTE, "")
        if len(session.roaming_name) > MAXIMUM_NAME_LENGTH:
            raise _bad_request(f"{SESSION_ATTRIBUTE} is longer than {MAXIMUM_NAME_LENGTH}")
        self._take_token(connection.attributes.get(TOKEN_ATTRIBUTE, ""))
        if connection.database:
            await self.use(connection.database)

    def _take_token(self, text: str) -> None:
        if not text:
            return
        match decode_token(text):
            case Result(tag="ok", ok=token):
                self._session.carry(token)
            case Result(error=detail):
                raise _bad_request(f"{TOKEN_ATTRIBUTE}: {detail}")

    async def use(self, database: str) -> None:
        """Change the group. Raises CallerError for an unknown one or inside a transaction."""
        if self._session.in_transaction and database != self._session.group:
            raise _bad_request("the database cannot change inside a transaction")
        group = GroupId(database)
        configuration = self._edge.directory.configuration
        if configuration.version == 0:
            raise caller_error(Refusal(Verdict.NOT_RUN, Reason.NO_CONFIGURATION))
        if group not in configuration.groups:
            raise CallerError(UNKNOWN_DATABASE, "42000", f"Unknown database '{database}'")
        self._edge.admit_to_group(self, self._session.service, group)
        self._session.group = group
        self._edge.tracker.use(group)

    async def reset(self) -> None:
        """Roll back and forget the connection's settings, not what the session wrote."""
        self._abandon_transaction()
        self._session.reset()
        self._edge.check_drained()

    async def closed(self) -> None:
        """Give up what the session left behind."""
        self._abandon_transaction()
        if self._counted:
            self._edge.release(self)

    def _abandon_transaction(self) -> None:
        transaction = self._session.transaction
        if transaction is None:
            return
        self._session.transaction = None
        abandon = AbandonRequest(self._session.identifier, transaction.instance)
        self._edge.peers.post(transaction.node, abandon)

    @property
    def connection_id(self) -> int:
        """The connection's number at this node."""
        return self._connection.connection_id

    @property
    def user(self) -> str:
        """The caller's user name."""
        return self._connection.user

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""
        return self._session.in_transaction

    # Statements.

    async def execute(self, sql: str, attributes: dict[str, Any]) -> OkResult | RowsResult:
        """Run one statement. Raises CallerError."""
        statement_class = self._edge.classifier.classify(sql)
        answer_by = _ANSWERS[statement_class.action]
        return await answer_by(self, sql, attributes, statement_class)

    async def _forward(
        self, sql: str, attributes: dict[str, Any], statement_class: StatementClass
    ) -> OkResult | RowsResult:
        session = self._session
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
                raise _bad_request("it needs the connection of the statement before it")
        finish = await self._run(statement)
        return self._result(finish)

    async def _begin(
        self, sql: str, attributes: dict[str, Any], statement_class: StatementClass
    ) -> OkResult:
        await self._open_transaction(sql)
        return self._ok()

    async def _open_transaction(self, sql: str) -> None:
        if self._session.in_transaction:
            await self._run(StatementRequest(StatementKind.COMMIT, "COMMIT"))
        await self._run(StatementRequest(StatementKind.BEGIN, sql))

    async def _end(
        self, sql: str, attributes: dict[str, Any], statement_class: StatementClass
    ) -> OkResult | RowsResult:
        if not self._session.in_transaction:
            return self._ok()
        kind = _KINDS[statement_class.action]
        finish = await self._run(StatementRequest(kind, sql))
        return self._result(finish)

    async def _run(self, statement: StatementRequest) -> Finish:
        """Carry one statement to its end. Raises CallerError for a refusal."""
        session = self._session
        if not session.group:
            raise CallerError(NO_DATABASE, "3D000", "No database selected")
        edge = self._edge
        edge.enter(session.in_transaction)
        try:
            finish = await edge.driver.run(self._machine(statement), session.identifier)
        except BaseException:
            session.transaction = None
            session.doubted(session.group)
            raise
        finally:
            edge.leave()
        if finish.refusal is not None:
            edge.count_refusal(finish.refusal)
            raise caller_error(finish.refusal)
        return finish

    def _machine(self, statement: StatementRequest) -> Execution | PinnedExecution:
        edge = self._edge
        session = self._session
        if session.transaction is not None:
            return PinnedExecution(session, statement, edge.directory)
        edge.tracker.use(session.group)
        return Execution(session, statement, edge.directory, edge.budget)

    # Statements that the edge answers itself.

    async def _set(
        self, sql: str, attributes: dict[str, Any], statement_class: StatementClass
    ) -> OkResult:
        session = self._session
        match apply_set(session, sql):
            case Result(tag="ok", ok=settings):
                if settings.autocommit is not None:
                    await self._set_autocommit(settings.autocommit)
                return self._ok()
            case Result(error=error):
                raise _variable_error(error)

    async def _set_autocommit(self, autocommit: bool) -> None:
        if autocommit and not self._session.autocommit and self._session.in_transaction:
            await self._run(StatementRequest(StatementKind.COMMIT, "COMMIT"))
        self._session.autocommit = autocommit

    async def _select_local(
        self, sql: str, attributes: dict[str, Any], statement_class: StatementClass
    ) -> RowsResult:
        match select_local(self._session, self._connection, sql):
            case Result(tag="ok", ok=variables):
                columns = tuple(ColumnSpec(item.name, item.type_code) for item in variables)
                return self._rows(columns, (tuple(item.value for item in variables),))
            case Result(error=error):
                raise _variable_error(error)

    async def _use(
        self, sql: str, attributes: dict[str, Any], statement_class: StatementClass
    ) -> OkResult:
        match = _USE.fullmatch(sql)
        if match is None:
            raise _bad_request("USE names no database")
        await self.use(match["name"].strip())
        return self._ok()

    async def _kill(
        self, sql: str, attributes: dict[str, Any], statement_class: StatementClass
    ) -> OkResult:
        match = _KILL.fullmatch(sql)
        if match is None:
            raise _bad_request("KILL names no connection")
        query_only = (match["kind"] or "").strip().lower() == "query"
        if not self._edge.kill(int(match["id"]), query_only, self.user):
            raise CallerError(UNKNOWN_THREAD, "HY000", f"Unknown thread id: {match['id']}")
        return self._ok()

    async def _show_warnings(
        self, sql: str, attributes: dict[str, Any], statement_class: StatementClass
    ) -> RowsResult:
        return self._rows(_WARNING_COLUMNS, ())

    async def _empty(
        self, sql: str, attributes: dict[str, Any], statement_class: StatementClass
    ) -> OkResult:
        return self._ok()

    async def _unsupported(
        self, sql: str, attributes: dict[str, Any], statement_class: StatementClass
    ) -> OkResult:
        raise _bad_request(statement_class.detail)

    # Answers.

    def _result(self, finish: Finish) -> OkResult | RowsResult:
        reply = finish.reply
        if reply is None:
            return self._ok()
        session = self._session
        if reply.columns:
            session.affected_rows = -1
            if not reply.more:
                return self._rows(reply.columns, reply.rows)
            rows = stream_rows(self._edge.peers, finish.node, finish.instance, reply)
            return RowsResult(reply.columns, rows, session.in_transaction, session.autocommit)
        session.affected_rows = reply.affected_rows
        if reply.last_insert_id:
            session.last_insert_id = reply.last_insert_id
        return self._ok(reply.affected_rows, reply.last_insert_id)

    def _rows(
        self, columns: tuple[ColumnSpec, ...], rows: tuple[tuple[Any, ...], ...]
    ) -> RowsResult:
        return RowsResult(columns, rows, self._session.in_transaction, self._session.autocommit)

    def _ok(self, affected_rows: int = 0, last_insert_id: int = 0) -> OkResult:
        session = self._session
        return OkResult(
            affected_rows,
            last_insert_id,
            f"{TOKEN_ATTRIBUTE}={session.token.encode()}",
            session.in_transaction,
            session.autocommit,
        )


def _caller_request(sql: str, attributes: dict[str, Any], statement_class: StatementClass) -> str:
    """Return the caller's own id of a write, from a query attribute or a comment."""
    if statement_class.action is not Action.WRITE:
        return ""
    given = attributes.get(REQUEST_ATTRIBUTE)
    return str(given)[:MAXIMUM_NAME_LENGTH] if given else request_hint(sql)


def _bad_request(detail: str) -> CallerError:
    return caller_error(Refusal(Verdict.NOT_RUN, Reason.BAD_REQUEST, detail))


def _variable_error(error: VariableError) -> CallerError:
    return CallerError(error.code, error.sqlstate, error.message)


_ANSWERS = {
    Action.READ: Caller._forward,
    Action.WRITE: Caller._forward,
    Action.BEGIN: Caller._begin,
    Action.COMMIT: Caller._end,
    Action.ROLLBACK: Caller._end,
    Action.SET: Caller._set,
    Action.SELECT_LOCAL: Caller._select_local,
    Action.SHOW_WARNINGS: Caller._show_warnings,
    Action.USE: Caller._use,
    Action.KILL: Caller._kill,
    Action.EMPTY: Caller._empty,
    Action.REFUSE: Caller._unsupported,
}
"""What answers a statement of each class."""
