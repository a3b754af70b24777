"""Which database a read goes to, where load decides that: told loads, completion and ejection."""

from __future__ import annotations

import logging
from collections.abc import Collection, Iterable
from typing import Protocol

from bramblebeam.core.gateway.owners import Distance
from bramblebeam.core.identity import GroupId, InstanceId, ZoneId
from bramblebeam.core.overload.completion import Candidate, ReadChooser
from bramblebeam.core.overload.ejection import Cause, EjectionState, EjectionStateChange, Ejector
from bramblebeam.core.overload.load import DatabaseLoad
from bramblebeam.core.overload.reported_loads import LoadReport, ReportedLoads
from bramblebeam.core.role import Role
from bramblebeam.core.tenants import TenantId
from bramblebeam.core.verdict import Reason, Refusal
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import DATABASE_BACK, DATABASE_EJECTED
from bramblebeam.services.gateway.metrics import GatewayMetrics
from bramblebeam.services.gateway.pool import LATE_SECONDS, DatabasePool
from bramblebeam.services.waiting import loop_time

logger = logging.getLogger(__name__)

ASSUMED_SERVICE = 0.02
"""Seconds at a database of which nothing is known yet."""
WAY = {Distance.ZONE: 0.001, Distance.REGION: 0.005, Distance.ELSEWHERE: 0.06}
"""The way to a database and back, and what bytes on it count for (seconds): some 40 ms between
regions of a continent, and half as much again, as bytes between regions are dear."""
LEAST_WEIGHT = 0.25
"""Below this a database that was told not to take work is asked again, as it may by then: the
read that finds out is refused at once."""
BEHIND_SECONDS = 0.1
"""A replica whose log lacked what every reader needs is not asked for so long."""
BEHIND_FAR_SECONDS = 0.5
"""The same for one of another region: to ask it in vain costs the way there and back."""

_TELLS_OF_DATABASE = (
    Reason.CONNECTION_LOST,
    Reason.DEADLINE,
    Reason.TRANSACTION_LOST,
    Reason.BACKEND_ERROR,
    Reason.UNREACHABLE,
)
"""What an attempt fails for at a database that is not well. One that is full, behind or replaced
is well."""


class Surroundings(Protocol):
    """What a node knows of where databases are, and who runs their statements."""

    def distance(self, zone: ZoneId) -> Distance:
        """Return how far a zone is from this node."""

    def runs_database(self, group: GroupId, zone: ZoneId) -> bool:
        """Whether this node runs the statements for a database: its own figures count then."""


class ReadTargets:
    """Keeps how databases stand and what was told of them, and chooses among them."""

    def __init__(self, surroundings: Surroundings, metrics: GatewayMetrics) -> None:
        self._surroundings = surroundings
        self._metrics = metrics
        self._told = ReportedLoads()
        self._ejector = Ejector()
        self._choosers: dict[GroupId, ReadChooser] = {}
        self._behind_until: dict[InstanceId, float] = {}
        self._silences: dict[InstanceId, float] = {}

    def keep_only(self, pools: Iterable[DatabasePool]) -> None:
        """Forget databases that are gone."""
        known = {pool.entry.instance for pool in pools}
        self._told.keep_only(known)
        self._ejector.keep_only(tuple(known))
        for kept in (self._behind_until, self._silences):
            for instance in kept.keys() - known:
                del kept[instance]

    # What statements and other nodes report.

    def take_told(self, loads: Iterable[DatabaseLoad]) -> None:
        """Take what another node told of databases that it serves."""
        self._told.update(loads, loop_time())

    def passed_on(self, instance: InstanceId) -> LoadReport | None:
        """Note that a read was sent to the node that runs a database's statements."""
        return self._told.record_sent(instance)

    def answered(self, counted: LoadReport | None) -> None:
        """Note that a read that was passed on has ended."""
        self._told.record_done(counted)

    def was_behind(self, pool: DatabasePool) -> None:
        """Note that a replica's log lacked what every reader needs."""
        is_far = self._is_far(pool)
        seconds = BEHIND_FAR_SECONDS if is_far else BEHIND_SECONDS
        self._behind_until[pool.entry.instance] = loop_time() + seconds

    def served(self, pool: DatabasePool, seconds: float) -> None:
        """Note a read that was served within `seconds`.

        What waits inside the database counts by its work: twice as many statements as slots take
        twice as long, which does not make the database slow.
        """
        now = loop_time()
        slots = max(1, pool.entry.slots)
        own_work = seconds / max(1.0, _under_way(pool) / slots)
        began = now - seconds
        self._log(pool, self._ejector.record_served(pool.entry.instance, own_work, began, now))

    def failed(self, pool: DatabasePool, refusal: Refusal, began: float) -> None:
        """Note an attempt in vain that was begun then (steady clock, seconds)."""
        is_full = refusal.reason is Reason.QUEUE_FULL
        is_idle = _under_way(pool) <= pool.entry.slots
        if refusal.reason in _TELLS_OF_DATABASE or (is_full and is_idle):
            change = self._ejector.record_failed(pool.entry.instance, began, loop_time())
            self._log(pool, change)

    # Choices.

    def choose(
        self,
        pools: Collection[DatabasePool],
        tenant: TenantId,
        stays: bool = False,
        asks_behind: bool = False,
    ) -> DatabasePool | None:
        """Return the pool of the database that will probably answer a read first, or None.

        `stays`: it is the first of several statements that follow each other on one connection, so
        that each pays for the way: it leaves the region only where no database of it can serve.
        `asks_behind`: also one that was behind a moment ago.
        """
        now = loop_time()
        for pool in pools:
            self._look_at(pool, pools, now)
        current = [pool for pool in pools if asks_behind or not self._is_behind(pool, now)]
        usable = self._usable(current, now)
        if stays:
            usable = [pool for pool in usable if not self._is_far(pool)] or usable
        if not usable:
            return None
        candidates = [self._candidate(pool, tenant, now) for pool in usable]
        chooser = self._choosers.setdefault(usable[0].entry.group, ReadChooser())
        chosen = chooser.choose(candidates)
        if chosen is None:
            return None
        self._ejector.record_sent(chosen.instance, now)
        return next(pool for pool in usable if pool.entry.instance == chosen.instance)

    def is_silent(self, pool: DatabasePool) -> bool:
        """Whether a database gets no reads as it gave no answers."""
        now = loop_time()
        self._look_at(pool, (), now)
        return self._ejector.is_unresponsive(pool.entry.instance, now)

    def loads(self, pools: Iterable[DatabasePool]) -> tuple[DatabaseLoad, ...]:
        """Return what other nodes are told of the databases whose statements this node runs.

        Nothing is told of one that is in service and whose speed is not known yet.
        """
        now = loop_time()
        loads = [self._own_load(pool, now) for pool in pools if self._is_own(pool)]
        return tuple(load for load in loads if self._is_worth_telling(load))

    def _is_worth_telling(self, load: DatabaseLoad) -> bool:
        return not load.usable or self._ejector.service_time(load.instance) is not None

    def _usable(self, pools: list[DatabasePool], now: float) -> list[DatabasePool]:
        """Return the pools of databases that are not ejected, here or where they are served."""
        taken = [pool for pool in pools if self._takes_work(pool, now)] or pools
        admitted = self._ejector.usable([pool.entry.instance for pool in taken], now)
        return [pool for pool in taken if pool.entry.instance in admitted]

    def _takes_work(self, pool: DatabasePool, now: float) -> bool:
        """Whether the node that runs a database's statements said that it takes work."""
        told = self._told.find(pool.entry.instance, now)
        is_old = told is None or told.weight < LEAST_WEIGHT
        return is_old or self._is_own(pool) or told is None or told.load.usable

    def _candidate(self, pool: DatabasePool, tenant: TenantId, now: float) -> Candidate:
        entry = pool.entry
        is_far = self._is_far(pool)
        told = None if self._is_own(pool) else self._told.find(entry.instance, now)
        load = self._own_load(pool, now) if told is None else told.load
        weight = 1.0 if told is None else told.weight
        opens = not is_far and not pool.has_idle(tenant)
        return Candidate(
            entry.instance,
            wait=load.wait * weight,
            service=load.service * weight + ASSUMED_SERVICE * (1.0 - weight),
            network_cost=WAY[self._surroundings.distance(entry.zone)],
            connect_time=pool.open_seconds if opens else 0.0,
            slots=entry.slots,
            sent=0 if told is None else told.sent,
            error_share=load.error_share * weight,
            is_far=is_far,
            is_leader=entry.role is Role.PRIMARY,
        )

    def _own_load(self, pool: DatabasePool, now: float) -> DatabaseLoad:
        """Return a database's load as far as this node sees it."""
        instance = pool.entry.instance
        service = self._ejector.service_time(instance) or ASSUMED_SERVICE
        is_in_service = self._ejector.state(instance, now) is EjectionState.IN_SERVICE
        usable = is_in_service and not pool.entry.leaving and not self._is_behind(pool, now)
        return DatabaseLoad(
            instance,
            _wait(pool, service),
            service,
            self._ejector.error_share(instance, now),
            usable,
        )

    # Ejection.

    def _look_at(self, pool: DatabasePool, group: Collection[DatabasePool], now: float) -> None:
        """Eject a database that was silent since the last look, or is far slower than its like."""
        instance = pool.entry.instance
        silent_since = pool.unresponsive_since
        if silent_since is not None and silent_since > self._silences.get(instance, 0.0):
            self._silences[instance] = silent_since
            if silent_since - pool.received_at >= LATE_SECONDS:
                asked_at = silent_since - LATE_SECONDS
                self._log(pool, self._ejector.record_unresponsive(instance, asked_at, now))
        if pool.entry.role is Role.REPLICA and self._is_own(pool):
            likes = self._services_of_likes(pool, group, now)
            self._log(pool, self._ejector.compare(instance, likes, now))

    def _services_of_likes(
        self, pool: DatabasePool, group: Collection[DatabasePool], now: float
    ) -> list[float]:
        """Return the usual times of the group's other replicas, which get reads as this one does.

        A leader runs other statements beside them, and tells nothing of a replica's speed.
        """
        found = []
        for other in group:
            if other is pool or other.entry.role is not Role.REPLICA:
                continue
            told = self._told.find(other.entry.instance, now)
            own = self._ejector.service_time(other.entry.instance) if self._is_own(other) else None
            if told is not None and told.load.usable:
                found.append(told.load.service)
            elif own is not None:
                found.append(own)
        return found

    def _log(self, pool: DatabasePool, change: EjectionStateChange | None) -> None:
        if change is None:
            return
        is_back = change.state is EjectionState.IN_SERVICE
        event = DATABASE_BACK if is_back else DATABASE_EJECTED
        log_event(
            logger,
            event,
            group=pool.entry.group,
            instance=change.instance,
            cause=change.cause.value,
            seconds=round(change.seconds, 3),
        )
        if change.cause is Cause.SILENT and not is_back:
            self._turn_away(pool)
        if not is_back:
            self._metrics.database_ejected(change.cause.value)

    @staticmethod
    def _turn_away(pool: DatabasePool) -> None:
        """Let the reads that wait for a replica's slots go elsewhere.

        Those at a leader stay: what only it can run waits in the same queue.
        """
        if pool.slots is not None and pool.entry.role is Role.REPLICA:
            pool.slots.turn_away()

    def _is_behind(self, pool: DatabasePool, now: float) -> bool:
        return self._behind_until.get(pool.entry.instance, 0.0) > now

    def _is_own(self, pool: DatabasePool) -> bool:
        return self._surroundings.runs_database(pool.entry.group, pool.entry.zone)

    def _is_far(self, pool: DatabasePool) -> bool:
        return self._surroundings.distance(pool.entry.zone) is Distance.ELSEWHERE


def _under_way(pool: DatabasePool) -> int:
    """Return how many of this node's statements are at a database."""
    return pool.load if pool.slots is None else pool.slots.under_way


def _wait(pool: DatabasePool, service: float) -> float:
    """Return until when a statement that comes now would begin (seconds from now)."""
    if pool.slots is not None:
        return pool.slots.load().wait
    slots = max(1, pool.entry.slots)
    return service * max(0, pool.load + 1 - slots) / slots
