"""Translates MySQL statements to SQLite.

Literals are first replaced by parameters, so that statements that differ only in literals share
one cached translation and hit SQLite's prepared statement cache.
"""

import re
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

import sqlglot
from sqlglot import exp
from sqlglot.errors import ErrorLevel, SqlglotError

from bramblebeam.edges.mysql.results import CallerError

TRANSLATION_CACHE = 4_096
SYNTAX_ERROR = 1064
PARAMETER_PREFIX = "p"

_TOKEN = re.compile(
    r"""(?P<hex>(?<!\w)[xX]'[0-9a-fA-F]*'|\b0x[0-9a-fA-F]+\b)
    |(?P<text>'(?:[^'\\]|\\.|'')*'|"(?:[^"\\]|\\.|"")*")
    |(?P<name>`[^`]*`)
    |(?P<comment>/\*.*?\*/|--[ \t][^\n]*|\#[^\n]*)
    |(?P<number>(?<![\w.@])\d+(?:\.\d+)?(?:[eE][+-]?\d+)?\b)""",
    re.VERBOSE | re.DOTALL,
)
_ESCAPE = {quote: re.compile(rf"\\(.)|{quote}{quote}", re.DOTALL) for quote in "'\""}
_ESCAPES = {"n": "\n", "t": "\t", "r": "\r", "0": "\0", "b": "\b", "Z": "\x1a"}
_PARAMETERS_ALLOWED = re.compile(r"\s*(?:SELECT|INSERT|UPDATE|DELETE|REPLACE|WITH)\b", re.I)
_KEEPS_NUMBERS = re.compile(r"\b(?:INTERVAL|(?:ORDER|GROUP)\s+BY\s+\d)", re.I)
_CLAUSE = re.compile(r"\b(?:FROM|VALUES|SET|WHERE)\b", re.I)
_CURRENT_TIMESTAMP = re.compile(r"\bCURRENT_TIMESTAMP(?:\(\d*\))?", re.I)
_ON_DUPLICATE = "ON DUPLICATE KEY UPDATE SET"
_VALUES_OF = re.compile(r"\bVALUES\((\w+)\)", re.I)
_SQLITE_FUNCTIONS: dict[type, str] = {
    exp.Rand: "RAND",
    exp.CurrentSchema: "DATABASE",
    exp.CurrentUser: "CURRENT_USER",
}


@dataclass(frozen=True, slots=True)
class Shape:
    """A statement without comments and with its literals replaced by named parameters.

    Parameters are named because a translation can reorder them: `LIMIT 5, 6` becomes
    `LIMIT 6 OFFSET 5`.
    """

    text: str
    parameters: tuple[Any, ...]

    def named(self) -> dict[str, Any]:
        """Return the literals by parameter name."""
        return {
            f"{PARAMETER_PREFIX}{number}": value for number, value in enumerate(self.parameters, 1)
        }


@dataclass(frozen=True, slots=True)
class Translation:
    """The SQLite statement. `table` is the target of an INSERT or REPLACE, else empty."""

    sql: str
    table: str = ""


def shape_of(sql: str) -> Shape:
    """Replace literals by parameters and remove comments.

    Literals before the first FROM, VALUES, SET or WHERE stay, because they name result columns.
    """
    if not _PARAMETERS_ALLOWED.match(sql):
        return Shape(_TOKEN.sub(_without_comment, sql), ())
    first = _CLAUSE.search(sql)
    start = first.start() if first is not None else len(sql)
    keep_numbers = _KEEPS_NUMBERS.search(sql) is not None
    parameters: list[Any] = []

    def replace(match: re.Match[str]) -> str:
        kind = match.lastgroup
        if kind == "comment":
            return " "
        if kind == "name" or match.start() < start or (kind == "number" and keep_numbers):
            return match.group()
        parameters.append(_value(kind, match.group()))
        return f":{PARAMETER_PREFIX}{len(parameters)}"

    return Shape(_TOKEN.sub(replace, sql), tuple(parameters))


def _without_comment(match: re.Match[str]) -> str:
    return " " if match.lastgroup == "comment" else match.group()


def _value(kind: str | None, text: str) -> Any:
    if kind == "text":
        return _ESCAPE[text[0]].sub(_unescape, text[1:-1])
    if kind == "hex":
        digits = text[2:].rstrip("'")
        return bytes.fromhex(digits.rjust(len(digits) + len(digits) % 2, "0"))
    if text.isdigit():
        return int(text)
    return float(text)


def _unescape(match: re.Match[str]) -> str:
    character = match.group(1)
    if character is None:
        return match.group()[0]
    return _ESCAPES.get(character, character)


@lru_cache(TRANSLATION_CACHE)
def translate(text: str) -> Translation:
    """Translate the text of a shape to SQLite. Raises CallerError 1064."""
    try:
        parsed = sqlglot.parse(text, read="mysql", error_level=ErrorLevel.RAISE)
    except (SqlglotError, RecursionError) as error:
        text = f"You have an error in your SQL syntax: {error}"
        raise CallerError(SYNTAX_ERROR, "42000", text) from error
    if len(parsed) != 1 or parsed[0] is None:
        raise CallerError(SYNTAX_ERROR, "42000", "Expected exactly one statement")
    tree = parsed[0]
    if isinstance(tree, exp.Command):
        return Translation(text, _replace_target(text))
    table = tree.find(exp.Table) if isinstance(tree, exp.Insert) else None
    tree = _rewrite(tree)
    sql = tree.sql(dialect="sqlite", unsupported_level=ErrorLevel.IGNORE)
    sql = _CURRENT_TIMESTAMP.sub("(NOW())", sql)
    head, separator, tail = sql.partition(_ON_DUPLICATE)
    if separator:
        sql = f"{head}ON CONFLICT DO UPDATE SET" + _VALUES_OF.sub(r"excluded.\1", tail)
    return Translation(sql, table.name if table is not None else "")


def _replace_target(text: str) -> str:
    match = re.match(r"\s*REPLACE\s+(?:INTO\s+)?[`\"]?(\w+)", text, re.I)
    return match.group(1) if match else ""


def _rewrite(tree: Any) -> Any:
    """Rewrite constructs that SQLite lacks and sqlglot does not translate."""
    if isinstance(tree, exp.TruncateTable):
        return exp.delete(tree.expressions[0].name)
    for table in tree.find_all(exp.Table):
        table.set("db", None)
    if isinstance(tree, exp.Update | exp.Delete) and tree.args.get("limit"):
        _limit_by_rowid(tree)
    if isinstance(tree, exp.Create):
        _drop_index_clauses(tree)
    return tree.transform(_rename_function)


def _rename_function(node: Any) -> Any:
    name = _SQLITE_FUNCTIONS.get(type(node))
    return exp.Anonymous(this=name) if name else node


def _limit_by_rowid(tree: Any) -> None:
    chosen = exp.select("rowid").from_(tree.this.copy())
    for part in ("where", "order", "limit"):
        if tree.args.get(part):
            chosen.set(part, tree.args[part].copy())
            tree.set(part, None)
    condition = exp.In(this=exp.column("rowid"), query=exp.Subquery(this=chosen))
    tree.set("where", exp.Where(this=condition))


def _drop_index_clauses(tree: exp.Create) -> None:
    schema = tree.this
    if not isinstance(schema, exp.Schema):
        return
    kept = []
    for part in schema.expressions:
        if isinstance(part, exp.IndexColumnConstraint):
            continue
        if isinstance(part, exp.UniqueColumnConstraint) and isinstance(part.this, exp.Schema):
            part.this.set("this", None)
        kept.append(part)
    schema.set("expressions", kept)
