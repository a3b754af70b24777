"""Texts of statements on the wire, to and from typed statements."""

from bramblebeam.core.gateway.statements import Action, Statement
from bramblebeam.core.identity import ZERO_POSITION, Position

NO_POSITION = "-"


class StatementFormatError(ValueError):
    """A text that is no statement of the protocol."""


_PLAIN = {
    "BEGIN": Statement(Action.BEGIN),
    "BEGIN READ": Statement(Action.BEGIN_READ),
    "COMMIT": Statement(Action.COMMIT),
    "ROLLBACK": Statement(Action.ROLLBACK),
}
_PLAIN_TEXT = {statement.action: text for text, statement in _PLAIN.items()}
_PLAIN_TEXT[Action.RESET] = "RESET"
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
    """Return the statement of a caller's text. Raises StatementFormatError."""
    plain = _PLAIN.get(text)
    if plain is not None:
        return plain
    word, _, rest = text.partition(" ")
    if rest and word in _BODY_ACTIONS:
        return Statement(_BODY_ACTIONS[word], body=rest)
    name, _, body = rest.partition(" ")
    if name and word in _NAMED_ACTIONS:
        return Statement(_NAMED_ACTIONS[word], name, body)
    if name and word == "PREPARE":
        return _parse_prepare(name, body)
    raise StatementFormatError(f"{word[:20]} is no statement")


def _parse_prepare(name: str, body: str) -> Statement:
    kind, _, shape = body.partition(" ")
    action = _PREPARE_ACTIONS.get(kind)
    if action is None or not shape:
        raise StatementFormatError("PREPARE needs READ or WRITE and a shape")
    return Statement(action, name, shape)


def format_statement(statement: Statement) -> str:
    """Return the text of a statement."""
    plain = _PLAIN_TEXT.get(statement.action)
    if plain is not None:
        return plain
    return _TEMPLATES[statement.action].format(statement)


def parse_position(text: str) -> Position:
    """Return a log position; the zero position for none. Raises StatementFormatError."""
    if text == NO_POSITION:
        return ZERO_POSITION
    term, _, number = text.partition(".")
    # What int() takes beside digits (signs, blanks, underscores) is no part of a position.
    if not (term.isascii() and term.isdigit() and number.isascii() and number.isdigit()):
        raise StatementFormatError(f"{text[:40]} is no position")
    return Position(int(term), int(number))


def format_position(position: Position) -> str:
    """Return the text of a log position."""
    if position == ZERO_POSITION:
        return NO_POSITION
    return f"{position.term}.{position.offset}"
