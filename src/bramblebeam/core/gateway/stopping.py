"""What a node that stops as planned may still begin, and what it may close, and when.

Every moment is a share of the grace period: the time from the signal to stop to the kill.
"""

from __future__ import annotations

from enum import IntEnum

from bramblebeam.core.gateway.statements import Action

ADMITTING_SHARE = 0.3
"""Callers still arrive: the node is taken out only after some of its readiness probes have failed.
A session that is closed now may come back to this node."""
ADMITTING_SECONDS = 3.0
"""The same at most (seconds): two probes a second apart, and the way of the last caller."""
CLOSING_SHARE = 0.5
"""The part of the grace period that open transactions are given to end."""
LAST_ANSWER_SHARE = 5 / 6
"""A statement that begins late has to reach its time limit by then."""
ENDING_SHARE = 0.75
EXPIRY_SHARE = 0.9
"""What is unanswered by then is given a verdict. The rest is for the node's exit."""
EXIT_SECONDS = 0.3
"""What is left for the exit at least (seconds)."""
DRAIN_SHARE = 0.95
"""The share of the grace period after which a node exits even if a service still drains."""
QUIET_SECONDS = 0.1
"""A session at rest for this long is closed. Closed right behind an answer, it would often lose a
statement that is already on its way."""

_ANSWERED_BY_NODE = frozenset(
    {Action.SET, Action.PREPARE_READ, Action.PREPARE_WRITE, Action.DEALLOCATE, Action.ROLLBACK}
)


class StopPhase(IntEnum):
    """The phases of a planned stop, in order."""

    SERVING = 0
    """No stop was requested."""
    ADMITTING = 1
    """New sessions are accepted, and everything is served."""
    CLOSING = 2
    """No session is accepted; those at rest are closed, and no transaction begins."""
    ENDING = 3
    """Only statements that surely end in time begin; other transactions are ended."""
    REFUSING = 4
    """Nothing begins, and what has not been passed on is refused."""
    EXPIRED = 5
    """What is unanswered gets a verdict; every connection is closed."""


class PlannedStop:
    """The state of a node's planned stop. Times are seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._began: float | None = None
        self._grace = 0.0

    @property
    def has_begun(self) -> bool:
        """Whether the node stops."""
        return self._began is not None

    def begin(self, now: float, grace: float) -> None:
        """Start the stop; a further request to stop changes nothing. `grace`: seconds."""
        if self._began is None:
            self._began = now
            self._grace = grace

    def phase(self, now: float) -> StopPhase:
        """Return the phase of the stop."""
        if self._began is None:
            return StopPhase.SERVING
        passed = now - self._began
        for phase, end in _phase_ends(self._grace):
            if passed < end:
                return phase
        return StopPhase.EXPIRED

    def may_begin(self, action: Action, in_transaction: bool, limit: float, now: float) -> bool:
        """Return whether a statement may begin. `limit`: the time it may take, in seconds."""
        phase = self.phase(now)
        if phase <= StopPhase.ADMITTING or action in _ANSWERED_BY_NODE:
            return True
        if action in (Action.BEGIN, Action.BEGIN_READ) and not in_transaction:
            return False
        if phase is StopPhase.CLOSING:
            return True
        return phase is StopPhase.ENDING and now + limit <= self._at(LAST_ANSWER_SHARE)

    def may_close_resting(self, rested_since: float, now: float) -> bool:
        """Return whether a session without a statement and a transaction is to be closed."""
        return self.phase(now) > StopPhase.ADMITTING and now - rested_since >= QUIET_SECONDS

    def _at(self, share: float) -> float:
        assert self._began is not None
        return self._began + share * self._grace


def _phase_ends(grace: float) -> tuple[tuple[StopPhase, float], ...]:
    """Return each phase of a stop, and when it ends (seconds from its beginning)."""
    return (
        (StopPhase.ADMITTING, min(ADMITTING_SHARE * grace, ADMITTING_SECONDS)),
        (StopPhase.CLOSING, CLOSING_SHARE * grace),
        (StopPhase.ENDING, ENDING_SHARE * grace),
        (StopPhase.REFUSING, min(EXPIRY_SHARE * grace, grace - EXIT_SECONDS)),
    )
