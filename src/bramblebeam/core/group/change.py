"""State of one attempt to change the primary: its phase and the replies received."""

from dataclasses import dataclass, field
from enum import IntEnum

from bramblebeam.core.group.choice import choose_primary, majority_of
from bramblebeam.core.group.events import Cause, CommandOutcome
from bramblebeam.core.group.messages import MemberStatus
from bramblebeam.core.identity import InstanceId

LOST_PRIMARY_CAUSES = frozenset({Cause.CONTACT_LOST, Cause.PRIMARY_REFUSED, Cause.UNREACHABLE})
"""Causes after which the current primary should not be chosen again."""


class ChangePhase(IntEnum):
    """Phase of an attempt."""

    PAUSING = 1
    """The primary was requested to hold back new writes (planned changes only)."""
    LEVELLING = 2
    """Waiting until the target has all entries of the primary (planned changes only)."""
    PROMISING = 3
    """Every member was requested to promise the new term."""
    PROMOTING = 4
    """One member was requested to become primary. No other ever is at this term."""


@dataclass(slots=True)
class Change:
    """One attempt to change the primary. `deadline` is of the current phase; times in seconds."""

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
        """Number of promises required."""
        return majority_of(len(self.order))

    def record_promise(
        self,
        instance: InstanceId,
        outcome: CommandOutcome,
        status: MemberStatus | None,
        now: float,
    ) -> None:
        """Record a member's reply to the promise request."""
        if outcome is CommandOutcome.DONE and status is not None:
            self.promises[instance] = status
        else:
            self.failed_promises.add(instance)
        if self.majority_at is None and len(self.promises) >= self.majority:
            self.majority_at = now

    def cannot_reach_majority(self) -> bool:
        """Whether a majority of promises is no longer possible."""
        return len(self.order) - len(self.failed_promises) < self.majority

    def ready(self, now: float, grace: float) -> bool:
        """Whether to promote now: a majority promised, and the rest replied or `grace` is over."""
        if self.majority_at is None:
            return False
        replied = self.promises.keys() | self.failed_promises
        return self.expected <= replied or now >= self.majority_at + grace

    def can_skip_lost_primary(self) -> bool:
        """Whether the choice can exclude a lost primary, or does not need to."""
        return (
            self.cause not in LOST_PRIMARY_CAUSES
            or len(self._promises_without_old_primary()) >= self.majority
        )

    def choose(self) -> InstanceId:
        """Choose and record the member to promote at this term."""
        self.chosen = choose_primary(self._candidates(), self.order, self.target)
        return self.chosen

    def _candidates(self) -> dict[InstanceId, MemberStatus]:
        """Return the promises to choose from.

        A lost primary is excluded if the others form a majority without it: it may answer this
        watcher and yet be cut off from the members that must append its writes. Entries that only
        it has were never acknowledged.
        """
        others = self._promises_without_old_primary()
        if self.cause in LOST_PRIMARY_CAUSES and len(others) >= self.majority:
            return others
        return self.promises

    def _promises_without_old_primary(self) -> dict[InstanceId, MemberStatus]:
        return {name: status for name, status in self.promises.items() if name != self.old_primary}
