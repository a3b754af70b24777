"""The state machine of one watcher of one database group.

Any number of watchers may act at once, each on what it saw, and each may be paused between any two
steps. Safety is in the members' promises alone: a member that promised a term takes nothing of a
lower one, and a promotion needs a majority's promises. Ranks and waits only prevent duels.
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

REQUEST_PATIENCE = 0.6
"""How long a requested change waits for fresh statuses of the members (seconds)."""

UNDER_WAY = "a change is under way"


class GroupMachine:
    """Watches one group and, where it is managed, changes its primary."""

    def __init__(self, group: GroupId, node: NodeId, timing: GroupTiming | None = None) -> None:
        self.group = group
        self.node = node
        self.timing = timing or GroupTiming()
        self.view = Observations((), self.timing)
        self.managed = True
        self._outbox: list[Any] = []
        self._queries = QuerySchedule(self.view, self.timing)
        self._waiting = TurnSchedule(group, node, self.timing)
        self._followers = Followers(self.view, self.timing, self._outbox)
        self._reachability = Reachability(group, node, self.view, self.timing)
        self._changes = ChangeCoordinator(
            self.view, self._queries, self._waiting, self._followers, self.timing, self._outbox
        )
        self._watchers: tuple[NodeId, ...] = ()
        self._assessment = Assessment(None, False)
        self._request: ChangeRequested | None = None
        self._request_until = 0.0
        self._published: GroupChanged | None = None
        self._handled_at = float("-inf")
        self._wakeup_expected: float | None = None

    def handle(self, event: Any, now: float) -> list[Any]:
        """Take one event (see `events`, `Received`, `Wakeup`) at `now`; return the effects."""
        self._handled_at = now
        self._notice_own_pause(now)
        self._changes.expire(now)
        self._take(event, now)
        self._changes.advance(now)
        self._assessment = assess(self.view, self._reachability.reached_by_others(now), now)
        if self._looks_closely():
            self._queries.start_alert(now)
        self._begin_request(now)
        if self.managed and self._changes.change is None:
            self._decide(now)
        self._outbox.extend(self._reachability.due_requests(self._watchers, now))
        self._outbox.extend(self._queries.due_queries(now))
        self._publish()
        self._wakeup_expected = self.next_wakeup()
        effects = self._outbox.copy()
        self._outbox.clear()
        return effects

    def next_wakeup(self) -> float | None:
        """Return when `Wakeup` is due."""
        due = self._queries.next_at
        phase_end = self._changes.next_wakeup()
        if phase_end is not None:
            return min(due, phase_end)
        turn = self._waiting.may_act_at(self.view)
        return min(due, turn) if turn > self._handled_at else due

    def status(self, now: float) -> GroupStatusReply:
        """Return what is known, for the administration."""
        return GroupStatusReply(
            self.group,
            True,
            self.view.term,
            self.view.primary or "",
            self._phase(),
            self.managed,
            self.view.reports(now),
        )

    def _take(self, event: Any, now: float) -> None:
        match event:
            case StatusObserved():
                self._queries.clear_pending(event.instance)
                self.view.record_status(event.status, event.queried_at, now)
            case StatusFailed():
                self._queries.clear_pending(event.instance)
                self.view.record_failure(event.instance, event.queried_at, event.refused)
            case PromiseAnswered():
                self._changes.handle_promise(event, now)
            case PromoteAnswered():
                self._changes.handle_promotion(event, now)
            case PauseAnswered():
                self._changes.handle_pause(event, now)
            case ChangeRequested():
                self._take_request(event, now)
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
        self._waiting.rank = rank
        first = rank == 0
        self._queries.interval = self.timing.first_interval if first else self.timing.other_interval

    def _notice_own_pause(self, now: float) -> None:
        """Distrust all clocks of failure when this wakeup comes much later than it was due."""
        expected = self._wakeup_expected
        if expected is not None and now > expected + self.timing.own_pause_threshold:
            self.view.forget_failures(now)
            self._waiting.suspected_since = None

    def _looks_closely(self) -> bool:
        busy = self._changes.change is not None or self._request is not None
        return busy or self._assessment.needs_alert or self._waiting.failed_cause is not None

    def _decide(self, now: float) -> None:
        """Start a change when there is a cause and this watcher's turn has come."""
        if primary_works(self.view, now):
            self._waiting.reset()
            self._keep_together(now)
            return
        cause = self._assessment.cause or self._waiting.failed_cause
        self._waiting.record_suspicion(cause is not None, now)
        if cause is None or now < self._waiting.may_act_at(self.view):
            return
        if len(self.view.fresh_members(now)) >= self.view.majority:
            self._changes.start(cause, now)

    def _keep_together(self, now: float) -> None:
        """Bring members back to a primary that works; by a new term where nothing less helps."""
        self._followers.redirect_members(self._waiting.rank, now)
        if self._followers.has_blocked_member(self._waiting.rank, now):
            self._followers.reset_blocked_times()
            self._changes.start(Cause.TERM_PROMISED, now, target=self.view.primary)

    def _take_request(self, event: ChangeRequested, now: float) -> None:
        if self._request is not None:
            refusal = RequestFinished(event.request, ChangeOutcome.ABORTED, UNDER_WAY, 0.0)
            self._outbox.append(refusal)
            return
        self._request = event
        self._request_until = now + REQUEST_PATIENCE

    def _begin_request(self, now: float) -> None:
        """Begin the requested change once the statuses are fresh, or answer why not."""
        event = self._request
        if event is None:
            return
        outcome = ChangeOutcome.ABORTED
        reason = self._objection(event, now)
        if event.target == self.view.primary and primary_works(self.view, now):
            outcome = ChangeOutcome.ALREADY_PRIMARY
        elif reason and now < self._request_until:
            return
        self._request = None
        if reason:
            self._outbox.append(RequestFinished(event.request, outcome, reason, 0.0))
        else:
            self._changes.start_planned(event.request, event.target, now)

    def _objection(self, event: ChangeRequested, now: float) -> str:
        if not self.managed:
            return "the group changes its primary itself"
        if self._changes.change is not None:
            return UNDER_WAY
        return refusal_reason(self.view, event.target, now)

    def _phase(self) -> GroupPhase:
        if self._changes.change is not None:
            return GroupPhase.CHANGING
        if self._waiting.suspected_since is not None:
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
            self._tell_other_watchers(view.term, view.primary)

    def _tell_other_watchers(self, term: int, primary: InstanceId) -> None:
        """Spare the other watchers the time until their next query, after an own change."""
        if term != self._waiting.own_term:
            return
        notice = PrimaryNotice(self.group, term, primary)
        others = [watcher for watcher in self._watchers if watcher != self.node]
        self._outbox.extend(Send(watcher, notice) for watcher in others)
