"""Translation of watchers' commands into members' events, and of the results into events."""

from typing import Any

from bramblebeam.core.group import events
from bramblebeam.core.group.events import CommandOutcome
from bramblebeam.core.group.messages import MemberStatus
from bramblebeam.core.identity import InstanceId, NodeId
from bramblebeam.lab.database import messages as db
from bramblebeam.lab.database.replica import Replica

MILLISECONDS = 1000.0

COMMANDS = (
    events.QueryStatus,
    events.Promise,
    events.Promote,
    events.Follow,
    events.PauseWrites,
)


def command_event(token: int, command: Any) -> Any:
    """Return the member's event for a command other than a status query."""
    match command:
        case events.Promise(term=term):
            return db.PromiseTerm(token, term)
        case events.Promote(term=term, members=members):
            names = tuple(NodeId(member.instance) for member in members)
            return db.PromoteMember(token, term, names)
        case events.Follow(term=term, primary=primary):
            return db.FollowPrimary(token, term, NodeId(primary.instance))
    return db.PauseWrites(command.milliseconds / MILLISECONDS)


def result_event(command: Any, accepted: bool, status: MemberStatus) -> Any:
    """Return the watcher's event for the result of a command, or None if there is none."""
    if isinstance(command, events.QueryStatus):
        return events.StatusObserved(command.instance, status, command.queried_at)
    outcome = CommandOutcome.DONE if accepted else CommandOutcome.REFUSED
    return _answered(command, outcome, status if accepted else None)


def failure_event(command: Any, refused: bool) -> Any:
    """Return the watcher's event for a command without a reply.

    `refused`: the member refused the connection, so the command was not executed.
    """
    if isinstance(command, events.QueryStatus):
        return events.StatusFailed(command.instance, command.queried_at, refused)
    outcome = CommandOutcome.REFUSED if refused else CommandOutcome.LOST
    return _answered(command, outcome, None)


def _answered(command: Any, outcome: CommandOutcome, status: MemberStatus | None) -> Any:
    match command:
        case events.Promise(instance=name, term=term):
            return events.PromiseAnswered(name, term, outcome, status)
        case events.Promote(instance=name, term=term):
            return events.PromoteAnswered(name, term, outcome)
        case events.PauseWrites(instance=name, milliseconds=milliseconds) if milliseconds:
            return events.PauseAnswered(name, outcome)
    return None


def member_status(name: InstanceId, replica: Replica, now: float) -> MemberStatus:
    """Return a member's status as its MySQL endpoint would report it."""
    status = replica.status(now)
    return MemberStatus(
        name,
        status.term,
        status.role,
        status.last,
        status.applied,
        int(status.lag * MILLISECONDS),
        int(status.primary_contact * MILLISECONDS),
        status.primary,
        status.promised_term,
        status.leaving,
    )
