"""A statement in flight, and the bounds that apply to it."""

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

_BACK_OFF_REASONS = (Reason.QUEUE_FULL, Reason.REPLICA_BEHIND, Reason.TOO_MANY_CONNECTIONS)

HOLD_SHARE = 0.8
"""The share of a statement's timeout that it may wait before it is refused as not run."""


class StatementSession(Protocol):
    """What a statement needs to know of its session, and what it updates there."""

    tenant: TenantId
    """The tenant of its statements; a configuration change may replace it between operations."""
    state: SessionState
    observed: dict[GroupId, Position]
    """By group: a configuration change may move the session's route to another group."""
    forwarded: bool
    retry_at: float | None
    """When a refused caller was advised to retry (monotonic clock, seconds)."""
    forwarded_on: bool
    """Whether another node that serves the group forwarded the statement on to this one."""


@dataclass(slots=True)
class Request:
    """A READ, WRITE or EXECUTE of a session. `arrived`: monotonic clock, seconds.

    `floor`: of the last attempt. `refusal`: why the last attempt did not serve it. `no_slot`: why
    it may not wait at a database. `permit`: of the attempt at the leader or in a transaction.
    `at_database`: it was sent to a database. `passed_on`: it was sent to another node. `withdrawn`:
    no caller waits for it. `account`: the counts of its tenant's operations that it has taken.
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
    def writes(self) -> bool:
        """Whether the statement may write."""
        if self.prepared is not None:
            return self.prepared.writes
        return self.statement.action is Action.WRITE

    @property
    def tenant(self) -> TenantId:
        """The tenant of the statement."""
        return self.session.tenant

    @property
    def observed(self) -> Position:
        """The latest position that the session committed or read in the route's group."""
        return self.session.observed.get(self.route.group, ZERO_POSITION)

    def record_observed(self, reply: Reply) -> None:
        """Record the position of a successful reply; later reads of the session must reflect it."""
        if reply.refusal is None:
            self.session.observed[self.route.group] = max(self.observed, reply.position)

    @property
    def must_back_off(self) -> bool:
        """Whether the last attempt failed for a reason that calls for a pause before the next."""
        return self.refusal is not None and self.refusal.reason in _BACK_OFF_REASONS

    @property
    def deadline(self) -> float:
        """When the statement times out."""
        return self.arrived + self.route.timeout

    @property
    def hold_until(self) -> float:
        """Until when the statement may wait for a database that can run it."""
        if self.withdrawn or self.may_not_repeat:
            return self.arrived
        return self.arrived + self.route.timeout * HOLD_SHARE

    def record_sent(self) -> None:
        """Record that the operation is sent to a database, perhaps again."""
        self.account.charge()
        self.metrics.tenants.record(self.tenant, Outcome.SENT)

    def record_refused(self, refusal: Refusal) -> None:
        """Record a database's refusal; if the attempt has not run, its count covers the next."""
        if refusal.verdict is Verdict.NOT_RUN:
            self.account.record_not_run()

    def record_failed_attempt(self, instance: InstanceId, refusal: Refusal) -> None:
        """Record and log that a database did not serve the statement, and why."""
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

    def record_no_slot(self, instance: InstanceId, refusal: Refusal) -> None:
        """Record that a database's queue refused the statement: it can't begin there in time."""
        self.no_slot = refusal
        self.record_failed_attempt(instance, refusal)

    def release_permit(self, served: bool = False) -> None:
        """Release the permit, if there is one. `served`: the database served the statement."""
        if self.permit is not None:
            self.permit.release(served)
            self.permit = None

    def work(self, in_transaction: bool = False) -> Work:
        """Return the statement as the scheduler sees it (`in_transaction`: it is part of one)."""
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
            in_transaction,
        )

    def command(self, floor: Position | None = None) -> Command:
        """Return the statement as it is sent to a database."""
        statement = self.statement
        if self.prepared is not None:
            statement = Statement(Action.EXECUTE, shape_name(self.prepared), statement.body)
        self.floor = floor
        self.at_database = True
        return Command(statement, self.identifier, floor, self.tenant)

    def preparation(self, state: ConnectionState, pinned: bool = False) -> list[Command]:
        """Return the commands that must run on a connection first."""
        needed = state.preparation(self.session.state, self.prepared, pinned)
        return [Command(statement, tenant=self.tenant) for statement in needed]

    def give_up(self, reason: Reason, state: TransactionState = TransactionState.IDLE) -> Reply:
        """Return the final reply of a statement that has not run, with the last known reason."""
        refusal = self.refusal or Refusal(Verdict.NOT_RUN, reason)
        return Reply(refusal=refusal, state=state)
