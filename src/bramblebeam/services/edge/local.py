"""Statements that the edge answers itself, without a back end."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

from expression import Result

from bramblebeam.core.routing.classify import Action, StatementClass
from bramblebeam.core.routing.effects import StatementRequest
from bramblebeam.core.session.variables import VariableError, apply_set, select_local
from bramblebeam.core.statement import ColumnSpec, StatementKind
from bramblebeam.edges.mysql.server import CallerError
from bramblebeam.services.edge.results import bad_request

if TYPE_CHECKING:
    from bramblebeam.services.edge.caller import Caller

UNKNOWN_THREAD = 1094

_KILL = re.compile(r"\s*kill\s+(?P<kind>query\s+|connection\s+)?(?P<id>\d+)\s*;?\s*", re.IGNORECASE)
_USE = re.compile(r"\s*use\s+`?(?P<name>[^`;]+?)`?\s*;?\s*", re.IGNORECASE)
_WARNING_COLUMNS = (ColumnSpec("Level", 253), ColumnSpec("Code", 8), ColumnSpec("Message", 253))

Rows = tuple[tuple[ColumnSpec, ...], tuple[tuple[Any, ...], ...]]
LocalAnswer = Callable[["Caller", str, StatementClass], Awaitable[Rows | None]]
"""A handler: returns columns and rows, or None without rows. Raises CallerError."""


async def _set(caller: Caller, sql: str, statement_class: StatementClass) -> None:
    match apply_set(caller.session, sql):
        case Result(tag="ok", ok=settings):
            if settings.autocommit is not None:
                await _set_autocommit(caller, settings.autocommit)
        case Result(error=error):
            raise _variable_error(error)


async def _set_autocommit(caller: Caller, autocommit: bool) -> None:
    session = caller.session
    if autocommit and not session.autocommit and session.in_transaction:
        await caller.run(StatementRequest(StatementKind.COMMIT, "COMMIT"))
    session.autocommit = autocommit


async def _select(caller: Caller, sql: str, statement_class: StatementClass) -> Rows:
    match select_local(caller.session, caller.connection, sql):
        case Result(tag="ok", ok=variables):
            columns = tuple(ColumnSpec(item.name, item.type_code) for item in variables)
            return columns, (tuple(item.value for item in variables),)
        case Result(error=error):
            raise _variable_error(error)


async def _use(caller: Caller, sql: str, statement_class: StatementClass) -> None:
    match = _USE.fullmatch(sql)
    if match is None:
        raise bad_request("USE names no database")
    await caller.use(match["name"].strip())


async def _kill(caller: Caller, sql: str, statement_class: StatementClass) -> None:
    match = _KILL.fullmatch(sql)
    if match is None:
        raise bad_request("KILL names no connection")
    query_only = (match["kind"] or "").strip().lower() == "query"
    if not caller.edge.kill(int(match["id"]), query_only, caller.user):
        raise CallerError(UNKNOWN_THREAD, "HY000", f"Unknown thread id: {match['id']}")


async def _show_warnings(caller: Caller, sql: str, statement_class: StatementClass) -> Rows:
    return _WARNING_COLUMNS, ()


async def _empty(caller: Caller, sql: str, statement_class: StatementClass) -> None:
    return None


async def _unsupported(caller: Caller, sql: str, statement_class: StatementClass) -> None:
    raise bad_request(statement_class.detail)


def _variable_error(error: VariableError) -> CallerError:
    return CallerError(error.code, error.sqlstate, error.message)


LOCAL_ANSWERS: dict[Action, LocalAnswer] = {
    Action.SET: _set,
    Action.SELECT_LOCAL: _select,
    Action.SHOW_WARNINGS: _show_warnings,
    Action.USE: _use,
    Action.KILL: _kill,
    Action.EMPTY: _empty,
    Action.REFUSE: _unsupported,
}
"""The handlers of the statement classes that need no back end."""
