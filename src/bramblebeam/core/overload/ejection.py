"""Databases that get no reads for a while, as those sent there fared badly.

What counts is how statements fared, never what a database says of its health. An ejected one comes
back by probation, a few reads one at a time, and then by a slow start. Each ejection that follows
soon after the one before lasts longer, so that one that flaps costs less and less.

What only a leader can run goes there whatever is said here.
"""

from collections.abc import Sequence
from enum import IntEnum, StrEnum
from typing import NamedTuple

from bramblebeam.core.identity import InstanceId

FIRST_EJECTION = 0.5
"""Seconds of a first ejection: about as long as a caller that is refused waits before it asks
again, and long enough for the reads under way there to be answered elsewhere."""
MAX_EJECTION = 2.0
"""Seconds: one that recovered for good is missed for no longer, however often it had failed. A
probation in vain costs one read a part of its time; a database that is missed costs each read of
its region the way to another one."""
EJECTION_GROWTH = 2.0
"""Each further ejection lasts so many times as long."""
CALM_SECONDS = 8.0
"""After so long in service one ejection is forgotten. Longer than a database that goes down and up
by turns stays up, as it would start from the shortest time each time."""
FAILED_SHARE = 0.25
"""A database that fails so much of its attempts is ejected: each of these costs a second attempt,
and its caller the time of both. What is below is a matter of the expected completion."""
MIN_ATTEMPTS = 6.0
"""Attempts (the latest ones) before a share of failures means anything: two in vain out of two
happen to a healthy database whose connections were reset."""
ATTEMPTS_HALF_LIFE = 1.0
"""An attempt counts for half after so long (seconds): a caller's patience is a second or two."""
SLOW_FACTOR = 4.0
"""One that takes so many times as long as the fastest of its group is ejected: a read there lasts
longer than an attempt in each other database of the group, one after the other."""
MIN_SERVED = 8.0
"""Answers (the latest ones) before a database's speed means anything."""
SPEED_SMOOTHING = 0.1
"""Weight of an answer in a database's usual time: a kind of statement that takes ten times as long
as the others does not make it look slow by itself."""
PROBES = 3
"""Reads in a row that are served during probation before a database takes its share again."""
PROBE_INTERVAL = 0.05
"""Between the reads of a probation (seconds): one that fails half of them is found out before it
has got a noticeable part of the reads."""
SLOW_START = 1.0
"""A database that came back gets a growing part of its reads for so long (seconds): its caches are
cold, and connections to it are to be opened."""
SLOW_START_SHARE = 0.2
"""The part that it begins with."""


class Cause(StrEnum):
    """Why a database was ejected."""

    FAILING = "failing"
    SILENT = "silent"
    SLOW = "slow"


class EjectionState(IntEnum):
    """How a database stands at this node."""

    IN_SERVICE = 1
    EJECTED = 2
    ON_PROBATION = 3


class EjectionStateChange(NamedTuple):
    """A database was ejected or is back. `seconds`: how long at least, or how long it was gone."""

    instance: InstanceId
    state: EjectionState
    cause: Cause
    seconds: float


class _Record:
    """What this node has seen of one database. Times: steady clock, seconds."""

    def __init__(self, now: float) -> None:
        self.standing = EjectionState.IN_SERVICE
        self.cause = Cause.FAILING
        self.attempts = 0.0
        self.failures = 0.0
        self.counted_at = now
        self.seconds = 0.0
        self.served = 0.0
        self.level = 0
        self.ejected_at = now
        self.changed_at = float("-inf")
        self.until = now
        self.back_at = float("-inf")
        self.probed_at = float("-inf")
        self.probes_served = 0
        self.credit = 0.0

    def count(self, failed: bool, now: float) -> None:
        """Count an attempt."""
        kept = self._kept(now)
        self.counted_at = max(now, self.counted_at)
        self.attempts = self.attempts * kept + 1.0
        self.failures = self.failures * kept + failed

    def error_share(self, now: float) -> float:
        """Return the part of the latest attempts that was in vain; few of them tell little."""
        kept = self._kept(now)
        return self.failures * kept / max(MIN_ATTEMPTS, self.attempts * kept)

    def _kept(self, now: float) -> float:
        """Return how much of the attempts counted so far still counts."""
        half_lives = max(0.0, now - self.counted_at) / ATTEMPTS_HALF_LIFE
        return float(0.5**half_lives)

    def forget_attempts(self) -> None:
        """Begin anew: what was before an ejection says nothing of a database that is back."""
        self.attempts = self.failures = 0.0
        self.seconds = self.served = 0.0


class Ejector:
    """The standing of databases at one node, by how statements fared there.

    Times: steady clock, seconds. What changed is returned, for the log.
    """

    def __init__(self) -> None:
        self._records: dict[InstanceId, _Record] = {}

    def keep_only(self, known: Sequence[InstanceId]) -> None:
        """Forget databases that are gone."""
        for instance in self._records.keys() - set(known):
            del self._records[instance]

    def state(self, instance: InstanceId, now: float) -> EjectionState:
        """Return how a database stands."""
        record = self._records.get(instance)
        if record is None:
            return EjectionState.IN_SERVICE
        if record.standing is EjectionState.EJECTED and now >= record.until:
            record.standing = EjectionState.ON_PROBATION
            record.probes_served = 0
        return record.standing

    def error_share(self, instance: InstanceId, now: float) -> float:
        """Return the part of the latest attempts at a database that was in vain, 0 to 1."""
        record = self._records.get(instance)
        return 0.0 if record is None else record.error_share(now)

    def service_time(self, instance: InstanceId) -> float | None:
        """Return how long a statement usually takes there (seconds); None: too few were seen."""
        record = self._records.get(instance)
        if record is None or record.served < MIN_SERVED:
            return None
        return record.seconds

    def usable(self, instances: Sequence[InstanceId], now: float) -> list[InstanceId]:
        """Return which of some databases the next read may go to: all, where none may.

        One on probation is among them only when its next read is due. `note_sent` tells that it
        was chosen.
        """
        found = [instance for instance in instances if self._admits(instance, now)]
        return found or list(instances)

    def is_unresponsive(self, instance: InstanceId, now: float) -> bool:
        """Whether a database is ejected as it gave no answers."""
        is_ejected = self.state(instance, now) is EjectionState.EJECTED
        return is_ejected and self._records[instance].cause is Cause.SILENT

    def record_sent(self, instance: InstanceId, now: float) -> None:
        """Note that a read goes to a database."""
        record = self._records.get(instance)
        if record is not None and record.standing is EjectionState.ON_PROBATION:
            record.probed_at = now

    def record_served(
        self, instance: InstanceId, seconds: float, began: float, now: float
    ) -> EjectionStateChange | None:
        """Note a statement that was begun then, and took a slot for `seconds`."""
        record = self._record(instance, now)
        if began <= record.changed_at:
            return None
        record.count(False, now)
        record.served += 1.0
        # The first few count evenly: one of them alone says nothing of the rest.
        weight = max(SPEED_SMOOTHING, 1.0 / record.served)
        record.seconds += weight * (max(0.0, seconds) - record.seconds)
        if record.standing is not EjectionState.ON_PROBATION:
            return None
        record.probes_served += 1
        return self._take_back(instance, record, now) if record.probes_served >= PROBES else None

    def record_failed(
        self, instance: InstanceId, began: float, now: float
    ) -> EjectionStateChange | None:
        """Note an attempt in vain, begun then. A full database, or one that is behind, is none."""
        record = self._record(instance, now)
        if began <= record.changed_at:
            # It was sent before the last ejection, and says nothing of the time after it.
            return None
        record.count(True, now)
        if self.state(instance, now) is EjectionState.ON_PROBATION:
            return self._eject(instance, record, Cause.FAILING, now)
        if record.attempts < MIN_ATTEMPTS or record.error_share(now) < FAILED_SHARE:
            return None
        return self._eject(instance, record, Cause.FAILING, now)

    def record_unresponsive(
        self, instance: InstanceId, began: float, now: float
    ) -> EjectionStateChange | None:
        """Note that nothing at all has come from a database since then, too long for an answer."""
        record = self._record(instance, now)
        if began <= record.changed_at:
            return None
        return self._eject(instance, record, Cause.SILENT, now)

    def compare(
        self, instance: InstanceId, others: Sequence[float], now: float
    ) -> EjectionStateChange | None:
        """Compare a database with the usual times of its group's others (seconds)."""
        own = self.service_time(instance)
        if own is None or not others or own < SLOW_FACTOR * min(others):
            return None
        return self._eject(instance, self._record(instance, now), Cause.SLOW, now)

    def _share(self, instance: InstanceId, now: float) -> float:
        """Return which part of its reads a database gets, less than all after it came back."""
        record = self._records.get(instance)
        if record is None:
            return 1.0
        grown = (now - record.back_at) / SLOW_START
        return min(1.0, max(SLOW_START_SHARE, grown))

    def _admits(self, instance: InstanceId, now: float) -> bool:
        standing = self.state(instance, now)
        if standing is EjectionState.ON_PROBATION:
            return now - self._records[instance].probed_at >= PROBE_INTERVAL
        return standing is EjectionState.IN_SERVICE and self._has_turn(instance, now)

    def _has_turn(self, instance: InstanceId, now: float) -> bool:
        """Whether the next read is one of those that a database gets while it starts slowly."""
        share = self._share(instance, now)
        if share >= 1.0:
            return True
        record = self._records[instance]
        record.credit += share
        if record.credit < 1.0:
            return False
        record.credit -= 1.0
        return True

    def _eject(
        self, instance: InstanceId, record: _Record, cause: Cause, now: float
    ) -> EjectionStateChange | None:
        if self.state(instance, now) is EjectionState.EJECTED:
            return None
        if record.standing is EjectionState.IN_SERVICE and record.level > 0:
            forgotten = int((now - record.back_at) / CALM_SECONDS)
            record.level = max(0, record.level - forgotten)
        seconds = min(MAX_EJECTION, FIRST_EJECTION * EJECTION_GROWTH**record.level)
        record.level += 1
        if record.standing is EjectionState.IN_SERVICE:
            record.ejected_at = now
        record.standing = EjectionState.EJECTED
        record.cause = cause
        record.changed_at = now
        record.until = now + seconds
        record.forget_attempts()
        return EjectionStateChange(instance, EjectionState.EJECTED, cause, seconds)

    @staticmethod
    def _take_back(instance: InstanceId, record: _Record, now: float) -> EjectionStateChange:
        record.standing = EjectionState.IN_SERVICE
        record.back_at = now
        record.credit = 0.0
        record.forget_attempts()
        gone = now - record.ejected_at
        return EjectionStateChange(instance, EjectionState.IN_SERVICE, record.cause, gone)

    def _record(self, instance: InstanceId, now: float) -> _Record:
        record = self._records.get(instance)
        if record is None:
            record = self._records[instance] = _Record(now)
        return record
