"""One attempt to change the primary: its phases and what it has gathered."""

from dataclasses import dataclass, field
from enum import IntEnum

from bramblebeam.core.group.choice import choose_primary, majority_of
from bramblebeam.core.group.events import Cause, CommandOutcome
from bramblebeam.core.group.messages import MemberStatus
from bramblebeam.core.identity import InstanceId

LOST_PRIMARY = frozenset({Cause.CONTACT_LOST, Cause.PRIMARY_REFUSED, Cause.UNREACHABLE})
"""Causes for which the present primary is no good choice again."""


class ChangePhase(IntEnum):
    """Where an attempt stands."""

    PAUSING = 1
    """The primary was asked to hold new writes back (planned changes only)."""
    LEVELLING = 2
    """Waiting until the target holds all that the primary holds (planned changes only)."""
    PROMISING = 3
    """Every member was asked to promise the new term."""
    PROMOTING = 4
    """One member was asked to become primary. No other one ever is at this term."""


@dataclass(slots=True)
class Change:
    """An attempt. `deadline` is of the present phase; times are seconds."""

    cause: Cause
    phase: ChangePhase
    started: float
    deadline: float
    order: tuple[InstanceId, ...]
    target: InstanceId | None = None
    request: int | None = None
    old_primary: InstanceId | None = None
    paused_at: float = 0.0
    term: int = 0
    expected: frozenset[InstanceId] = frozenset()
    promises: dict[InstanceId, MemberStatus] = field(default_factory=dict)
    failed_promises: set[InstanceId] = field(default_factory=set)
    majority_at: float | None = None
    chosen: InstanceId | None = None

    @property
    def majority(self) -> int:
        """The number of promises that is needed."""
        return majority_of(len(self.order))

    def record_promise(
        self,
        instance: InstanceId,
        outcome: CommandOutcome,
        status: MemberStatus | None,
        now: float,
    ) -> None:
        """Record a member's answer to the promise."""
        if outcome is CommandOutcome.DONE and status is not None:
            self.promises[instance] = status
        else:
            self.failed_promises.add(instance)
        if self.majority_at is None and len(self.promises) >= self.majority:
            self.majority_at = now

    def cannot_reach_majority(self) -> bool:
        """Whether a majority cannot promise any more."""
        return len(self.order) - len(self.failed_promises) < self.majority

    def ready(self, now: float, grace: float) -> bool:
        """Whether to promote now: a majority has promised, and the rest answered or had time."""
        if self.majority_at is None:
            return False
        answered = self.promises.keys() | self.failed_promises
        return self.expected <= answered or now >= self.majority_at + grace

    def can_skip_lost_primary(self) -> bool:
        """Whether the choice can pass a lost primary over, or need not."""
        return self.cause not in LOST_PRIMARY or len(self._others()) >= self.majority

    def choose(self) -> InstanceId:
        """Settle which member is promoted at this term."""
        self.chosen = choose_primary(self._candidates(), self.order, self.target)
        return self.chosen

    def _candidates(self) -> dict[InstanceId, MemberStatus]:
        """Return the promises to choose from.

        A primary that was lost is passed over where the others are a majority by themselves: it
        may answer this watcher and yet be cut off from the members that must append its writes.
        What it alone holds was never acknowledged.
        """
        others = self._others()
        if self.cause in LOST_PRIMARY and len(others) >= self.majority:
            return others
        return self.promises

    def _others(self) -> dict[InstanceId, MemberStatus]:
        return {name: status for name, status in self.promises.items() if name != self.old_primary}
