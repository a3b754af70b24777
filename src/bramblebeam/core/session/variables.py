"""Session variables that the edge reads and sets itself, without a back end."""

import re
from dataclasses import dataclass
from typing import NamedTuple

import sqlglot
from expression import Error, Ok, Result
from sqlglot import exp

from bramblebeam.core.session.session import Session
from bramblebeam.core.session.token import decode_token

SERVER_VERSION = "8.0.36-bramblebeam"
MAXIMUM_SESSION_NAME_LENGTH = 128
LONG_LONG = 8
VARCHAR = 253

_FIXED_VARIABLES: dict[str, str | int] = {
    "auto_increment_increment": 1,
    "character_set_client": "utf8mb4",
    "character_set_connection": "utf8mb4",
    "character_set_results": "utf8mb4",
    "character_set_server": "utf8mb4",
    "character_set_database": "utf8mb4",
    "collation_connection": "utf8mb4_general_ci",
    "collation_database": "utf8mb4_general_ci",
    "collation_server": "utf8mb4_general_ci",
    "init_connect": "",
    "interactive_timeout": 28_800,
    "license": "Apache-2.0",
    "lower_case_table_names": 0,
    "max_allowed_packet": 16_777_216,
    "net_buffer_length": 16_384,
    "net_read_timeout": 30,
    "net_write_timeout": 60,
    "performance_schema": 0,
    "read_only": 0,
    "session_track_schema": 1,
    "sql_mode": "ONLY_FULL_GROUP_BY,STRICT_TRANS_TABLES,NO_ZERO_IN_DATE,NO_ZERO_DATE,"
    "ERROR_FOR_DIVISION_BY_ZERO,NO_ENGINE_SUBSTITUTION",
    "system_time_zone": "UTC",
    "time_zone": "SYSTEM",
    "transaction_isolation": "REPEATABLE-READ",
    "transaction_read_only": 0,
    "tx_isolation": "REPEATABLE-READ",
    "tx_read_only": 0,
    "version": SERVER_VERSION,
    "version_comment": "bramblebeam",
    "wait_timeout": 28_800,
    "warning_count": 0,
    "error_count": 0,
}
_IGNORED_SETTINGS = frozenset(
    {
        "character_set_client",
        "character_set_connection",
        "character_set_results",
        "collation_connection",
        "interactive_timeout",
        "net_read_timeout",
        "net_write_timeout",
        "wait_timeout",
    }
)
"""Settings of the caller's connection only, accepted and ignored: they change no result."""


class Variable(NamedTuple):
    """A column of a SELECT that the edge answers."""

    name: str
    type_code: int
    value: str | int | None


@dataclass(frozen=True, slots=True)
class Connection:
    """The properties of the caller's connection that session functions return."""

    connection_id: int
    user: str
    remote: str
    node: str


@dataclass(frozen=True, slots=True)
class VariableError:
    """The MySQL error for a SET or SELECT of variables that cannot be carried out."""

    code: int
    sqlstate: str
    message: str


@dataclass(frozen=True, slots=True)
class Settings:
    """The changes requested by one SET statement. `autocommit` None: it is not set."""

    autocommit: bool | None = None


UNKNOWN_VARIABLE = 1193
WRONG_VALUE = 1231
NOT_SUPPORTED = 1235

_SET = re.compile(r"^(?:\s|/\*.*?\*/)*set\b", re.I | re.S)
_SET_NAMES = re.compile(
    r"\s*(names|character\s+set|charset)\s+['\"]?(\w+)['\"]?(\s+collate\s+\S+)?", re.I
)
_SET_ITEM = re.compile(
    r"""\s*(?:@@)?(?:(?:session|local)(?:\.|\s+))?(?P<name>[a-z_]\w*)\s*:?=\s*
        (?P<value>'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*"|[\w.+:-]+)\s*(?:,|$)""",
    re.I | re.X,
)
_ISOLATION = re.compile(
    r"\s*(?:session\s+)?transaction\s+isolation\s+level\s+repeatable\s+read\s*$", re.I
)
_TRUE = frozenset({"1", "on", "true"})
_FALSE = frozenset({"0", "off", "false"})
_UTF8 = frozenset({"utf8", "utf8mb3", "utf8mb4", "default"})


def apply_set(session: Session, sql: str) -> Result[Settings, VariableError]:
    """Carry out a SET statement, except for a change of autocommit, which is only returned."""
    body = _SET.sub("", sql.strip().rstrip("; \n\t"), count=1)
    names = _SET_NAMES.fullmatch(body)
    if names is not None:
        return _set_names(names[2])
    if _ISOLATION.match(body):
        return Ok(Settings())
    settings = Settings()
    position = 0
    while position < len(body):
        item = _SET_ITEM.match(body, position)
        if item is None:
            return Error(VariableError(NOT_SUPPORTED, "42000", f"SET{body[:80]} is not supported"))
        position = item.end()
        result = _set_one(session, item["name"].lower(), _unquoted(item["value"]))
        if result.is_error():
            return result
        if result.ok.autocommit is not None:
            settings = result.ok
    return Ok(settings)


def _set_names(charset: str) -> Result[Settings, VariableError]:
    if charset.lower() in _UTF8:
        return Ok(Settings())
    return Error(VariableError(1115, "42000", f"character set {charset} is not supported"))


def _set_one(session: Session, name: str, value: str) -> Result[Settings, VariableError]:
    if name == "autocommit":
        return _set_autocommit(value)
    if name == "bramblebeam_token":
        return _set_token(session, value)
    if name == "bramblebeam_session":
        return _set_session(session, value)
    if name in _IGNORED_SETTINGS or str(_FIXED_VARIABLES.get(name)).lower() == value.lower():
        return Ok(Settings())
    if name in _FIXED_VARIABLES:
        message = f"variable {name} cannot be changed through the proxy"
        return Error(VariableError(NOT_SUPPORTED, "42000", message))
    return Error(VariableError(UNKNOWN_VARIABLE, "HY000", f"unknown system variable '{name}'"))


def _set_autocommit(value: str) -> Result[Settings, VariableError]:
    lowered = value.lower()
    if lowered in _TRUE or lowered in _FALSE:
        return Ok(Settings(autocommit=lowered in _TRUE))
    return Error(VariableError(WRONG_VALUE, "42000", f"autocommit cannot be '{value}'"))


def _set_token(session: Session, value: str) -> Result[Settings, VariableError]:
    match decode_token(value):
        case Result(tag="ok", ok=token):
            session.adopt_token(token)
            return Ok(Settings())
        case Result(error=detail):
            return Error(VariableError(WRONG_VALUE, "42000", f"bramblebeam_token: {detail}"))


def _set_session(session: Session, value: str) -> Result[Settings, VariableError]:
    if len(value) > MAXIMUM_SESSION_NAME_LENGTH:
        message = f"bramblebeam_session is longer than {MAXIMUM_SESSION_NAME_LENGTH} characters"
        return Error(VariableError(WRONG_VALUE, "42000", message))
    session.roaming_name = value
    return Ok(Settings())


def _unquoted(value: str) -> str:
    if value[:1] in "'\"":
        return value[1:-1]
    return value


def select_local(
    session: Session, connection: Connection, sql: str
) -> Result[list[Variable], VariableError]:
    """Return the columns of a SELECT that has only session variables and functions."""
    root = sqlglot.parse_one(sql, read="mysql")
    columns = []
    for item in root.expressions:
        inner = item.this if isinstance(item, exp.Alias) else item
        column = _evaluate(session, connection, inner)
        if column is None:
            message = f"unknown system variable '{inner.name}'"
            return Error(VariableError(UNKNOWN_VARIABLE, "HY000", message))
        if isinstance(item, exp.Alias):
            column = column._replace(name=item.alias)
        columns.append(column)
    return Ok(columns)


def _evaluate(session: Session, connection: Connection, item: exp.Expr) -> Variable | None:
    if isinstance(item, exp.SessionParameter):
        kind = item.args.get("kind")
        prefix = f"@@{kind}." if kind else "@@"
        value = _variable(session, connection, item.name.lower())
        return None if value is None else _typed(prefix + item.name, value)
    return _function(session, connection, item)


def _variable(session: Session, connection: Connection, name: str) -> str | int | None:
    match name:
        case "autocommit":
            return int(session.autocommit)
        case "bramblebeam_token":
            return session.token.encode()
        case "bramblebeam_session":
            return session.roaming_name
        case "bramblebeam_node":
            return connection.node
        case "last_insert_id" | "identity":
            return session.last_insert_id
    return _FIXED_VARIABLES.get(name)


def _function(session: Session, connection: Connection, item: exp.Expr) -> Variable | None:
    if isinstance(item, exp.CurrentVersion):
        return _typed("version()", SERVER_VERSION)
    if isinstance(item, exp.CurrentSchema):
        return Variable("database()", VARCHAR, session.group or None)
    if isinstance(item, exp.CurrentUser):
        return _typed("user()", f"{connection.user}@{connection.remote}")
    values: dict[str, str | int] = {
        "last_insert_id": session.last_insert_id,
        "row_count": session.affected_rows,
        "connection_id": connection.connection_id,
        "database": session.group,
        "user": f"{connection.user}@{connection.remote}",
        "version": SERVER_VERSION,
    }
    name = str(item.this).lower()
    return _typed(f"{name}()", values[name]) if name in values else None


def _typed(name: str, value: str | int) -> Variable:
    return Variable(name, LONG_LONG if isinstance(value, int) else VARCHAR, value)
