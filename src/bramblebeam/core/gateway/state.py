"""The state of sessions and of database connections, and the way from one to the other.

Sessions share connections. Before a statement of a session runs on a connection, the connection
gets the session's values and, for a prepared statement, the shape under a name made from it.
"""

import hashlib
from dataclasses import dataclass, field

from bramblebeam.core.gateway.statements import RESET, Action, PreparedStatement, Statement

MAXIMUM_PREPARED = 64
"""Shapes kept prepared on one connection; beyond that it is reset before it is used again."""


@dataclass(slots=True)
class SessionState:
    """Values and prepared names that a caller's session has set."""

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)


NO_STATE = SessionState()
"""Of statements that no caller asked for."""


@dataclass(slots=True)
class ConnectionState:
    """Values and shapes that a database connection holds."""

    values: dict[str, str] = field(default_factory=dict)
    shapes: set[PreparedStatement] = field(default_factory=set)

    def distance(self, session: SessionState) -> int:
        """Return how many statements it takes to bring the connection to the session's values."""
        if self.values == session.values:
            return 0
        if self.values.keys() - session.values.keys():
            return 1 + len(session.values)
        return len(session.values.items() - self.values.items())

    def preparation(
        self, session: SessionState, prepared: PreparedStatement | None, pinned: bool
    ) -> list[Statement]:
        """Return the statements that must run first, and note them as run.

        `pinned`: the session's transaction is open here, so that nothing may be reset; the
        connection then holds no value that the session has not set.
        """
        statements: list[Statement] = []
        surplus = self.values.keys() - session.values.keys()
        if not pinned and (surplus or len(self.shapes) >= MAXIMUM_PREPARED):
            statements.append(RESET)
            self.values.clear()
            self.shapes.clear()
        for name, value in session.values.items():
            if self.values.get(name) != value:
                statements.append(Statement(Action.SET, name, value))
                self.values[name] = value
        if prepared is not None and prepared not in self.shapes:
            action = Action.PREPARE_WRITE if prepared.writes else Action.PREPARE_READ
            statements.append(Statement(action, shape_name(prepared), prepared.shape))
            self.shapes.add(prepared)
        return statements


def shape_name(prepared: PreparedStatement) -> str:
    """Return the name of a shape on database connections: the same for every session."""
    kind = "w" if prepared.writes else "r"
    digest = hashlib.blake2b(prepared.shape.encode(), digest_size=8).hexdigest()
    return f"{kind}{digest}"
