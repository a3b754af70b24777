"""Messages between the node that accepted a statement and a node that serves its group."""

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
"""Makes a node of an earlier version apply the session's position in full."""


class ForwardedStatement(NamedTuple):
    """One statement of a caller's session, with the session state that it needs.

    `observed_position`: the latest that the session committed or read. `observed_age`: always
    JUST_OBSERVED; only nodes of an earlier version read it. `time_left`: seconds until the
    statement's deadline. `transaction`: an unguessable number that the sender chose, or
    NO_TRANSACTION. `opens`: whether this is the transaction's first statement. `read_only`: whether
    the transaction was begun as read-only. `tenant`: the tenant that the statement belongs to, by
    the configuration in force at the sender. `forwarded_on`: the sender serves the group too, has
    counted the operation, and asks the receiver to run it near a database of the region. `number`:
    chosen by the sender, which may withdraw the statement by it, or NO_NUMBER.
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
    """Whether an unanswered statement may have been committed: a single write, or a COMMIT."""
    if message.transaction != NO_TRANSACTION:
        return message.statement.action is Action.COMMIT
    if message.prepared is not None:
        return message.prepared.writes
    return message.statement.action is Action.WRITE


class ForwardedReply(NamedTuple):
    """The complete reply to a forwarded statement.

    `declined`: nothing was done; the sender should query another node. `loads`: of the group's
    databases whose statements the replying node runs. `surely_not_run`: no database can have run
    any part of it.
    """

    reply: Reply
    declined: bool = False
    loads: tuple[DatabaseLoad, ...] = NO_LOADS
    surely_not_run: bool = False


class StatementWithdrawn(NamedTuple):
    """The reply to a forwarded statement is no longer awaited.

    Its caller has left, or its deadline has passed. Parts that have not been sent to a database
    yet are not started.
    """

    number: int


class TransactionAbandoned(NamedTuple):
    """The caller of a transaction has disconnected or rolled it back."""

    transaction: int
