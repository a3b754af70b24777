"""Session state, and how a shared database connection is prepared with it.

Sessions share connections. Before a session's statement runs on a connection, the connection is
given the session's values and, for a prepared statement, its shape under a name derived from it.
"""

import hashlib
from dataclasses import dataclass, field

from bramblebeam.core.gateway.statements import RESET, Action, PreparedStatement, Statement

MAXIMUM_PREPARED = 64
"""Maximum shapes prepared on one connection; once reached, it is reset before its next use."""


@dataclass(slots=True)
class SessionState:
    """Values and prepared statements that a caller's session has set."""

    values: dict[str, str] = field(default_factory=dict)
    prepared: dict[str, PreparedStatement] = field(default_factory=dict)


NO_STATE = SessionState()
"""The state for the proxy's own statements, which belong to no caller's session."""


@dataclass(slots=True)
class ConnectionState:
    """Values and prepared shapes that are set on a database connection."""

    values: dict[str, str] = field(default_factory=dict)
    shapes: set[PreparedStatement] = field(default_factory=set)

    def distance(self, session: SessionState) -> int:
        """Return how many statements it takes to set the session's values on the connection."""
        if self.values == session.values:
            return 0
        if self.values.keys() - session.values.keys():
            return 1 + len(session.values)
        return len(session.values.items() - self.values.items())

    def preparation(
        self, session: SessionState, prepared: PreparedStatement | None, pinned: bool
    ) -> list[Statement]:
        """Return the statements that must run first, and record them as run.

        `pinned`: the session's transaction is open on this connection, so that it must not be
        reset; it then has no values other than the session's.
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
    """Return a shape's name on database connections, which is the same for every session."""
    kind = "w" if prepared.writes else "r"
    digest = hashlib.blake2b(prepared.shape.encode(), digest_size=8).hexdigest()
    return f"{kind}{digest}"
