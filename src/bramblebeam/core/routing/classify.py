"""Statement classification. A statement that is not proven to be a read counts as a write.

sqlglot parses each statement shape once; the results are cached.
"""

import logging
import re
from dataclasses import dataclass
from enum import IntEnum

import sqlglot
from sqlglot import exp
from sqlglot.errors import SqlglotError

from bramblebeam.core.routing.functions import (
    CONNECTION_FUNCTIONS,
    LOCK_FUNCTIONS,
    READ_ONLY_FUNCTIONS,
    WORDS_BEFORE_PARENTHESIS,
)
from bramblebeam.core.routing.shape import shape_of

logging.getLogger("sqlglot").setLevel(logging.ERROR)

CACHE_CAPACITY = 20_000


class Action(IntEnum):
    """How the edge handles a statement."""

    READ = 1
    WRITE = 2
    BEGIN = 3
    COMMIT = 4
    ROLLBACK = 5
    SET = 6
    SELECT_LOCAL = 7
    """A SELECT of only session variables and functions; the edge answers it itself."""
    SHOW_WARNINGS = 8
    USE = 9
    KILL = 10
    EMPTY = 11
    REFUSE = 12


@dataclass(frozen=True, slots=True)
class StatementClass:
    """The class of a statement shape.

    `returns_rows`: a write that also reads, so that it must reflect the session's own writes.
    `implicit_commit`: commits an open transaction. `needs_connection`: uses state of the back-end
    connection, so that it runs only in a transaction. `detail`: why it is refused.
    """

    action: Action
    returns_rows: bool = False
    implicit_commit: bool = False
    needs_connection: bool = False
    detail: str = ""


_FUNCTION_CALL = re.compile(r"(\.\s*)?(`[^`]*`|[A-Za-z_][\w$]*)\s*\(")
_USER_VARIABLE = re.compile(r"(?<!@)@(?!@)[\w.$'\"`]")
_FIRST_KEYWORD = re.compile(r"[(\s]*([A-Za-z]+)")

_CLASS_BY_KEYWORD = {
    "": StatementClass(Action.EMPTY),
    "begin": StatementClass(Action.BEGIN),
    "set": StatementClass(Action.SET),
    "use": StatementClass(Action.USE),
    "kill": StatementClass(Action.KILL),
}
_WRITE = StatementClass(Action.WRITE)
_WRITE_WITH_ROWS = StatementClass(Action.WRITE, returns_rows=True)
_IMPLICIT_COMMIT = StatementClass(Action.WRITE, implicit_commit=True)
_READ = StatementClass(Action.READ)
_IMPLICIT_COMMIT_KEYWORDS = frozenset(
    {
        "alter",
        "analyze",
        "check",
        "create",
        "drop",
        "grant",
        "optimize",
        "rename",
        "repair",
        "revoke",
        "truncate",
    }
)
_QUERY_KEYWORDS = frozenset({"select", "with", "explain", "describe", "desc", "table", "values"})
_REFUSED_KEYWORDS = {
    "lock": "LOCK TABLES needs a connection of its own",
    "unlock": "UNLOCK TABLES needs a connection of its own",
    "prepare": "use the protocol's prepared statements",
    "execute": "use the protocol's prepared statements",
    "deallocate": "use the protocol's prepared statements",
    "handler": "HANDLER needs a connection of its own",
    "xa": "distributed transactions are not supported",
    "load": "LOAD DATA is not supported",
    "reset": "administration of a back end goes through the administration API",
    "change": "administration of a back end goes through the administration API",
    "shutdown": "administration of a back end goes through the administration API",
}


class Classifier:
    """Classifies statements and caches the class of each shape."""

    def __init__(self) -> None:
        self._cache: dict[str, StatementClass] = {}

    def classify(self, sql: str) -> StatementClass:
        """Return the statement's class."""
        shape = shape_of(sql)
        cached = self._cache.get(shape)
        if cached is None:
            cached = classify_shape(shape)
            if len(self._cache) >= CACHE_CAPACITY:
                self._cache.clear()
            self._cache[shape] = cached
        return cached


def classify_shape(shape: str) -> StatementClass:
    """Return the class of a statement shape."""
    if ";" in shape:
        return _refuse("one statement at a time")
    match = _FIRST_KEYWORD.match(shape)
    keyword = match[1].lower() if match else ""
    if keyword in _REFUSED_KEYWORDS:
        return _refuse(_REFUSED_KEYWORDS[keyword])
    lowered = shape.lower()
    refusal = _connection_state_refusal(lowered)
    if refusal:
        return _refuse(refusal)
    if not match and shape:
        return _WRITE_WITH_ROWS
    return _classify_keyword(keyword, lowered, shape)


def _classify_keyword(keyword: str, lowered: str, shape: str) -> StatementClass:
    if keyword in _CLASS_BY_KEYWORD:
        return _CLASS_BY_KEYWORD[keyword]
    if keyword in _IMPLICIT_COMMIT_KEYWORDS:
        return _IMPLICIT_COMMIT
    if keyword in _QUERY_KEYWORDS:
        return _classify_query(shape)
    classifier = _KEYWORD_CLASSIFIERS.get(keyword)
    if classifier is not None:
        return classifier(lowered)
    return StatementClass(Action.WRITE, needs_connection=_needs_connection(lowered))


def _classify_start(lowered: str) -> StatementClass:
    return StatementClass(Action.BEGIN) if "transaction" in lowered else _WRITE


def _classify_commit(lowered: str) -> StatementClass:
    if "chain" in lowered or "release" in lowered:
        return _refuse("COMMIT takes no CHAIN and no RELEASE")
    return StatementClass(Action.COMMIT)


def _classify_rollback(lowered: str) -> StatementClass:
    if "chain" in lowered or "release" in lowered:
        return _refuse("ROLLBACK takes no CHAIN and no RELEASE")
    if re.match(r"rollback\s+(work\s+)?to\b", lowered):
        return _WRITE
    return StatementClass(Action.ROLLBACK)


def _classify_show(lowered: str) -> StatementClass:
    if re.match(r"show\s+(warnings|errors)", lowered):
        return StatementClass(Action.SHOW_WARNINGS)
    return _READ


_KEYWORD_CLASSIFIERS = {
    "start": _classify_start,
    "commit": _classify_commit,
    "rollback": _classify_rollback,
    "show": _classify_show,
}


def _refuse(detail: str) -> StatementClass:
    return StatementClass(Action.REFUSE, detail=detail)


def _connection_state_refusal(lowered: str) -> str:
    """Return why the statement is refused if it would leave state on the connection, or empty."""
    if re.match(r"(create|drop)\s+temporary\b", lowered):
        return "temporary tables need a connection of their own"
    names = {match[2] for match in _FUNCTION_CALL.finditer(lowered)}
    if names & LOCK_FUNCTIONS:
        return "named locks need a connection of their own"
    return ""


def _needs_connection(lowered: str) -> bool:
    if _USER_VARIABLE.search(lowered):
        return True
    names = {match[2] for match in _FUNCTION_CALL.finditer(lowered)}
    return bool(names & CONNECTION_FUNCTIONS)


def _classify_query(shape: str) -> StatementClass:
    lowered = shape.lower()
    if any(mark in shape for mark in ("'", '"', "/*")):
        return _WRITE_WITH_ROWS
    try:
        statements = sqlglot.parse(shape, read="mysql")
    except (SqlglotError, RecursionError):
        return _unproven_read(lowered)
    if len(statements) != 1 or statements[0] is None:
        return _unproven_read(lowered)
    root = statements[0]
    if isinstance(root, exp.Select) and is_local_select(root):
        return StatementClass(Action.SELECT_LOCAL)
    if _is_query(root) and _only_reads(root, lowered):
        return _READ
    return _unproven_read(lowered)


def _unproven_read(lowered: str) -> StatementClass:
    return StatementClass(
        Action.WRITE, returns_rows=True, needs_connection=_needs_connection(lowered)
    )


def _is_query(root: exp.Expr) -> bool:
    if isinstance(root, exp.Describe):
        style = root.args.get("style")
        return style is None and isinstance(root.this, exp.Query | exp.Table)
    return isinstance(root, exp.Query)


def _only_reads(root: exp.Expr, lowered: str) -> bool:
    forbidden = (
        exp.Lock,
        exp.Into,
        exp.Parameter,
        exp.SessionParameter,
        exp.DML,
        exp.DDL,
        exp.Command,
        exp.PropertyEQ,
    )
    for node in root.walk():
        if isinstance(node, forbidden) and not isinstance(node, exp.Query):
            return False
    return all(_is_read_only_call(match) for match in _FUNCTION_CALL.finditer(lowered))


def _is_read_only_call(match: re.Match[str]) -> bool:
    if match[1] or match[2].startswith("`"):
        return False
    return match[2] in READ_ONLY_FUNCTIONS or match[2] in WORDS_BEFORE_PARENTHESIS


_LOCAL_FUNCTIONS = frozenset(
    {"last_insert_id", "row_count", "connection_id", "database", "user", "version"}
)


def is_local_select(root: exp.Select) -> bool:
    """Whether the SELECT reads only session variables and functions, without a table."""
    allowed = {"expressions", "limit", "kind", "hint"}
    if any(value for name, value in root.args.items() if name not in allowed):
        return False
    return bool(root.expressions) and all(_is_local(item) for item in root.expressions)


def _is_local(item: exp.Expr) -> bool:
    if isinstance(item, exp.Alias):
        item = item.this
    if isinstance(item, exp.SessionParameter):
        return True
    return local_function(item) in _LOCAL_FUNCTIONS


def local_function(item: exp.Expr) -> str:
    """Return the lower-case name of a function called without arguments, or empty."""
    if isinstance(item, exp.Anonymous):
        return "" if item.expressions else str(item.this).lower()
    if isinstance(item, exp.CurrentVersion):
        return "version"
    if isinstance(item, exp.CurrentSchema):
        return "database"
    if isinstance(item, exp.CurrentUser):
        return "user"
    return ""
