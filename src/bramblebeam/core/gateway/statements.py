"""Typed statements of a caller's session, independent of the wire protocol."""

from enum import IntEnum
from typing import NamedTuple


class Action(IntEnum):
    """The kind of a statement."""

    BEGIN = 1
    BEGIN_READ = 2
    COMMIT = 3
    ROLLBACK = 4
    READ = 5
    WRITE = 6
    SET = 7
    PREPARE_READ = 8
    PREPARE_WRITE = 9
    EXECUTE = 10
    DEALLOCATE = 11
    RESET = 12


class Statement(NamedTuple):
    """One statement.

    `name`: of the value (SET) or of the prepared statement. `body`: the value, the prepared shape,
    the arguments of EXECUTE, or the operand of READ and WRITE. It is passed on unchanged.
    """

    action: Action
    name: str = ""
    body: str = ""


class PreparedStatement(NamedTuple):
    """A statement shape that a session prepared under a name that it chose."""

    shape: str
    writes: bool


BEGIN = Statement(Action.BEGIN)
BEGIN_READ = Statement(Action.BEGIN_READ)
ROLLBACK = Statement(Action.ROLLBACK)
COMMIT = Statement(Action.COMMIT)
RESET = Statement(Action.RESET)
