"""Runs changes of primary through their phases, one at a time."""

from bramblebeam.core.group.change import Change, ChangePhase
from bramblebeam.core.group.events import (
    Cause,
    ChangeCompleted,
    ChangeGivenUp,
    ChangeStarted,
    CommandOutcome,
    Effect,
    PauseAnswered,
    PauseWrites,
    Promise,
    PromiseAnswered,
    Promote,
    PromoteAnswered,
    RequestFinished,
)
from bramblebeam.core.group.followers import Followers
from bramblebeam.core.group.messages import ChangeOutcome
from bramblebeam.core.group.observation import MILLISECONDS, Observations
from bramblebeam.core.group.planned import has_caught_up
from bramblebeam.core.group.queries import QuerySchedule
from bramblebeam.core.group.timing import GroupTiming
from bramblebeam.core.group.turn_schedule import TurnSchedule
from bramblebeam.core.identity import InstanceId


class ChangeCoordinator:
    """Runs at most one change at a time. Appends the resulting effects to `outbox`."""

    def __init__(
        self,
        view: Observations,
        queries: QuerySchedule,
        turn_schedule: TurnSchedule,
        followers: Followers,
        timing: GroupTiming,
        outbox: list[Effect],
    ) -> None:
        self.change: Change | None = None
        self._view = view
        self._queries = queries
        self._turn_schedule = turn_schedule
        self._followers = followers
        self._timing = timing
        self._outbox = outbox

    def start(self, cause: Cause, now: float, target: InstanceId | None = None) -> None:
        """Begin a change that no operator requested."""
        self.change = self._new_change(cause, now, target, None)
        self._request_promises(self.change, now)

    def start_planned(self, request: int, target: InstanceId, now: float) -> None:
        """Begin a requested change: the primary holds back writes while the target catches up."""
        self.change = self._new_change(Cause.REQUESTED, now, target, request)
        self._pause_writes(self.change, self._timing.write_pause)

    def next_wakeup(self) -> float | None:
        """Return when the current change must be checked again, or None."""
        change = self.change
        if change is None:
            return None
        if change.majority_at is not None and change.chosen is None:
            return min(change.deadline, change.majority_at + self._grace(change))
        return change.deadline

    def expire(self, now: float) -> None:
        """End the current change if its phase has timed out."""
        change = self.change
        if change is None or now < change.deadline:
            return
        if change.phase in (ChangePhase.PAUSING, ChangePhase.LEVELLING):
            self._abort(change, "the target did not catch up in time", now)
        else:
            self._give_up(change, "no answer in time", now)

    def handle_pause(self, event: PauseAnswered, now: float) -> None:
        """Handle the primary's reply to the request to hold back writes."""
        change = self.change
        if change is None or change.phase is not ChangePhase.PAUSING:
            return
        if event.outcome is not CommandOutcome.DONE:
            self._abort(change, "the primary did not hold writes back", now)
            return
        change.phase = ChangePhase.LEVELLING
        change.paused_at = now
        for instance in change.order:
            self._queries.clear_pending(instance)

    def handle_promise(self, event: PromiseAnswered, now: float) -> None:
        """Handle a member's reply to a promise request."""
        if event.status is not None:
            self._view.record_status(event.status, now, now)
        change = self.change
        if change is None or change.term != event.term:
            return
        if change.phase is ChangePhase.PROMISING:
            change.record_promise(event.instance, event.outcome, event.status, now)

    def handle_promotion(self, event: PromoteAnswered, now: float) -> None:
        """Handle the chosen member's reply. If it is lost, the next statuses show the outcome."""
        if event.outcome is CommandOutcome.DONE:
            self._view.record_promotion(event.term, event.instance, now)
        change = self.change
        refused = event.outcome is CommandOutcome.REFUSED
        if change is not None and change.term == event.term and refused:
            self._give_up(change, "the chosen member refused the term", now)

    def advance(self, now: float) -> None:
        """Move to the next phase if the current one has what it waits for."""
        change = self.change
        if change is None:
            return
        match change.phase:
            case ChangePhase.LEVELLING:
                self._advance_levelling(change, now)
            case ChangePhase.PROMISING:
                if change.cannot_reach_majority():
                    self._give_up(change, "no majority promised", now)
                elif change.ready(now, self._grace(change)):
                    self._promote(change, now)
            case ChangePhase.PROMOTING:
                self._check_promotion(change, now)

    def _grace(self, change: Change) -> float:
        """Return how long to wait for other replies once a majority promised (seconds)."""
        can_skip = change.can_skip_lost_primary()
        return self._timing.promise_grace if can_skip else self._timing.lost_primary_grace

    def _new_change(
        self, cause: Cause, now: float, target: InstanceId | None, request: int | None
    ) -> Change:
        return Change(
            cause=cause,
            phase=ChangePhase.PAUSING,
            started=now,
            deadline=now + self._timing.catch_up_timeout,
            order=tuple(self._view.members),
            target=target,
            request=request,
            old_primary=self._view.primary,
        )

    def _pause_writes(self, change: Change, seconds: float) -> None:
        if change.old_primary is not None:
            milliseconds = int(seconds * MILLISECONDS)
            timeout = self._timing.catch_up_timeout
            self._outbox.append(PauseWrites(change.old_primary, milliseconds, timeout))

    def _advance_levelling(self, change: Change, now: float) -> None:
        assert change.old_primary is not None
        assert change.target is not None
        primary = self._view.members.get(change.old_primary)
        target = self._view.members.get(change.target)
        if primary is None or target is None:
            self._abort(change, "the members changed", now)
        elif has_caught_up(primary, target, change.paused_at):
            self._request_promises(change, now)
        else:
            names = [change.old_primary, change.target]
            self._outbox.extend(self._queries.query_now(names, now))

    def _request_promises(self, change: Change, now: float) -> None:
        change.term = self._view.highest_term + 1
        change.phase = ChangePhase.PROMISING
        change.deadline = now + self._timing.promise_timeout
        change.expected = frozenset(
            member.spec.instance
            for member in self._view.fresh_members(now)
            if member.failing_since is None
        )
        self._turn_schedule.own_term = change.term
        self._outbox.append(ChangeStarted(change.term, change.cause))
        timeout = self._timing.promise_timeout
        self._outbox.extend(Promise(name, change.term, timeout) for name in change.order)

    def _promote(self, change: Change, now: float) -> None:
        chosen = change.choose()
        change.phase = ChangePhase.PROMOTING
        change.deadline = now + self._timing.promote_timeout
        members = tuple(member.spec for member in self._view.members.values())
        timeout = self._timing.promote_timeout
        self._outbox.append(Promote(chosen, change.term, members, timeout))

    def _check_promotion(self, change: Change, now: float) -> None:
        """Check by the reply or by a status whether the chosen member is primary now."""
        if self._view.term == change.term and self._view.primary == change.chosen:
            self._complete(change, now)
        elif self._view.term > change.term:
            self._give_up(change, "another controller changed the primary", now)

    def _complete(self, change: Change, now: float) -> None:
        assert change.chosen is not None
        self.change = None
        self._turn_schedule.reset()
        duration = now - change.started
        self._outbox.append(ChangeCompleted(change.term, change.chosen, duration))
        for name in change.order:
            if name != change.chosen:
                self._followers.send_follow(name, now)
        self._outbox.extend(self._queries.query_now(list(change.order), now))
        done = change.chosen == change.target
        outcome = ChangeOutcome.DONE if done else ChangeOutcome.OTHER_CHOSEN
        self._finish_request(change, outcome, f"{change.chosen} is primary", now)

    def _give_up(self, change: Change, detail: str, now: float) -> None:
        """End an attempt that requested promises; another follows if there is no primary."""
        self.change = None
        self._turn_schedule.record_failure(change.cause, change.term, now)
        self._outbox.append(ChangeGivenUp(change.term, detail))
        self._finish_request(change, ChangeOutcome.FAILED, detail, now)

    def _abort(self, change: Change, detail: str, now: float) -> None:
        """End a planned change before any promise was requested; the primary resumes writes."""
        self.change = None
        self._pause_writes(change, 0.0)
        self._finish_request(change, ChangeOutcome.ABORTED, detail, now)

    def _finish_request(
        self, change: Change, outcome: ChangeOutcome, detail: str, now: float
    ) -> None:
        if change.request is not None:
            duration = now - change.started
            self._outbox.append(RequestFinished(change.request, outcome, detail, duration))
