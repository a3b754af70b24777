"""Parses and formats statements and log positions of the line protocol."""

from bramblebeam.core.gateway.statements import Action, Statement
from bramblebeam.core.identity import ZERO_POSITION, Position
from bramblebeam.platform.fields import MAX_DECIMAL_DIGITS

NO_POSITION = "-"


class StatementFormatError(ValueError):
    """A text is not a statement or log position of the protocol."""


_FIXED_STATEMENTS = {
    "BEGIN": Statement(Action.BEGIN),
    "BEGIN READ": Statement(Action.BEGIN_READ),
    "COMMIT": Statement(Action.COMMIT),
    "ROLLBACK": Statement(Action.ROLLBACK),
}
_FIXED_TEXTS = {statement.action: text for text, statement in _FIXED_STATEMENTS.items()}
_FIXED_TEXTS[Action.RESET] = "RESET"
_PREPARE_ACTIONS = {"READ": Action.PREPARE_READ, "WRITE": Action.PREPARE_WRITE}
_BODY_ACTIONS = {"READ": Action.READ, "WRITE": Action.WRITE}
_NAMED_ACTIONS = {"SET": Action.SET, "EXEC": Action.EXECUTE, "DEALLOC": Action.DEALLOCATE}
_TEMPLATES = {
    Action.READ: "READ {0.body}",
    Action.WRITE: "WRITE {0.body}",
    Action.SET: "SET {0.name} {0.body}",
    Action.EXECUTE: "EXEC {0.name} {0.body}",
    Action.PREPARE_READ: "PREPARE {0.name} READ {0.body}",
    Action.PREPARE_WRITE: "PREPARE {0.name} WRITE {0.body}",
    Action.DEALLOCATE: "DEALLOC {0.name}",
}


def parse_statement(text: str) -> Statement:
    """Parse a caller's statement. Raises StatementFormatError."""
    fixed = _FIXED_STATEMENTS.get(text)
    if fixed is not None:
        return fixed
    word, _, rest = text.partition(" ")
    if rest and word in _BODY_ACTIONS:
        return Statement(_BODY_ACTIONS[word], body=rest)
    name, _, body = rest.partition(" ")
    if name and word in _NAMED_ACTIONS:
        return Statement(_NAMED_ACTIONS[word], name, body)
    if name and word == "PREPARE":
        return _parse_prepare(name, body)
    raise StatementFormatError(f"{word[:20]} is not a statement")


def _parse_prepare(name: str, body: str) -> Statement:
    kind, _, shape = body.partition(" ")
    action = _PREPARE_ACTIONS.get(kind)
    if action is None or not shape:
        raise StatementFormatError("PREPARE requires READ or WRITE and a shape")
    return Statement(action, name, shape)


def format_statement(statement: Statement) -> str:
    """Return a statement's text on the wire."""
    fixed = _FIXED_TEXTS.get(statement.action)
    if fixed is not None:
        return fixed
    return _TEMPLATES[statement.action].format(statement)


def parse_position(text: str) -> Position:
    """Parse a log position; NO_POSITION is the zero position. Raises StatementFormatError."""
    if text == NO_POSITION:
        return ZERO_POSITION
    term, _, number = text.partition(".")
    # int() also accepts signs, blanks and underscores, which a position may not hold.
    is_valid = term.isascii() and term.isdigit() and number.isascii() and number.isdigit()
    if not is_valid or len(term) > MAX_DECIMAL_DIGITS or len(number) > MAX_DECIMAL_DIGITS:
        raise StatementFormatError(f"{text[:40]} is not a log position")
    return Position(int(term), int(number))


def format_position(position: Position) -> str:
    """Return a log position's text on the wire."""
    if position == ZERO_POSITION:
        return NO_POSITION
    return f"{position.term}.{position.offset}"
