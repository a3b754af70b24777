"""Decides whether an instance's reported status allows a statement to run there now."""

from dataclasses import dataclass
from enum import Enum

from bramblebeam.core.identity import Position
from bramblebeam.core.role import Role
from bramblebeam.core.statement import ExecuteRequest, InstanceStatus, StatementKind
from bramblebeam.core.verdict import Reason, Refusal, Verdict

UNREACHABLE_RETRY_MS = 200
BEHIND_RETRY_MS = 50
LEAVING_RETRY_MS = 50
NO_PRIMARY_RETRY_MS = 100


class Admission(Enum):
    """The statement may run now."""

    RUN = "run"


@dataclass(frozen=True, slots=True)
class Deferred:
    """The statement may not run yet, but a later status may allow it.

    `refusal` is returned to the caller if no status allows the statement in time. With
    `next_status_only`, only the next status is worth waiting for; later ones can't help.
    """

    refusal: Refusal
    next_status_only: bool = False


def not_run(reason: Reason, detail: str, retry_after_ms: int = 0) -> Refusal:
    """Return a refusal for a statement that did not run."""
    return Refusal(Verdict.NOT_RUN, reason, detail, retry_after_ms)


def admit(
    request: ExecuteRequest, status: InstanceStatus | None, age: float, drained: bool
) -> Admission | Deferred | Refusal:
    """Check a request that begins new work against a status that was requested `age` seconds ago.

    `drained`: the configuration excludes the instance from new work.
    """
    if status is None or not status.reachable:
        detail = f"back end {request.instance} is unreachable"
        return not_run(Reason.UNREACHABLE, detail, UNREACHABLE_RETRY_MS)
    if status.leaving or drained:
        detail = f"back end {request.instance} is leaving"
        return not_run(Reason.LEAVING, detail, LEAVING_RETRY_MS)
    if request.kind is StatementKind.READ:
        return _admit_read(request, status, age)
    return _admit_write(request, status)


def _admit_write(request: ExecuteRequest, status: InstanceStatus) -> Admission | Deferred:
    if status.role is not Role.PRIMARY:
        detail = f"back end {request.instance} is a replica of term {status.term}"
        return Deferred(not_run(Reason.NO_PRIMARY, detail, NO_PRIMARY_RETRY_MS), True)
    if status.term < request.minimum_term:
        detail = f"term {status.term} is lower than {request.minimum_term}"
        return Deferred(not_run(Reason.STALE_TERM, detail, NO_PRIMARY_RETRY_MS), True)
    return Admission.RUN


def _admit_read(
    request: ExecuteRequest, status: InstanceStatus, age: float
) -> Admission | Deferred:
    if not reached(status, request.floor):
        detail = f"applied {_format(status.applied)}, required {_format(request.floor)}"
        return Deferred(not_run(Reason.REPLICA_BEHIND, detail, BEHIND_RETRY_MS))
    behind_ms = status.lag_ms + age * 1000
    if 0 <= request.staleness_ms < behind_ms:
        detail = f"{behind_ms:.0f} ms behind, {request.staleness_ms} ms allowed"
        return Deferred(not_run(Reason.REPLICA_BEHIND, detail, BEHIND_RETRY_MS))
    return Admission.RUN


def reached(status: InstanceStatus, floor: Position) -> bool:
    """Return whether a read on the instance is guaranteed to see every write up to `floor`.

    The applied position only grows while an instance is up. A primary has applied every write that
    was acknowledged in its own term, including those after the status was read.
    """
    if status.applied >= floor:
        return True
    return status.role is Role.PRIMARY and status.term == floor.term


def _format(position: Position) -> str:
    return f"{position.term}:{position.offset}"
