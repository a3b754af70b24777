"""The state machine of one watcher of one database group.

Any number of watchers may act concurrently, each on its own observations, and each may be paused
between any two steps. Safety rests on the members' promises alone: a member that promised a term
accepts nothing of a lower one, and a promotion needs the promises of a majority. Ranks and delays
only keep watchers from competing.
"""

from typing import Any

from bramblebeam.core.group.change_coordinator import ChangeCoordinator
from bramblebeam.core.group.events import (
    Cause,
    ChangeRequested,
    GroupReconfigured,
    PauseAnswered,
    PromiseAnswered,
    PromoteAnswered,
    Publish,
    RequestFinished,
    StatusFailed,
    StatusObserved,
)
from bramblebeam.core.group.followers import Followers
from bramblebeam.core.group.messages import (
    ChangeOutcome,
    GroupChanged,
    GroupPhase,
    GroupStatusReply,
    PrimaryNotice,
    ReachabilityReply,
    ReachabilityRequest,
)
from bramblebeam.core.group.observation import Observations
from bramblebeam.core.group.planned import refusal_reason
from bramblebeam.core.group.queries import QuerySchedule
from bramblebeam.core.group.reachability import Reachability
from bramblebeam.core.group.suspicion import Assessment, assess, primary_works
from bramblebeam.core.group.timing import GroupTiming
from bramblebeam.core.group.turn_schedule import TurnSchedule
from bramblebeam.core.identity import GroupId, InstanceId, NodeId
from bramblebeam.core.machine import Received, Send, Wakeup

REQUEST_TIMEOUT = 0.6
"""How long a requested change waits for recent member statuses (seconds)."""

CHANGE_IN_PROGRESS = "a change is under way"


class GroupMachine:
    """Watches one group and, if the group is managed, changes its primary."""

    def __init__(self, group: GroupId, node: NodeId, timing: GroupTiming | None = None) -> None:
        self.group = group
        self.node = node
        self.timing = timing or GroupTiming()
        self.view = Observations((), self.timing)
        self.managed = True
        self._outbox: list[Any] = []
        self._queries = QuerySchedule(self.view, self.timing)
        self._turn_schedule = TurnSchedule(group, node, self.timing)
        self._followers = Followers(self.view, self.timing, self._outbox)
        self._reachability = Reachability(group, node, self.view, self.timing)
        self._coordinator = ChangeCoordinator(
            self.view,
            self._queries,
            self._turn_schedule,
            self._followers,
            self.timing,
            self._outbox,
        )
        self._watchers: tuple[NodeId, ...] = ()
        self._assessment = Assessment(None, False)
        self._request: ChangeRequested | None = None
        self._request_deadline = 0.0
        self._published: GroupChanged | None = None
        self._handled_at = float("-inf")
        self._wakeup_expected: float | None = None

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle one event (see `events`, `Received`, `Wakeup`) at `now`; return the effects."""
        self._handled_at = now
        self._detect_own_pause(now)
        self._coordinator.expire(now)
        self._dispatch(event, now)
        self._coordinator.advance(now)
        self._assessment = assess(self.view, self._reachability.reached_by_others(now), now)
        if self._needs_alert():
            self._queries.start_alert(now)
        self._begin_request(now)
        if self.managed and self._coordinator.change is None:
            self._decide(now)
        self._outbox.extend(self._reachability.due_requests(self._watchers, now))
        self._outbox.extend(self._queries.due_queries(now))
        self._publish()
        self._wakeup_expected = self.next_wakeup()
        effects = self._outbox.copy()
        self._outbox.clear()
        return effects

    def next_wakeup(self) -> float | None:
        """Return when the next `Wakeup` is due (seconds)."""
        due = self._queries.next_at
        phase_end = self._coordinator.next_wakeup()
        if phase_end is not None:
            return min(due, phase_end)
        turn = self._turn_schedule.may_act_at(self.view)
        return min(due, turn) if turn > self._handled_at else due

    def status(self, now: float) -> GroupStatusReply:
        """Return the known state of the group, for the administration service."""
        return GroupStatusReply(
            self.group,
            True,
            self.view.term,
            self.view.primary or "",
            self._phase(),
            self.managed,
            self.view.reports(now),
        )

    def _dispatch(self, event: Any, now: float) -> None:
        match event:
            case StatusObserved():
                self._queries.clear_pending(event.instance)
                self.view.record_status(event.status, event.queried_at, now)
            case StatusFailed():
                self._queries.clear_pending(event.instance)
                self.view.record_failure(event.instance, event.queried_at, event.refused)
            case PromiseAnswered():
                self._coordinator.handle_promise(event, now)
            case PromoteAnswered():
                self._coordinator.handle_promotion(event, now)
            case PauseAnswered():
                self._coordinator.handle_pause(event, now)
            case ChangeRequested():
                self._accept_request(event, now)
            case GroupReconfigured():
                self._reconfigure(event)
            case Received(sender=sender, message=ReachabilityRequest(instance=instance)):
                self._queries.start_alert(now)
                self._outbox.append(self._reachability.reply(sender, instance, now))
            case Received(message=ReachabilityReply() as reply):
                self._reachability.handle_reply(reply, now)
            case Received(message=PrimaryNotice(term=term, primary=primary)):
                self.view.record_promotion(term, primary, now)
                self._queries.start_alert(now)
            case Wakeup():
                pass

    def _reconfigure(self, event: GroupReconfigured) -> None:
        self.view.replace_members(event.members)
        self.managed = event.managed
        self._watchers = event.watchers
        rank = event.watchers.index(self.node) if self.node in event.watchers else 0
        self._turn_schedule.rank = rank
        first = rank == 0
        self._queries.interval = self.timing.first_interval if first else self.timing.other_interval

    def _detect_own_pause(self, now: float) -> None:
        """Discard failures if this wakeup is so late that the watcher must have been paused."""
        expected = self._wakeup_expected
        if expected is not None and now > expected + self.timing.own_pause_threshold:
            self.view.forget_failures(now)
            self._turn_schedule.suspected_since = None

    def _needs_alert(self) -> bool:
        busy = self._coordinator.change is not None or self._request is not None
        return busy or self._assessment.needs_alert or self._turn_schedule.failed_cause is not None

    def _decide(self, now: float) -> None:
        """Start a change if there is a cause and it is this watcher's turn."""
        if primary_works(self.view, now):
            self._turn_schedule.reset()
            self._repair_members(now)
            return
        cause = self._assessment.cause or self._turn_schedule.failed_cause
        self._turn_schedule.record_suspicion(cause is not None, now)
        if cause is None or now < self._turn_schedule.may_act_at(self.view):
            return
        if len(self.view.fresh_members(now)) >= self.view.majority:
            self._coordinator.start(cause, now)

    def _repair_members(self, now: float) -> None:
        """Make members follow a working primary, by a new term if a promise blocks one."""
        self._followers.redirect_members(self._turn_schedule.rank, now)
        if self._followers.has_blocked_member(self._turn_schedule.rank, now):
            self._followers.reset_blocked_times()
            self._coordinator.start(Cause.TERM_PROMISED, now, target=self.view.primary)

    def _accept_request(self, event: ChangeRequested, now: float) -> None:
        if self._request is not None:
            refusal = RequestFinished(event.request, ChangeOutcome.ABORTED, CHANGE_IN_PROGRESS, 0.0)
            self._outbox.append(refusal)
            return
        self._request = event
        self._request_deadline = now + REQUEST_TIMEOUT

    def _begin_request(self, now: float) -> None:
        """Begin the requested change once statuses are recent, or reply why it cannot begin."""
        event = self._request
        if event is None:
            return
        outcome = ChangeOutcome.ABORTED
        reason = self._refusal_reason(event, now)
        if event.target == self.view.primary and primary_works(self.view, now):
            outcome = ChangeOutcome.ALREADY_PRIMARY
        elif reason and now < self._request_deadline:
            return
        self._request = None
        if reason:
            self._outbox.append(RequestFinished(event.request, outcome, reason, 0.0))
        else:
            self._coordinator.start_planned(event.request, event.target, now)

    def _refusal_reason(self, event: ChangeRequested, now: float) -> str:
        if not self.managed:
            return "the group changes its primary itself"
        if self._coordinator.change is not None:
            return CHANGE_IN_PROGRESS
        return refusal_reason(self.view, event.target, now)

    def _phase(self) -> GroupPhase:
        if self._coordinator.change is not None:
            return GroupPhase.CHANGING
        if self._turn_schedule.suspected_since is not None:
            return GroupPhase.SUSPECTED
        return GroupPhase.UNKNOWN if self.view.primary is None else GroupPhase.STEADY

    def _publish(self) -> None:
        view = self.view
        message = GroupChanged(self.group, view.term, view.primary, self._phase(), self.managed)
        if message == self._published:
            return
        known_term = 0 if self._published is None else self._published.term
        self._published = message
        self._outbox.append(Publish(message))
        if view.primary is not None and view.term > known_term:
            self._notify_other_watchers(view.term, view.primary)

    def _notify_other_watchers(self, term: int, primary: InstanceId) -> None:
        """Notify the other watchers of this watcher's change, ahead of their next query."""
        if term != self._turn_schedule.own_term:
            return
        notice = PrimaryNotice(self.group, term, primary)
        others = [watcher for watcher in self._watchers if watcher != self.node]
        self._outbox.extend(Send(watcher, notice) for watcher in others)
