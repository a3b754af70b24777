"""Choice of a read's database under load: by reported loads, expected completion and ejection."""

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
from bramblebeam.events.catalogue import DATABASE_EJECTED, DATABASE_REINSTATED
from bramblebeam.services.gateway.metrics import GatewayMetrics
from bramblebeam.services.gateway.pool import LATE_SECONDS, DatabasePool
from bramblebeam.services.waiting import loop_time

logger = logging.getLogger(__name__)

DEFAULT_SERVICE_TIME = 0.02
"""Service time assumed for a database that was not measured yet (seconds)."""
NETWORK_COSTS = {Distance.ZONE: 0.001, Distance.REGION: 0.005, Distance.ELSEWHERE: 0.06}
"""Round trip to a database and a penalty for the traffic (seconds): some 40 ms between regions of a
continent, and half as much again, because traffic between regions is expensive."""
MIN_REPORT_WEIGHT = 0.25
"""Below this weight, a report that a database takes no work is ignored: the database may take work
again by then, and the read that finds out is refused at once."""
BEHIND_SECONDS = 0.1
"""How long a replica is skipped whose log lacked a position that every reader needs."""
BEHIND_FAR_SECONDS = 0.5
"""The same for a replica of another region, where a failed attempt costs the round trip."""

_UNHEALTHY_REASONS = (
    Reason.CONNECTION_LOST,
    Reason.DEADLINE,
    Reason.TRANSACTION_LOST,
    Reason.BACKEND_ERROR,
    Reason.UNREACHABLE,
)
"""Reasons of failed attempts that show that a database is unhealthy. A database that is full,
behind or replaced is healthy."""


class Topology(Protocol):
    """Where databases are, and which node runs their statements."""

    def distance(self, zone: ZoneId) -> Distance:
        """Return how far a zone is from this node."""

    def runs_database(self, group: GroupId, zone: ZoneId) -> bool:
        """Return whether this node runs a database's statements: its own figures are valid then."""


class ReadTargets:
    """Tracks the state and the reported load of databases, and chooses among them."""

    def __init__(self, topology: Topology, metrics: GatewayMetrics) -> None:
        self._topology = topology
        self._metrics = metrics
        self._reported = ReportedLoads()
        self._ejector = Ejector()
        self._choosers: dict[GroupId, ReadChooser] = {}
        self._behind_until: dict[InstanceId, float] = {}
        self._unresponsive_since: dict[InstanceId, float] = {}

    def keep_only(self, pools: Iterable[DatabasePool]) -> None:
        """Remove the state of databases that are gone."""
        known = {pool.entry.instance for pool in pools}
        self._reported.keep_only(known)
        self._ejector.keep_only(tuple(known))
        for kept in (self._behind_until, self._unresponsive_since):
            for instance in kept.keys() - known:
                del kept[instance]

    # Observations of statements, and reports of other nodes.

    def observe_reported_loads(self, loads: Iterable[DatabaseLoad]) -> None:
        """Store the loads that another node reported of databases that it serves."""
        self._reported.update(loads, loop_time())

    def record_forwarded(self, instance: InstanceId) -> LoadReport | None:
        """Record that a read was forwarded to the node that runs a database's statements."""
        return self._reported.record_sent(instance)

    def record_forwarded_done(self, counted: LoadReport | None) -> None:
        """Record that a forwarded read has ended."""
        self._reported.record_done(counted)

    def record_behind(self, pool: DatabasePool) -> None:
        """Record that a replica's log lacked a position that every reader needs."""
        is_far = self._is_far(pool)
        seconds = BEHIND_FAR_SECONDS if is_far else BEHIND_SECONDS
        self._behind_until[pool.entry.instance] = loop_time() + seconds

    def record_served(self, pool: DatabasePool, seconds: float) -> None:
        """Record a read that took `seconds`.

        The time is divided by the load of the database's slots: twice as many statements as slots
        take twice as long, which does not make the database slow.
        """
        now = loop_time()
        slots = max(1, pool.entry.slots)
        own_work = seconds / max(1.0, _in_flight(pool) / slots)
        began = now - seconds
        self._log(pool, self._ejector.record_served(pool.entry.instance, own_work, began, now))

    def record_failed(self, pool: DatabasePool, refusal: Refusal, began: float) -> None:
        """Record a failed attempt that began at `began` (monotonic clock, seconds)."""
        is_full = refusal.reason is Reason.QUEUE_FULL
        is_idle = _in_flight(pool) <= pool.entry.slots
        if refusal.reason in _UNHEALTHY_REASONS or (is_full and is_idle):
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
        """Return the pool of the database that is expected to answer a read first, or None.

        `stays`: the read is the first of several consecutive statements on one connection, each of
        which pays for the round trip; it leaves the region only if no database there can serve.
        `asks_behind`: include databases that were behind a moment ago.
        """
        now = loop_time()
        for pool in pools:
            self._check(pool, pools, now)
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

    def is_unresponsive(self, pool: DatabasePool) -> bool:
        """Return whether a database gets no reads because it gave no answers."""
        now = loop_time()
        self._check(pool, (), now)
        return self._ejector.is_unresponsive(pool.entry.instance, now)

    def loads(self, pools: Iterable[DatabasePool]) -> tuple[DatabaseLoad, ...]:
        """Return the loads to report to other nodes, of databases whose statements this node runs.

        A database that is in service is left out until its service time is known.
        """
        now = loop_time()
        loads = [self._own_load(pool, now) for pool in pools if self._is_own(pool)]
        return tuple(load for load in loads if self._is_reportable(load))

    def _is_reportable(self, load: DatabaseLoad) -> bool:
        return not load.usable or self._ejector.service_time(load.instance) is not None

    def _usable(self, pools: list[DatabasePool], now: float) -> list[DatabasePool]:
        """Return the pools of databases that are not ejected, here or where they are served."""
        accepting = [pool for pool in pools if self._takes_work(pool, now)] or pools
        admitted = self._ejector.usable([pool.entry.instance for pool in accepting], now)
        return [pool for pool in accepting if pool.entry.instance in admitted]

    def _takes_work(self, pool: DatabasePool, now: float) -> bool:
        """Return whether the node that runs a database's statements reported that it takes work."""
        report = self._reported.find(pool.entry.instance, now)
        is_outdated = report is None or report.weight < MIN_REPORT_WEIGHT
        return is_outdated or self._is_own(pool) or report is None or report.load.usable

    def _candidate(self, pool: DatabasePool, tenant: TenantId, now: float) -> Candidate:
        entry = pool.entry
        is_far = self._is_far(pool)
        report = None if self._is_own(pool) else self._reported.find(entry.instance, now)
        load = self._own_load(pool, now) if report is None else report.load
        weight = 1.0 if report is None else report.weight
        opens = not is_far and not pool.has_idle(tenant)
        return Candidate(
            entry.instance,
            wait=load.wait * weight,
            service=load.service * weight + DEFAULT_SERVICE_TIME * (1.0 - weight),
            network_cost=NETWORK_COSTS[self._topology.distance(entry.zone)],
            connect_time=pool.open_seconds if opens else 0.0,
            slots=entry.slots,
            sent=0 if report is None else report.sent,
            error_share=load.error_share * weight,
            is_far=is_far,
            is_leader=entry.role is Role.PRIMARY,
        )

    def _own_load(self, pool: DatabasePool, now: float) -> DatabaseLoad:
        """Return a database's load as seen by this node."""
        instance = pool.entry.instance
        service = self._ejector.service_time(instance) or DEFAULT_SERVICE_TIME
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

    def _check(self, pool: DatabasePool, group: Collection[DatabasePool], now: float) -> None:
        """Eject an unresponsive database, or a replica that is far slower than the others."""
        instance = pool.entry.instance
        silent_since = pool.unresponsive_since
        if silent_since is not None and silent_since > self._unresponsive_since.get(instance, 0.0):
            self._unresponsive_since[instance] = silent_since
            if silent_since - pool.received_at >= LATE_SECONDS:
                queried_at = silent_since - LATE_SECONDS
                self._log(pool, self._ejector.record_unresponsive(instance, queried_at, now))
        if pool.entry.role is Role.REPLICA and self._is_own(pool):
            replica_times = self._other_replica_times(pool, group, now)
            self._log(pool, self._ejector.compare(instance, replica_times, now))

    def _other_replica_times(
        self, pool: DatabasePool, group: Collection[DatabasePool], now: float
    ) -> list[float]:
        """Return the typical service times of the group's other replicas, which get the same reads.

        A leader runs other statements besides, so that its times say nothing about a replica.
        """
        found = []
        for other in group:
            if other is pool or other.entry.role is not Role.REPLICA:
                continue
            report = self._reported.find(other.entry.instance, now)
            own = self._ejector.service_time(other.entry.instance) if self._is_own(other) else None
            if report is not None and report.load.usable:
                found.append(report.load.service)
            elif own is not None:
                found.append(own)
        return found

    def _log(self, pool: DatabasePool, change: EjectionStateChange | None) -> None:
        if change is None:
            return
        is_back = change.state is EjectionState.IN_SERVICE
        event = DATABASE_REINSTATED if is_back else DATABASE_EJECTED
        log_event(
            logger,
            event,
            group=pool.entry.group,
            instance=change.instance,
            cause=change.cause.value,
            seconds=round(change.seconds, 3),
        )
        if change.cause is Cause.SILENT and not is_back:
            self._refuse_waiting_reads(pool)
        if not is_back:
            self._metrics.database_ejected(change.cause.value)

    @staticmethod
    def _refuse_waiting_reads(pool: DatabasePool) -> None:
        """Refuse the reads that wait for a replica's slots, so that they go elsewhere.

        Reads that wait at a leader stay: statements that only it can run wait in the same queue.
        """
        if pool.slots is not None and pool.entry.role is Role.REPLICA:
            pool.slots.refuse_waiting()

    def _is_behind(self, pool: DatabasePool, now: float) -> bool:
        return self._behind_until.get(pool.entry.instance, 0.0) > now

    def _is_own(self, pool: DatabasePool) -> bool:
        return self._topology.runs_database(pool.entry.group, pool.entry.zone)

    def _is_far(self, pool: DatabasePool) -> bool:
        return self._topology.distance(pool.entry.zone) is Distance.ELSEWHERE


def _in_flight(pool: DatabasePool) -> int:
    """Return how many of this node's statements are in flight at a database."""
    return pool.load if pool.slots is None else pool.slots.in_flight


def _wait(pool: DatabasePool, service: float) -> float:
    """Return how long a statement that arrives now would wait (seconds)."""
    if pool.slots is not None:
        return pool.slots.load().wait
    slots = max(1, pool.entry.slots)
    return service * max(0, pool.load + 1 - slots) / slots
