"""A node's lease on the leader of a group, which limits how long the node may use that leader.

After a promotion the former leader may still believe that it leads, so that its own status proves
nothing. A change of primary therefore first pauses every other member and waits for `WAIT_SECONDS`.
A node that knows of a member that was not paused at some time may use the leader for
`LEASE_SECONDS` from that time on. Either the member reports that it was not paused, or it has
received an entry that the leader committed later. Times are seconds of the monotonic clock.
"""

from collections import deque

from bramblebeam.core.gateway.floors import Watermark
from bramblebeam.core.identity import Position

LEASE_SECONDS = 0.8
"""How long one confirmation is valid."""
WAIT_SECONDS = 0.9
"""How long a change of primary waits: the lease, and time for what was sent at its end to run."""
POSITION_RENEWAL_SECONDS = 0.3
"""Age from which a confirmation is renewed by newly reported positions of members, if any."""
STATUS_RENEWAL_SECONDS = 0.6
"""Age from which a confirmation is renewed by a member's status, whose query takes a slot."""
SIGHTING_SECONDS = 3.0
"""How recently every other member must have been seen unpaused, or the store must have shown no
pending change, for a confirmation to count. A change of primary that ignores a member which may
still run waits this long in addition."""
SIGHTING_RENEWAL_SECONDS = 2.0
"""Age from which a sighting is renewed."""
SEND_MARGIN = 0.03
"""Final part of a lease in which nothing is sent."""
MAXIMUM_PROOFS = 64
PROOF_SPACING = 0.02
"""Minimum time between two retained proofs."""


class LeaderLease:
    """The lease on one leader. `term`: the newest term that it is known to lead."""

    def __init__(self, term: int) -> None:
        self.term = term
        self.confirmed_at = float("-inf")
        self._proofs: deque[Watermark] = deque(maxlen=MAXIMUM_PROOFS)

    def covers(self, time: float) -> bool:
        """Whether the leader is known to be the only one at `time`."""
        return time < self.confirmed_at + LEASE_SECONDS

    def may_send(self, now: float) -> bool:
        """Whether a statement that only the leader may run can be sent now."""
        return self.covers(now + SEND_MARGIN)

    def record_proof(self, proof: Watermark) -> None:
        """Record the leader's position: what it commits later lies beyond it."""
        last = self._proofs[-1].queried_at if self._proofs else float("-inf")
        if proof.queried_at - last >= PROOF_SPACING:
            self._proofs.append(proof)

    def is_contradicted_by(self, follows: int, held: int) -> bool:
        """Whether another member's status shows a newer term; see `record_status`."""
        return max(follows, held) > self.term

    def record_status(self, follows: int, held: int, queried_at: float) -> bool:
        """Record another member's status reply; return False if it contradicts this leader.

        `follows`: the newest term that the member knows. `held`: the term that the member was
        ordered to receive from next, 0 if none.
        """
        if self.is_contradicted_by(follows, held):
            return False
        self.confirmed_at = max(self.confirmed_at, queried_at)
        return True

    def record_received(self, position: Position) -> bool:
        """Record another member's received position; return False if its term is newer."""
        if position.term > self.term:
            return False
        self.confirmed_at = max(self.confirmed_at, self.unpaused_at(position))
        while self._proofs and self._proofs[0].queried_at <= self.confirmed_at:
            self._proofs.popleft()
        return True

    def record_store_clear(self, requested_at: float) -> None:
        """Record that the store showed no pending change to a request sent at `requested_at`.

        A change that it records later pauses the other members later still, and then waits.
        """
        self.confirmed_at = max(self.confirmed_at, requested_at)

    def unpaused_at(self, position: Position) -> float:
        """Return the latest time at which a member with `position` was surely not paused, or -inf.

        If the member has received what the leader committed after a proof was requested, it was
        not paused when that proof was requested.
        """
        passed = (
            proof.queried_at
            for proof in reversed(self._proofs)
            if _is_beyond(position, proof.position, self.term)
        )
        return next(passed, float("-inf"))


def _is_beyond(received: Position, proven: Position, term: int) -> bool:
    """Whether `received` was committed in the leader's own term after `proven`."""
    return received.term == term and received > proven
