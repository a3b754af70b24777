"""The state machine of one watcher of one database group.

Any number of watchers may act at once, each on what it saw, and each may be paused between any two
steps. Safety is in the members' promises alone: a member that promised a term takes nothing of a
lower one, and a promotion needs a majority's promises. Ranks and waits only prevent duels.
"""

from typing import Any

from bramblebeam.core.group.change import Change, ChangePhase
from bramblebeam.core.group.events import (
    Cause,
    ChangeCompleted,
    ChangeGivenUp,
    ChangeRequested,
    ChangeStarted,
    CommandOutcome,
    Effect,
    Follow,
    GroupReconfigured,
    PauseAnswered,
    PauseWrites,
    Promise,
    PromiseAnswered,
    Promote,
    PromoteAnswered,
    Publish,
    RequestFinished,
    StatusFailed,
    StatusObserved,
)
from bramblebeam.core.group.messages import (
    ChangeOutcome,
    GroupChanged,
    GroupPhase,
    GroupStatusReply,
    ReachabilityReply,
    ReachabilityRequest,
)
from bramblebeam.core.group.observation import MILLISECONDS, Observations
from bramblebeam.core.group.planned import level, objection
from bramblebeam.core.group.queries import QuerySchedule
from bramblebeam.core.group.suspicion import Assessment, assess, primary_works
from bramblebeam.core.group.timing import GroupTiming
from bramblebeam.core.group.waiting import Waiting
from bramblebeam.core.identity import GroupId, InstanceId, NodeId
from bramblebeam.core.machine import Received, Send, Wakeup

REACHABLE_WITHIN = 1.0
"""A status not older than this (seconds) is a proof of reachability for another watcher."""

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
        self.queries = QuerySchedule(self.view, self.timing)
        self.waiting = Waiting(group, node, self.timing)
        self.change: Change | None = None
        self.managed = True
        self._watchers: tuple[NodeId, ...] = ()
        self._assessment = Assessment(None, False)
        self._published: GroupChanged | None = None
        self._reached_by_others_at = float("-inf")
        self._ask_others_at = float("-inf")
        self._handled_at = float("-inf")
        self._wakeup_expected: float | None = None
        self._request: ChangeRequested | None = None
        self._request_until = 0.0
        self._effects: list[Any] = []

    def handle(self, event: Any, now: float) -> list[Any]:
        """Take one event (see `events`, `Received`, `Wakeup`) at `now`; return the effects."""
        self._effects = []
        self._handled_at = now
        self._notice_own_pause(now)
        self._expire_change(now)
        self._take(event, now)
        self._advance_change(now)
        self._assessment = assess(self.view, self._reached_by_others(now), now)
        if self._look_closely():
            self.queries.alarm(now)
        self._begin_request(now)
        if self.managed and self.change is None:
            self._decide(now)
            self._tend_followers(now)
        self._ask_other_watchers(now)
        self._effects.extend(self.queries.due(now))
        self._publish()
        self._wakeup_expected = self.next_wakeup()
        return self._effects

    def next_wakeup(self) -> float | None:
        """Return when `Wakeup` is due."""
        due = [self.queries.next_at]
        if self.change is not None:
            due.append(self.change.deadline)
            if self.change.majority_at is not None and self.change.chosen is None:
                due.append(self.change.majority_at + self.timing.promise_grace)
        elif self.waiting.suspected_since is not None:
            turn = self.waiting.act_at(self.view)
            if turn > self._handled_at:
                due.append(turn)
        return min(due)

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
                self.queries.answered(event.instance)
                self.view.observe(event.status, event.asked_at, now)
            case StatusFailed():
                self.queries.answered(event.instance)
                self.view.fail(event.instance, event.asked_at, event.refused)
            case PromiseAnswered():
                self._take_promise(event, now)
            case PromoteAnswered():
                self._take_promotion(event, now)
            case PauseAnswered():
                self._take_pause(event, now)
            case ChangeRequested():
                self._take_request(event, now)
            case GroupReconfigured():
                self._reconfigure(event)
            case Received(sender=sender, message=message):
                self._take_message(sender, message, now)
            case Wakeup():
                pass

    def _reconfigure(self, event: GroupReconfigured) -> None:
        self.view.replace_members(event.members)
        self.managed = event.managed
        self._watchers = event.watchers
        rank = event.watchers.index(self.node) if self.node in event.watchers else 0
        self.waiting.rank = rank
        first = rank == 0
        self.queries.interval = self.timing.first_interval if first else self.timing.other_interval

    def _notice_own_pause(self, now: float) -> None:
        """Distrust all clocks of failure when this wakeup comes much later than it was due."""
        expected = self._wakeup_expected
        if expected is not None and now > expected + self.timing.own_pause:
            self.view.forget_failures(now)
            self.waiting.suspected_since = None

    def _look_closely(self) -> bool:
        busy = self.change is not None or self._request is not None
        return busy or self._assessment.sign or self.waiting.interrupted is not None

    # Suspicion

    def _decide(self, now: float) -> None:
        """Start a change when there is a cause and this watcher's turn has come."""
        cause = self._assessment.cause or self.waiting.interrupted
        if primary_works(self.view, now):
            self.waiting.interrupted = None
            self._realign(now)
            cause = None
        self.waiting.suspect(cause is not None, now)
        if cause is None or now < self.waiting.act_at(self.view):
            return
        if len(self.view.fresh_members(now)) >= self.view.majority:
            self._start_change(cause, now)

    def _realign(self, now: float) -> None:
        """Take the primary to a new term when a member's higher promise keeps that member out."""
        for member in self.view.members.values():
            status = member.status
            astray = status is not None and status.promised_term > self.view.term
            if not astray or not member.fresh(now, self.timing.fresh):
                member.astray_since = member.astray_since if astray else None
                continue
            if member.astray_since is None:
                member.astray_since = now
            bound = self.timing.realign_after * (1 + self.waiting.rank)
            if now - member.astray_since >= bound:
                member.astray_since = None
                self._start_change(Cause.TERM_PROMISED, now, target=self.view.primary)
                return

    def _reached_by_others(self, now: float) -> bool:
        return now - self._reached_by_others_at < self.timing.reachability_valid

    def _ask_other_watchers(self, now: float) -> None:
        """Ask the other watchers whether they reach the primary that this one does not."""
        primary = self.view.primary_observation()
        if primary is None or now < self._ask_others_at:
            return
        if primary.unreachable_for(now) < self.timing.fresh:
            return
        self._ask_others_at = now + self.timing.reachability_interval
        question = ReachabilityRequest(self.group, primary.spec.instance)
        others = [watcher for watcher in self._watchers if watcher != self.node]
        self._effects.extend(Send(watcher, question) for watcher in others)

    def _take_message(self, sender: NodeId, message: Any, now: float) -> None:
        match message:
            case ReachabilityRequest(instance=instance):
                self.queries.alarm(now)
                member = self.view.members.get(instance)
                reached = member is not None and member.fresh(now, REACHABLE_WITHIN)
                reply = ReachabilityReply(self.group, instance, reached)
                self._effects.append(Send(sender, reply))
            case ReachabilityReply(instance=instance, reachable=True):
                if instance == self.view.primary:
                    self._reached_by_others_at = now

    # The change

    def _start_change(
        self,
        cause: Cause,
        now: float,
        target: InstanceId | None = None,
        request: int | None = None,
    ) -> None:
        self.change = Change(
            cause=cause,
            phase=ChangePhase.PAUSING,
            started=now,
            deadline=now + self.timing.level_timeout,
            order=tuple(self.view.members),
            target=target,
            request=request,
            old_primary=self.view.primary,
        )
        if request is None:
            self._ask_promises(now)

    def _ask_promises(self, now: float) -> None:
        change = self._require_change()
        change.term = self.view.highest_term + 1
        change.phase = ChangePhase.PROMISING
        change.deadline = now + self.timing.promise_timeout
        fresh = self.view.fresh_members(now)
        change.expected = frozenset(
            member.spec.instance for member in fresh if member.failing_since is None
        )
        self.waiting.own_term = change.term
        self._effects.append(ChangeStarted(change.term, change.cause))
        timeout = self.timing.promise_timeout
        self._effects.extend(Promise(name, change.term, timeout) for name in change.order)

    def _take_promise(self, event: PromiseAnswered, now: float) -> None:
        if event.status is not None:
            self.view.observe(event.status, now, now)
        change = self.change
        if change is None or change.term != event.term or change.phase != ChangePhase.PROMISING:
            return
        change.take_promise(event.instance, event.outcome, event.status, now)

    def _advance_change(self, now: float) -> None:
        change = self.change
        if change is None:
            return
        match change.phase:
            case ChangePhase.LEVELLING:
                self._advance_levelling(change, now)
            case ChangePhase.PROMISING:
                if change.hopeless():
                    self._give_up("no majority promised", now)
                elif change.ready(now, self.timing.promise_grace):
                    self._promote(change, now)
            case ChangePhase.PROMOTING:
                self._check_promotion(change, now)

    def _promote(self, change: Change, now: float) -> None:
        chosen = change.choose()
        change.phase = ChangePhase.PROMOTING
        change.deadline = now + self.timing.promote_timeout
        members = tuple(member.spec for member in self.view.members.values())
        timeout = self.timing.promote_timeout
        self._effects.append(Promote(chosen, change.term, members, timeout))

    def _take_promotion(self, event: PromoteAnswered, now: float) -> None:
        if event.outcome is CommandOutcome.DONE:
            self.view.promoted(event.term, event.instance, now)
        change = self.change
        refused = event.outcome is CommandOutcome.REFUSED
        if change is not None and change.term == event.term and refused:
            self._give_up("the chosen member refused the term", now)

    def _check_promotion(self, change: Change, now: float) -> None:
        """See whether the chosen member is primary now, by its answer or by a status."""
        if self.view.term == change.term and self.view.primary == change.chosen:
            self._complete(change, now)
        elif self.view.term > change.term:
            self._give_up("another controller changed the primary", now)

    def _complete(self, change: Change, now: float) -> None:
        assert change.chosen is not None
        self.change = None
        self.waiting.reset()
        duration = now - change.started
        self._effects.append(ChangeCompleted(change.term, change.chosen, duration))
        for name in change.order:
            if name != change.chosen:
                self._follow(name, now)
        self._effects.extend(self.queries.ask_now(list(change.order), now))
        done = change.chosen == change.target
        outcome = ChangeOutcome.DONE if done else ChangeOutcome.OTHER_CHOSEN
        self._finish_request(change, outcome, f"{change.chosen} is primary", now)

    def _expire_change(self, now: float) -> None:
        change = self.change
        if change is None or now < change.deadline:
            return
        if change.phase in (ChangePhase.PAUSING, ChangePhase.LEVELLING):
            self._abort("the target did not catch up in time", now)
        elif change.phase is ChangePhase.PROMISING and change.majority_at is not None:
            self._give_up("too late to promote", now)
        else:
            self._give_up("no answer in time", now)

    def _give_up(self, detail: str, now: float) -> None:
        """End an attempt that has asked for promises; another one follows if nobody leads."""
        change = self._require_change()
        self.change = None
        self.waiting.failed(change.cause, change.term, now)
        self._effects.append(ChangeGivenUp(change.term, detail))
        self._finish_request(change, ChangeOutcome.FAILED, detail, now)

    # The planned change

    def _take_request(self, event: ChangeRequested, now: float) -> None:
        if self._request is not None:
            refusal = RequestFinished(event.request, ChangeOutcome.ABORTED, UNDER_WAY, 0.0)
            self._effects.append(refusal)
            return
        self._request = event
        self._request_until = now + REQUEST_PATIENCE

    def _begin_request(self, now: float) -> None:
        """Begin the requested change once the statuses are fresh, or answer why not."""
        event = self._request
        if event is None:
            return
        outcome = ChangeOutcome.ABORTED
        reason = self._objection(event.target, now)
        if event.target == self.view.primary and primary_works(self.view, now):
            outcome = ChangeOutcome.ALREADY_PRIMARY
        elif reason and now < self._request_until:
            return
        self._request = None
        if reason:
            self._effects.append(RequestFinished(event.request, outcome, reason, 0.0))
            return
        assert self.view.primary is not None
        self._start_change(Cause.REQUESTED, now, event.target, event.request)
        milliseconds = int(self.timing.write_pause * MILLISECONDS)
        timeout = self.timing.level_timeout
        self._effects.append(PauseWrites(self.view.primary, milliseconds, timeout))

    def _objection(self, target: InstanceId, now: float) -> str:
        if not self.managed:
            return "the group changes its primary itself"
        if self.change is not None:
            return UNDER_WAY
        return objection(self.view, target, now)

    def _take_pause(self, event: PauseAnswered, now: float) -> None:
        change = self.change
        if change is None or change.phase != ChangePhase.PAUSING:
            return
        if event.outcome is not CommandOutcome.DONE:
            self._abort("the primary did not hold writes back", now)
            return
        change.phase = ChangePhase.LEVELLING
        change.paused_at = now
        for member in self.view.members.values():
            member.query_open_until = float("-inf")

    def _advance_levelling(self, change: Change, now: float) -> None:
        assert change.old_primary is not None
        assert change.target is not None
        primary = self.view.members.get(change.old_primary)
        target = self.view.members.get(change.target)
        if primary is None or target is None:
            self._abort("the members changed", now)
        elif level(primary, target, change.paused_at):
            self._ask_promises(now)
        else:
            names = [change.old_primary, change.target]
            self._effects.extend(self.queries.ask_now(names, now))

    def _abort(self, detail: str, now: float) -> None:
        """End a planned change before any promise; the primary's writes go on."""
        change = self._require_change()
        self.change = None
        if change.old_primary is not None:
            timeout = self.timing.level_timeout
            self._effects.append(PauseWrites(change.old_primary, 0, timeout))
        self._finish_request(change, ChangeOutcome.ABORTED, detail, now)

    def _finish_request(
        self, change: Change, outcome: ChangeOutcome, detail: str, now: float
    ) -> None:
        if change.request is None:
            return
        duration = now - change.started
        self._effects.append(RequestFinished(change.request, outcome, detail, duration))

    # Followers and views

    def _tend_followers(self, now: float) -> None:
        """Point members that are back, or that were left behind, to the primary."""
        if not primary_works(self.view, now):
            return
        wait = self.timing.follow_interval * (1 + self.waiting.rank)
        for name, member in self.view.members.items():
            if name == self.view.primary or member.status is None:
                continue
            status = member.status
            right = status.term == self.view.term and status.primary == self.view.primary
            behind = not right and status.promised_term <= self.view.term
            if behind and member.fresh(now, self.timing.fresh) and now - member.followed_at >= wait:
                self._follow(name, now)

    def _follow(self, name: InstanceId, now: float) -> None:
        assert self.view.primary is not None
        member = self.view.members[name]
        member.followed_at = now
        primary = self.view.members[self.view.primary].spec
        self._effects.append(Follow(name, self.view.term, primary, self.timing.follow_timeout))

    def _phase(self) -> GroupPhase:
        if self.change is not None:
            return GroupPhase.CHANGING
        if self.waiting.suspected_since is not None:
            return GroupPhase.SUSPECTED
        return GroupPhase.UNKNOWN if self.view.primary is None else GroupPhase.STEADY

    def _publish(self) -> None:
        view = self.view
        message = GroupChanged(self.group, view.term, view.primary, self._phase(), self.managed)
        if message != self._published:
            self._published = message
            self._effects.append(Publish(message))

    def _require_change(self) -> Change:
        assert self.change is not None
        return self.change


__all__ = ["Effect", "GroupMachine"]
