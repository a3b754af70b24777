"""Chooses the database with the shortest expected completion time for a read.

The expected completion time is the sum of the wait there, the statement's own service time, the
network cost, and the cost of opening a connection. Three rules keep many nodes with the same data
from acting in lockstep: a node counts what it has sent itself until the next report, candidates
that are nearly equal share the reads by their speed, and only a part of the reads may leave a
region.
"""

from collections.abc import Sequence
from typing import NamedTuple

from bramblebeam.core.identity import InstanceId

LEADER_QUEUE_WEIGHT = 2.0
"""Factor on the wait at a leader: a read that a replica could serve delays writes that only the
leader can run."""
TIE_TOLERANCE = 0.15
"""Candidates whose expected completion times differ by at most this fraction share the reads.
The wait changes by more than that while an answer is on its way."""
LEAVE_MARGIN = 0.02
"""A read leaves its region if that saves at least this much beyond the round trip (seconds). It
is the duration of one typical statement, by which a wait may be misestimated."""
STAY_MARGIN = 0.0
"""Once reads leave, they continue to while it saves more than this (seconds). The gap between
the two margins keeps a region from switching back and forth with each statement."""
MAX_LEAVING_SHARE = 0.5
"""Maximum part of a region's reads that may leave because its own database has a queue. Reads
that leave shorten the local queue and lengthen a remote one, and both are known with a delay."""
LEAVING_WINDOW = 32.0
"""Number of reads over which that part is averaged: as many as a database serves in a few tenths
of a second, the interval at which a reported load is renewed."""


class Candidate(NamedTuple):
    """A database that could serve a read. Times in seconds.

    `wait`: until it would begin. `service`: service time at the database. `network_cost`: of the
    round trip, including a charge for traffic. `connect_time`: to open a connection, 0 if an idle
    one exists. `slots`: number of statements that run there in parallel. `sent`: statements that
    this node has sent since the wait was reported. `error_share`: of failed attempts there, 0 to 1.
    `is_far`: it is in another region. `is_leader`: it must run the group's writes.
    """

    instance: InstanceId
    wait: float
    service: float
    network_cost: float = 0.0
    connect_time: float = 0.0
    slots: int = 1
    sent: int = 0
    error_share: float = 0.0
    is_far: bool = False
    is_leader: bool = False


def expected_completion(candidate: Candidate) -> float:
    """Return the expected time until a read that is sent now is answered (seconds).

    A failed attempt costs its own time and that of the next attempt.
    """
    wait = candidate.wait + candidate.sent * candidate.service / max(1, candidate.slots)
    if candidate.is_leader:
        wait *= LEADER_QUEUE_WEIGHT
    attempt = wait + candidate.service + candidate.network_cost
    return attempt * (1.0 + candidate.error_share) + candidate.connect_time


class ReadChooser:
    """Chooses databases for the reads of one group at one node.

    It tracks which part of them left the region.
    """

    def __init__(self) -> None:
        self._leaving = False
        self._leaving_share = 0.0
        self._credits: dict[InstanceId, float] = {}

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Return the database for the next read, or None if there is no candidate."""
        near = [found for found in candidates if not found.is_far]
        far = [found for found in candidates if found.is_far]
        if not near or not far:
            return self._pick(near or far)
        return self._pick(far if self._should_leave(near, far) else near)

    def _should_leave(self, near: list[Candidate], far: list[Candidate]) -> bool:
        saved = min(map(expected_completion, near)) - min(map(expected_completion, far))
        self._leaving = saved > (STAY_MARGIN if self._leaving else LEAVE_MARGIN)
        leaves = self._leaving and self._leaving_share < MAX_LEAVING_SHARE
        self._leaving_share += (leaves - self._leaving_share) / LEAVING_WINDOW
        return leaves

    def _pick(self, candidates: list[Candidate]) -> Candidate | None:
        """Return the best candidate; nearly equal ones take turns in proportion to their speed.

        It is a smooth weighted round robin, which needs no random source and alternates between
        equal candidates.
        """
        if not candidates:
            return None
        times = {found.instance: expected_completion(found) for found in candidates}
        bound = min(times.values()) * (1.0 + TIE_TOLERANCE)
        close = [found for found in candidates if times[found.instance] <= bound]
        if len(close) == 1:
            return close[0]
        weights = {found.instance: 1.0 / max(times[found.instance], 1e-6) for found in close}
        total = sum(weights.values())
        new_credits = {
            instance: self._credits.get(instance, 0.0) + weight / total
            for instance, weight in weights.items()
        }
        chosen = max(close, key=lambda found: new_credits[found.instance])
        new_credits[chosen.instance] -= 1.0
        self._credits = new_credits
        return chosen
