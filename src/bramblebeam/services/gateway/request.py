"""One statement under way, and what bounds it."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import Protocol

from bramblebeam.core.gateway.replies import Reply, TransactionState
from bramblebeam.core.gateway.routes import Route
from bramblebeam.core.gateway.state import ConnectionState, SessionState, shape_name
from bramblebeam.core.gateway.statements import Action, PreparedStatement, Statement
from bramblebeam.core.identity import ZERO_POSITION, GroupId, InstanceId, Position
from bramblebeam.core.overload.work import Work, WorkKind
from bramblebeam.core.quota.account import OperationAccount
from bramblebeam.core.tenants import TenantId
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import REQUEST_ATTEMPT_FAILED
from bramblebeam.services.gateway.metrics import GatewayMetrics
from bramblebeam.services.gateway.ports import Command
from bramblebeam.services.gateway.slot_queue import Permit
from bramblebeam.services.gateway.tenant_records import Outcome

logger = logging.getLogger(__name__)

_NEEDS_A_MOMENT = (Reason.QUEUE_FULL, Reason.REPLICA_BEHIND, Reason.TOO_MANY_CONNECTIONS)

HOLD_SHARE = 0.8
"""The part of a statement's time for which it may wait before it is refused as not run."""


class StatementSession(Protocol):
    """What a statement needs to know of its session, and what it adds to that."""

    tenant: TenantId
    """Whose work its statements are; another configuration may change that between operations."""
    state: SessionState
    observed: dict[GroupId, Position]
    """By group: another configuration may send a session's route to another one."""
    forwarded: bool
    returns_at: float | None
    """When a refused caller was told to come back (steady clock, seconds)."""
    forwarded_on: bool
    """Whether another node that serves the group passed the statement on to this one."""


@dataclass(slots=True)
class Request:
    """A READ, WRITE or EXECUTE of a session. `arrived`: steady clock, seconds.

    `floor`: of the last attempt. `refusal`: why the last attempt did not serve it. `no_slot`: why
    it may not wait at a database. `permit`: of the attempt at the leader or in a transaction.
    `at_database`: it was sent to one. `passed_on`: it was sent to another node. `withdrawn`: nobody
    waits for it. `account`: the counts of its tenant's operations that it has taken.
    `may_not_repeat`: its tenant's limit allows no further attempt.
    """

    session: StatementSession
    route: Route
    identifier: str
    statement: Statement
    prepared: PreparedStatement | None
    arrived: float
    metrics: GatewayMetrics
    floor: Position | None = None
    refusal: Refusal | None = None
    attempts: int = 0
    no_slot: Refusal | None = None
    permit: Permit | None = None
    at_database: bool = False
    passed_on: bool = False
    withdrawn: bool = False
    account: OperationAccount = field(default_factory=OperationAccount)
    may_not_repeat: bool = False

    @property
    def surely_not_run(self) -> bool:
        """Whether it has left this node for nowhere."""
        return not self.at_database and not self.passed_on

    @property
    def writes(self) -> bool:
        """Whether the statement may change something."""
        if self.prepared is not None:
            return self.prepared.writes
        return self.statement.action is Action.WRITE

    @property
    def tenant(self) -> TenantId:
        """Whose work the statement is."""
        return self.session.tenant

    @property
    def observed(self) -> Position:
        """The latest position that the session committed or read in the route's group."""
        return self.session.observed.get(self.route.group, ZERO_POSITION)

    def note_observed(self, reply: Reply) -> None:
        """Keep the position of a success: later reads of the session don't go behind it."""
        if reply.refusal is None:
            self.session.observed[self.route.group] = max(self.observed, reply.position)

    @property
    def must_pause(self) -> bool:
        """Whether the last attempt met a database that needs a moment."""
        return self.refusal is not None and self.refusal.reason in _NEEDS_A_MOMENT

    @property
    def deadline(self) -> float:
        """When the statement's time is over."""
        return self.arrived + self.route.timeout

    @property
    def hold_until(self) -> float:
        """Until when the statement may wait for a database that can run it."""
        if self.withdrawn or self.may_not_repeat:
            return self.arrived
        return self.arrived + self.route.timeout * HOLD_SHARE

    def note_sent(self) -> None:
        """Note that the operation goes to a database, perhaps once more."""
        self.account.charge()
        self.metrics.tenants.record(self.tenant, Outcome.SENT)

    def note_refused(self, refusal: Refusal) -> None:
        """Note a database's answer to an attempt: one that has not run pays for the next one."""
        if refusal.verdict is Verdict.NOT_RUN:
            self.account.record_not_run()

    def attempt_failed(self, instance: InstanceId, refusal: Refusal) -> None:
        """Note that a database did not serve the statement, and why."""
        self.refusal = refusal
        self.attempts += 1
        self.metrics.attempt_failed(refusal.reason.name.lower())
        floor = self.floor
        log_event(
            logger,
            REQUEST_ATTEMPT_FAILED,
            request=self.identifier,
            instance=instance,
            attempt=self.attempts,
            verdict=refusal.verdict.name.lower(),
            reason=refusal.reason.name.lower(),
            detail=refusal.detail,
            floor=str(floor) if floor is not None else None,
        )

    def no_slot_at(self, instance: InstanceId, refusal: Refusal) -> None:
        """Note that a database's queue did not take the statement: it can't begin in time there."""
        self.no_slot = refusal
        self.attempt_failed(instance, refusal)

    def leave_slot(self, served: bool = False) -> None:
        """Give the permit back, if there is one. `served`: the database served the statement."""
        if self.permit is not None:
            self.permit.end(served)
            self.permit = None

    def work(self, inside: bool = False) -> Work:
        """Return the statement as the decisions under load see it (`inside`: a transaction)."""
        action = self.statement.action
        if self.prepared is not None:
            action = Action.WRITE if self.prepared.writes else Action.READ
        return Work(
            WorkKind(self.route.name, action),
            self.tenant,
            self.route.priority,
            self.arrived,
            self.arrived + self.route.target,
            self.deadline,
            inside,
        )

    def command(self, floor: Position | None = None) -> Command:
        """Return the statement as a database gets it."""
        statement = self.statement
        if self.prepared is not None:
            statement = Statement(Action.EXECUTE, shape_name(self.prepared), statement.body)
        self.floor = floor
        self.at_database = True
        return Command(statement, self.identifier, floor, self.tenant)

    def preparation(self, state: ConnectionState, pinned: bool = False) -> list[Command]:
        """Return what must run on a connection first."""
        needed = state.preparation(self.session.state, self.prepared, pinned)
        return [Command(statement, tenant=self.tenant) for statement in needed]

    def give_up(self, reason: Reason, state: TransactionState = TransactionState.IDLE) -> Reply:
        """Return the final answer of a statement that has not run, for its last known reason."""
        refusal = self.refusal or Refusal(Verdict.NOT_RUN, reason)
        return Reply(refusal=refusal, state=state)
