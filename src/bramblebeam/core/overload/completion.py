"""Which database a read goes to: the one where it will probably be done first.

The expected completion is the wait there, the statement's own time, the way, and what opening a
connection costs. Three things keep many nodes with the same figures from acting as one: what a node
has sent itself counts until it is told more, close candidates are shared by their speed, and only a
part of the reads may leave a region.
"""

from collections.abc import Sequence
from typing import NamedTuple

from bramblebeam.core.identity import InstanceId

LEADER_QUEUE_WEIGHT = 2.0
"""A wait at a leader counts so many times: behind a read that a replica could serve stand writes
that only the leader can run."""
CLOSE = 0.15
"""Candidates whose expected completion differs by no more than this part are shared: less than a
wait changes while an answer is on its way."""
LEAVE_MARGIN = 0.02
"""A read leaves its region when that saves so much beyond the way there and back (seconds): as
much as one usual statement takes, by which a wait may be misjudged."""
STAY_MARGIN = 0.0
"""Reads go on leaving while it saves more than this (seconds): the gap between both margins keeps
a region from changing its mind with each statement."""
MAX_LEAVING_SHARE = 0.5
"""Part of a region's reads that may leave it because its own database has a queue. What leaves
shortens the queue here and lengthens one elsewhere, and both are known with a delay."""
LEAVING_MEMORY = 32.0
"""Reads over which that part is counted: as many as a database serves in a few tenths of a
second, in which a told load is renewed."""


class Candidate(NamedTuple):
    """A database that could serve a read. Times in seconds.

    `wait`: until it would begin. `service`: at the database. `way`: there and back, and what bytes
    on it count for. `opening`: of a connection, 0 where one rests. `slots`: statements that run
    there at a time. `sent`: by this node since the wait was known. `error_share`: of attempts there
    in vain, 0 to 1. `is_far`: it is in another region. `is_leader`: it must run the group's writes.
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
    """Return when a read sent now will probably be answered (seconds from now).

    An attempt in vain costs its time, and the next attempt.
    """
    wait = candidate.wait + candidate.sent * candidate.service / max(1, candidate.slots)
    if candidate.is_leader:
        wait *= LEADER_QUEUE_WEIGHT
    attempt = wait + candidate.service + candidate.network_cost
    return attempt * (1.0 + candidate.error_share) + candidate.connect_time


class ReadChooser:
    """Chooses for the reads of one group at one node. It keeps which of them left the region."""

    def __init__(self) -> None:
        self._leaves = False
        self._leaving_share = 0.0
        self._turns: dict[InstanceId, float] = {}

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Return where the next read goes; None: there is no candidate."""
        near = [found for found in candidates if not found.is_far]
        far = [found for found in candidates if found.is_far]
        if not near or not far:
            return self._share(near or far)
        return self._share(far if self._must_leave(near, far) else near)

    def _must_leave(self, near: list[Candidate], far: list[Candidate]) -> bool:
        saved = min(map(expected_completion, near)) - min(map(expected_completion, far))
        self._leaves = saved > (STAY_MARGIN if self._leaves else LEAVE_MARGIN)
        leaves = self._leaves and self._leaving_share < MAX_LEAVING_SHARE
        self._leaving_share += (leaves - self._leaving_share) / LEAVING_MEMORY
        return leaves

    def _share(self, candidates: list[Candidate]) -> Candidate | None:
        """Return the best one; those close to it take turns, the faster ones more of them.

        The turns are those of a smooth weighted round robin: no random source is needed, and equal
        candidates alternate.
        """
        if not candidates:
            return None
        times = {found.instance: expected_completion(found) for found in candidates}
        bound = min(times.values()) * (1.0 + CLOSE)
        close = [found for found in candidates if times[found.instance] <= bound]
        if len(close) == 1:
            return close[0]
        weights = {found.instance: 1.0 / max(times[found.instance], 1e-6) for found in close}
        whole = sum(weights.values())
        turns = {name: self._turns.get(name, 0.0) + part / whole for name, part in weights.items()}
        chosen = max(close, key=lambda found: turns[found.instance])
        turns[chosen.instance] -= 1.0
        self._turns = turns
        return chosen
