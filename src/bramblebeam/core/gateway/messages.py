"""Messages between a node that took a statement and the node that serves its group."""

from typing import NamedTuple

from bramblebeam.core.gateway.replies import Reply
from bramblebeam.core.gateway.routes import Route
from bramblebeam.core.gateway.statements import Action, PreparedStatement, Statement
from bramblebeam.core.identity import ZERO_POSITION, Position
from bramblebeam.core.overload.load import NO_LOADS, DatabaseLoad
from bramblebeam.core.tenants import NO_TENANT, TenantId

NO_TRANSACTION = 0
NO_NUMBER = 0
JUST_OBSERVED = 0.0
"""Has a node of an earlier version count the session's position in full."""


class ForwardedStatement(NamedTuple):
    """One statement of a caller's session, with all that it needs of the session.

    `observed_position`: the latest that the session committed or read. `observed_age`: always
    JUST_OBSERVED; only nodes of an earlier version look at it. `time_left`: seconds until the
    statement's time is over.
    `transaction`: an unguessable number that the sender chose, or NO_TRANSACTION. `opens`: the
    transaction's first statement. `read_only`: it was begun as one that only reads. `tenant`: whose
    work it is, by the configuration in force at the sender. `forwarded_on`: the sender serves the
    group too, has counted the operation, and asks for it to be run beside a database of the region.
    `number`: chosen by the sender, by which it may withdraw the statement, or NO_NUMBER.
    """

    route: Route
    identifier: str
    statement: Statement
    prepared: PreparedStatement | None
    values: dict[str, str]
    observed_position: Position = ZERO_POSITION
    observed_age: float = JUST_OBSERVED
    time_left: float = 0.0
    transaction: int = NO_TRANSACTION
    opens: bool = False
    read_only: bool = False
    tenant: TenantId = NO_TENANT
    forwarded_on: bool = False
    number: int = NO_NUMBER


def runs_once_only(message: ForwardedStatement) -> bool:
    """Whether a statement without an answer may have been kept: a single write, or a COMMIT."""
    if message.transaction != NO_TRANSACTION:
        return message.statement.action is Action.COMMIT
    if message.prepared is not None:
        return message.prepared.writes
    return message.statement.action is Action.WRITE


class ForwardedReply(NamedTuple):
    """The whole answer. `declined`: nothing was done, another node is to be asked.

    `loads`: of the group's databases whose statements the answering node runs. `surely_not_run`: no
    database can have run any of it.
    """

    reply: Reply
    declined: bool = False
    loads: tuple[DatabaseLoad, ...] = NO_LOADS
    surely_not_run: bool = False


class StatementWithdrawn(NamedTuple):
    """Nobody waits for a forwarded statement's answer any more: its caller has left, or its time is
    over. What has not been sent to a database yet is not begun."""

    number: int


class TransactionAbandoned(NamedTuple):
    """The caller of a transaction is gone, or has rolled it back."""

    transaction: int
