"""Outlier ejection: databases where statements fail, hang or run slowly get no reads for a while.

Only the outcome of statements counts, never a database's own health report. An ejected database
returns through probation (a few reads, one at a time) and then a slow start. An ejection that
follows soon after the previous one lasts longer, so that a flapping database costs less and less.

Statements that only a leader can run are sent there regardless of its state here.
"""

from collections.abc import Sequence
from enum import IntEnum, StrEnum
from typing import NamedTuple

from bramblebeam.core.identity import InstanceId

FIRST_EJECTION = 0.5
"""Duration of a first ejection (seconds): about as long as a refused caller waits before it
retries, and long enough for the reads in flight there to be answered elsewhere."""
MAX_EJECTION = 2.0
"""Maximum duration of an ejection (seconds). A database that has recovered for good is missed
for no longer, however often it failed before. A failed probation costs one read a part of its
time; a missing database costs each read of its region the round trip to another one."""
EJECTION_GROWTH = 2.0
"""Factor by which each further ejection lasts longer."""
EJECTION_DECAY_SECONDS = 8.0
"""Each such period in service cancels one earlier ejection. It is longer than a flapping
database stays up, which would otherwise start from the shortest ejection each time."""
MAX_FAILED_SHARE = 0.25
"""A database that fails this part of its attempts is ejected: each failure costs a second
attempt, and its caller the time of both. Lower shares only raise the expected completion time."""
MIN_ATTEMPTS = 6.0
"""Recent attempts needed before the failure rate is used: two failures out of two happen to a
healthy database whose connections were reset."""
ATTEMPTS_HALF_LIFE = 1.0
"""Half-life of an attempt's weight (seconds): a caller's timeout is a second or two."""
SLOW_FACTOR = 4.0
"""A database that takes this many times as long as the fastest of its group is ejected: a read
there lasts longer than an attempt at each other database of the group, one after the other."""
MIN_SERVED = 8.0
"""Recent answers needed before a database's speed is used."""
SPEED_SMOOTHING = 0.1
"""Weight of one answer in a database's mean service time: a kind of statement that takes ten
times as long as the others does not make it look slow by itself."""
PROBES = 3
"""Consecutive reads that must succeed in probation before a database is back in service."""
PROBE_INTERVAL = 0.05
"""Time between the reads of a probation (seconds): a database that fails half of them is
detected before it has received a noticeable part of the reads."""
SLOW_START = 1.0
"""A database that is back gets a growing part of its reads for this time (seconds): its caches
are cold, and connections to it must be opened."""
SLOW_START_SHARE = 0.2
"""The initial part of its reads in a slow start."""


class Cause(StrEnum):
    """Why a database was ejected."""

    FAILING = "failing"
    SILENT = "silent"
    SLOW = "slow"


class EjectionState(IntEnum):
    """The state of a database as seen by this node."""

    IN_SERVICE = 1
    EJECTED = 2
    ON_PROBATION = 3


class EjectionStateChange(NamedTuple):
    """A database was ejected or is back in service.

    `seconds`: the minimum duration of the ejection, or how long the database was out of service.
    """

    instance: InstanceId
    state: EjectionState
    cause: Cause
    seconds: float


class _DatabaseStats:
    """Statistics of one database at this node. Times: monotonic clock, seconds."""

    def __init__(self, now: float) -> None:
        self.state = EjectionState.IN_SERVICE
        self.cause = Cause.FAILING
        self.attempts = 0.0
        self.failures = 0.0
        self.updated_at = now
        self.mean_seconds = 0.0
        self.served = 0.0
        self.recent_ejections = 0
        self.ejected_at = now
        self.changed_at = float("-inf")
        self.ejected_until = now
        self.reinstated_at = float("-inf")
        self.probed_at = float("-inf")
        self.probes_served = 0
        self.credit = 0.0

    def record_attempt(self, failed: bool, now: float) -> None:
        """Record the outcome of an attempt."""
        decay = self._decay(now)
        self.updated_at = max(now, self.updated_at)
        self.attempts = self.attempts * decay + 1.0
        self.failures = self.failures * decay + failed

    def error_share(self, now: float) -> float:
        """Return the part of recent attempts that failed; few attempts weigh little."""
        decay = self._decay(now)
        return self.failures * decay / max(MIN_ATTEMPTS, self.attempts * decay)

    def _decay(self, now: float) -> float:
        """Return the current weight of the attempts recorded so far."""
        half_lives = max(0.0, now - self.updated_at) / ATTEMPTS_HALF_LIFE
        return float(0.5**half_lives)

    def reset(self) -> None:
        """Clear the statistics: they don't apply to a database that is back after an ejection."""
        self.attempts = self.failures = 0.0
        self.mean_seconds = self.served = 0.0


class Ejector:
    """Tracks the state of databases at one node by the outcome of statements sent there.

    Times: monotonic clock, seconds. State changes are returned, for the log.
    """

    def __init__(self) -> None:
        self._stats: dict[InstanceId, _DatabaseStats] = {}

    def keep_only(self, known: Sequence[InstanceId]) -> None:
        """Remove databases that are gone."""
        for instance in self._stats.keys() - set(known):
            del self._stats[instance]

    def state(self, instance: InstanceId, now: float) -> EjectionState:
        """Return the state of a database."""
        stats = self._stats.get(instance)
        if stats is None:
            return EjectionState.IN_SERVICE
        if stats.state is EjectionState.EJECTED and now >= stats.ejected_until:
            stats.state = EjectionState.ON_PROBATION
            stats.probes_served = 0
        return stats.state

    def error_share(self, instance: InstanceId, now: float) -> float:
        """Return the part of recent attempts at a database that failed, 0 to 1."""
        stats = self._stats.get(instance)
        return 0.0 if stats is None else stats.error_share(now)

    def service_time(self, instance: InstanceId) -> float | None:
        """Return a database's mean service time (seconds), or None if too few answers were seen."""
        stats = self._stats.get(instance)
        if stats is None or stats.served < MIN_SERVED:
            return None
        return stats.mean_seconds

    def usable(self, instances: Sequence[InstanceId], now: float) -> list[InstanceId]:
        """Return the databases that the next read may go to, or all of them if none is eligible.

        A database on probation is included only when its next probe is due. The caller reports the
        chosen one by `record_sent`.
        """
        found = [instance for instance in instances if self._is_eligible(instance, now)]
        return found or list(instances)

    def is_unresponsive(self, instance: InstanceId, now: float) -> bool:
        """Return whether a database is ejected because it gave no answers."""
        is_ejected = self.state(instance, now) is EjectionState.EJECTED
        return is_ejected and self._stats[instance].cause is Cause.SILENT

    def record_sent(self, instance: InstanceId, now: float) -> None:
        """Record that a read is sent to a database."""
        stats = self._stats.get(instance)
        if stats is not None and stats.state is EjectionState.ON_PROBATION:
            stats.probed_at = now

    def record_served(
        self, instance: InstanceId, seconds: float, began: float, now: float
    ) -> EjectionStateChange | None:
        """Record a statement that started at `began` and occupied a slot for `seconds`."""
        stats = self._stats_of(instance, now)
        if began <= stats.changed_at:
            return None
        stats.record_attempt(False, now)
        stats.served += 1.0
        # Equal weights at first: the first answer alone is not representative.
        weight = max(SPEED_SMOOTHING, 1.0 / stats.served)
        stats.mean_seconds += weight * (max(0.0, seconds) - stats.mean_seconds)
        if stats.state is not EjectionState.ON_PROBATION:
            return None
        stats.probes_served += 1
        return self._reinstate(instance, stats, now) if stats.probes_served >= PROBES else None

    def record_failed(
        self, instance: InstanceId, began: float, now: float
    ) -> EjectionStateChange | None:
        """Record a failed attempt that started at `began`.

        Refusals by a database that is full or behind are not failures.
        """
        stats = self._stats_of(instance, now)
        if began <= stats.changed_at:
            # It was sent before the last state change, and doesn't reflect the time after it.
            return None
        stats.record_attempt(True, now)
        if self.state(instance, now) is EjectionState.ON_PROBATION:
            return self._eject(instance, stats, Cause.FAILING, now)
        if stats.attempts < MIN_ATTEMPTS or stats.error_share(now) < MAX_FAILED_SHARE:
            return None
        return self._eject(instance, stats, Cause.FAILING, now)

    def record_unresponsive(
        self, instance: InstanceId, began: float, now: float
    ) -> EjectionStateChange | None:
        """Record a timeout: nothing at all was received from a database since `began`."""
        stats = self._stats_of(instance, now)
        if began <= stats.changed_at:
            return None
        return self._eject(instance, stats, Cause.SILENT, now)

    def compare(
        self, instance: InstanceId, others: Sequence[float], now: float
    ) -> EjectionStateChange | None:
        """Compare a database with the mean service times of its group's others (seconds)."""
        own = self.service_time(instance)
        if own is None or not others or own < SLOW_FACTOR * min(others):
            return None
        return self._eject(instance, self._stats_of(instance, now), Cause.SLOW, now)

    def _slow_start_share(self, instance: InstanceId, now: float) -> float:
        """Return the part of its reads that a database gets: less than all during a slow start."""
        stats = self._stats.get(instance)
        if stats is None:
            return 1.0
        growth = (now - stats.reinstated_at) / SLOW_START
        return min(1.0, max(SLOW_START_SHARE, growth))

    def _is_eligible(self, instance: InstanceId, now: float) -> bool:
        state = self.state(instance, now)
        if state is EjectionState.ON_PROBATION:
            return now - self._stats[instance].probed_at >= PROBE_INTERVAL
        return state is EjectionState.IN_SERVICE and self._passes_slow_start(instance, now)

    def _passes_slow_start(self, instance: InstanceId, now: float) -> bool:
        """Return whether the next read is within the database's slow-start share."""
        share = self._slow_start_share(instance, now)
        if share >= 1.0:
            return True
        stats = self._stats[instance]
        stats.credit += share
        if stats.credit < 1.0:
            return False
        stats.credit -= 1.0
        return True

    def _eject(
        self, instance: InstanceId, stats: _DatabaseStats, cause: Cause, now: float
    ) -> EjectionStateChange | None:
        if self.state(instance, now) is EjectionState.EJECTED:
            return None
        if stats.state is EjectionState.IN_SERVICE and stats.recent_ejections > 0:
            expired = int((now - stats.reinstated_at) / EJECTION_DECAY_SECONDS)
            stats.recent_ejections = max(0, stats.recent_ejections - expired)
        seconds = min(MAX_EJECTION, FIRST_EJECTION * EJECTION_GROWTH**stats.recent_ejections)
        stats.recent_ejections += 1
        if stats.state is EjectionState.IN_SERVICE:
            stats.ejected_at = now
        stats.state = EjectionState.EJECTED
        stats.cause = cause
        stats.changed_at = now
        stats.ejected_until = now + seconds
        stats.reset()
        return EjectionStateChange(instance, EjectionState.EJECTED, cause, seconds)

    @staticmethod
    def _reinstate(instance: InstanceId, stats: _DatabaseStats, now: float) -> EjectionStateChange:
        stats.state = EjectionState.IN_SERVICE
        stats.reinstated_at = now
        stats.credit = 0.0
        stats.reset()
        seconds_out = now - stats.ejected_at
        return EjectionStateChange(instance, EjectionState.IN_SERVICE, stats.cause, seconds_out)

    def _stats_of(self, instance: InstanceId, now: float) -> _DatabaseStats:
        stats = self._stats.get(instance)
        if stats is None:
            stats = self._stats[instance] = _DatabaseStats(now)
        return stats
