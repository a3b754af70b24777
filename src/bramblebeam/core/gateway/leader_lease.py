"""A node's lease on the leader of a group: for how long the node may still use it.

A promotion may leave the former leader in the belief that it leads, so that its own word proves
nothing. Who changes a primary first pauses every other member and waits for `WAIT_SECONDS`. A node
that knows of a member that was not paused at some moment may therefore use the leader for
`LEASE_SECONDS` from that moment on. There are two ways to know: the member says so itself, or it
has received something that the leader committed later. Times are seconds of the steady clock.
"""

from collections import deque

from bramblebeam.core.gateway.floors import Watermark
from bramblebeam.core.identity import Position

LEASE_SECONDS = 0.8
"""For how long one confirmation holds."""
WAIT_SECONDS = 0.9
"""For how long a change of primary waits: the lease, and what was sent at its end may run."""
POSITION_RENEWAL_SECONDS = 0.3
"""A confirmation older than this is renewed by what members have received, if there is news."""
STATUS_RENEWAL_SECONDS = 0.6
"""A confirmation older than this is renewed by the status of a member, which takes a slot."""
SEND_MARGIN = 0.03
"""Nothing is sent in the last moments of a lease."""
MAXIMUM_PROOFS = 64
PROOF_SPACING = 0.02
"""Proofs that follow each other within so long are kept as one."""


class LeaderLease:
    """The lease on one leader. `term`: the newest that it is known to lead."""

    def __init__(self, term: int) -> None:
        self.term = term
        self.confirmed_at = float("-inf")
        self._proofs: deque[Watermark] = deque(maxlen=MAXIMUM_PROOFS)

    def covers(self, time: float) -> bool:
        """Whether the leader was, or will be, the only one at `time`."""
        return time < self.confirmed_at + LEASE_SECONDS

    def may_send(self, now: float) -> bool:
        """Whether something that only the leader may run can be sent now."""
        return self.covers(now + SEND_MARGIN)

    def record_proof(self, proof: Watermark) -> None:
        """Take the leader's position: what it commits later is beyond it."""
        last = self._proofs[-1].queried_at if self._proofs else float("-inf")
        if proof.queried_at - last >= PROOF_SPACING:
            self._proofs.append(proof)

    def is_contradicted_by(self, follows: int, held: int) -> bool:
        """Whether the word of another member speaks against this leader; see `note_status`."""
        return max(follows, held) > self.term

    def record_status(self, follows: int, held: int, asked_at: float) -> bool:
        """Take the word of another member; False: it speaks against this leader.

        `follows`: the newest term that the member has heard of. `held`: the term that it was told
        to receive from next, 0 where it was told nothing.
        """
        if self.is_contradicted_by(follows, held):
            return False
        self.confirmed_at = max(self.confirmed_at, asked_at)
        return True

    def record_received(self, position: Position) -> bool:
        """Take the position of another member; False: it is of a newer term."""
        if position.term > self.term:
            return False
        self.confirmed_at = max(self.confirmed_at, self.unpaused_at(position))
        while self._proofs and self._proofs[0].queried_at <= self.confirmed_at:
            self._proofs.popleft()
        return True

    def unpaused_at(self, position: Position) -> float:
        """Return the last proof's time from which on a member with `position` received, or -inf.

        What the leader committed after a proof was asked for, and the member has received, shows
        that the member was not paused when that proof was asked for.
        """
        passed = (
            proof.queried_at
            for proof in reversed(self._proofs)
            if _is_beyond(position, proof.position, self.term)
        )
        return next(passed, float("-inf"))


def _is_beyond(received: Position, proven: Position, term: int) -> bool:
    """Whether `received` was committed in the leader's own term after `proven` was."""
    return received.term == term and received > proven
