"""Simulates three regions, each with a node and a database, in virtual time.

A node chooses by the product's `ReadTargets`; callers, network and databases are simulated. A read
without a reply after its late time is sent to a second database as well.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from itertools import count
from random import Random
from typing import NamedTuple

import pytest

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.owners import Distance
from bramblebeam.core.identity import Address, GroupId, InstanceId, ZoneId
from bramblebeam.core.overload.load import DatabaseLoad
from bramblebeam.core.overload.reported_loads import LoadReport
from bramblebeam.core.role import Role
from bramblebeam.core.tenants import NO_TENANT, TenantId
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.gateway import read_targets
from bramblebeam.services.gateway.metrics import GatewayMetrics
from bramblebeam.services.gateway.read_targets import ReadTargets

GROUP = GroupId("deliveries")
REGIONS = 3
SLOTS = 6
SERVICE = 0.028
CAPACITY = SLOTS / SERVICE
"""Reads per second that one database serves."""
ONE_WAY = 0.02
"""One-delay delay between regions (seconds)."""
LATE_SECONDS = 0.15
TARGET = 1.0
"""Time within which a read must be served; after that it is abandoned (seconds)."""
MOST_ATTEMPTS = 3


class Condition(StrEnum):
    """How a database behaves."""

    WELL = "well"
    SLOW = "slow"
    FAILING = "failing"
    SHEDDING = "shedding"
    HANGING = "hanging"
    DOWN = "down"


class Load(NamedTuple):
    """The load of a run.

    `rate`: arrival rate by region and time, as a multiple of a database's capacity. `condition`:
    condition of a region's database by time. `reports`: whether nodes report loads to each other.
    """

    rate: Callable[[int, float], float]
    condition: Callable[[int, float], Condition] = lambda region, now: Condition.WELL
    seconds: float = 12.0
    leader: int | None = None
    reports: bool = True


class Read:
    """A caller's read."""

    def __init__(self, region: int, arrived: float) -> None:
        self.region = region
        self.arrived = arrived
        self.tried: set[InstanceId] = set()
        self.counted: dict[int, LoadReport | None] = {}
        self.pending = 0
        self.done = False


class Slots:
    """Stands in for a node's slot queue. `database`: None if another node has its queue."""

    def __init__(self, instance: InstanceId, database: Database | None) -> None:
        self._instance = instance
        self._database = database

    @property
    def in_flight(self) -> int:
        return 0 if self._database is None else self._database.busy

    def refuse_waiting(self) -> None:
        """Do nothing: waiting reads are sent elsewhere once they are late."""

    def load(self) -> DatabaseLoad:
        found = self._database
        rounds = 0.0 if found is None or found.busy < SLOTS else (len(found.queue) + 1) / SLOTS
        return DatabaseLoad(self._instance, rounds * SERVICE, SERVICE)


class Pool:
    """Stands in for a node's pool of a database."""

    def __init__(self, entry: DatabaseEntry, database: Database | None) -> None:
        self.entry = entry
        self.unresponsive_since: float | None = None
        self.received_at = 0.0
        self.open_seconds = 0.0
        self.slots = Slots(entry.instance, database)

    def has_idle(self, tenant: TenantId) -> bool:
        return True


class Database:
    """Slots and a queue. A hanging read occupies its slot until it is abandoned."""

    def __init__(self, region: int, world: PlacementWorld) -> None:
        self.region = region
        self.queue: list[Callable[[], None]] = []
        self.busy = 0
        self.longest_queue = 0
        self._world = world

    @property
    def load(self) -> int:
        return self.busy + len(self.queue)

    def take(self, begin: Callable[[], None]) -> None:
        self.queue.append(begin)
        self.longest_queue = max(self.longest_queue, len(self.queue))
        self.go_on()

    def go_on(self) -> None:
        while self.queue and self.busy < SLOTS:
            begin = self.queue.pop(0)
            self.busy += 1
            begin()

    def free(self) -> None:
        self.busy -= 1
        self.go_on()


class Node:
    """Chooses databases for its region's callers, and runs the reads at its own database."""

    def __init__(self, region: int, world: PlacementWorld) -> None:
        self.region = region
        self.database = Database(region, world)
        self.metrics = GatewayMetrics()
        self.targets = ReadTargets(self, self.metrics)
        self.pools: dict[InstanceId, Pool] = {}

    def connect(self, entries: list[DatabaseEntry]) -> None:
        for place, entry in enumerate(entries):
            database = self.database if place == self.region else None
            self.pools[entry.instance] = Pool(entry, database)

    def distance(self, zone: ZoneId) -> Distance:
        return Distance.ZONE if zone == str(self.region) else Distance.ELSEWHERE

    def runs_database(self, group: GroupId, zone: ZoneId) -> bool:
        return zone == str(self.region)

    def choose(self, excluded: set[InstanceId]) -> Pool | None:
        pools = [pool for name, pool in self.pools.items() if name not in excluded]
        return self.targets.choose(pools, NO_TENANT)  # type: ignore[arg-type,return-value]

    def loads(self) -> tuple[DatabaseLoad, ...]:
        return self.targets.loads(self.pools.values())  # type: ignore[arg-type]


class PlacementWorld:
    """Runs a load, and counts the outcomes of the reads."""

    def __init__(self, load: Load, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 0.0
        self.load = load
        self.random = Random(seed)
        self.served: Counter[int] = Counter()
        self.arrived: Counter[int] = Counter()
        self.ran: Counter[tuple[int, int]] = Counter()
        self.ejections: Counter[InstanceId] = Counter()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        monkeypatch.setattr(read_targets, "loop_time", lambda: self.now)
        monkeypatch.setattr(read_targets, "log_event", self._note_event)
        entries = [self._entry(region) for region in range(REGIONS)]
        self.nodes = [Node(region, self) for region in range(REGIONS)]
        for node in self.nodes:
            node.connect(entries)

    def run(self) -> None:
        for region in range(REGIONS):
            self._arrive(region)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def goodput(self, begin: float = 0.0, end: float = float("inf")) -> float:
        """Return the share of reads served in time, of those that arrived in a span of seconds."""
        seconds = [second for second in self.arrived if begin <= second < end]
        arrived = sum(self.arrived[second] for second in seconds)
        return sum(self.served[second] for second in seconds) / max(1, arrived)

    def attempts(self, begin: float, end: float) -> float:
        """Return the number of attempts per read in a span of seconds."""
        ran = sum(self.ran_in(region, begin, end) for region in range(REGIONS))
        return ran / sum(self.arrived[second] for second in self.arrived if begin <= second < end)

    def ran_in(self, region: int, begin: float, end: float) -> int:
        """Return the number of attempts at a region's database in a span of seconds."""
        return sum(
            number
            for (place, second), number in self.ran.items()
            if place == region and begin <= second < end
        )

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now + seconds, next(self._numbers), action))

    def _entry(self, region: int) -> DatabaseEntry:
        role = Role.PRIMARY if region == self.load.leader else Role.REPLICA
        name, address = InstanceId(f"db-{region}"), Address("127.0.0.1", 1)
        return DatabaseEntry(name, GROUP, address, ZoneId(str(region)), role, False, SLOTS)

    def _note_event(self, logger: object, event: object, **fields: object) -> None:
        if event is read_targets.DATABASE_EJECTED:
            self.ejections[InstanceId(str(fields["instance"]))] += 1

    def _arrive(self, region: int) -> None:
        if self.now >= self.load.seconds:
            return
        rate = self.load.rate(region, self.now) * CAPACITY
        self.after(self.random.expovariate(rate), lambda: self._arrive(region))
        read = Read(region, self.now)
        self.arrived[int(read.arrived)] += 1
        self._send(read)

    def _send(self, read: Read) -> None:
        """Send a read to a database that has not been tried for it."""
        if read.done or len(read.tried) >= MOST_ATTEMPTS or self.now > read.arrived + TARGET:
            return
        node = self.nodes[read.region]
        pool = node.choose(read.tried)
        if pool is None:
            return
        instance = pool.entry.instance
        read.tried.add(instance)
        region = int(pool.entry.zone)
        delay = 0.0 if region == read.region else ONE_WAY
        if delay:
            read.counted[region] = node.targets.record_forwarded(instance)
        began = self.now
        self.after(delay, lambda: self._take(read, region, delay))
        late_after = LATE_SECONDS + 2 * delay
        self.after(late_after, lambda: self._is_late(read, pool, began))

    def _is_late(self, read: Read, pool: Pool, began: float) -> None:
        if read.done:
            return
        if self.now - pool.received_at > LATE_SECONDS and pool.entry.zone == str(read.region):
            pool.unresponsive_since = self.now
        self._send(read)

    def _take(self, read: Read, region: int, delay: float) -> None:
        database = self.nodes[region].database
        self.ran[region, int(self.now)] += 1
        if self.load.condition(region, self.now) is Condition.DOWN:
            self._failed(read, region, delay, Reason.UNREACHABLE)
            return
        database.take(lambda: self._begin(read, region, delay))

    def _begin(self, read: Read, region: int, delay: float) -> None:
        node = self.nodes[region]
        database, pool = node.database, node.pools[InstanceId(f"db-{region}")]
        condition = self.load.condition(region, self.now)
        began = self.now
        if read.done or self.now > read.arrived + TARGET:
            self.after(0.0, database.free)
            return
        if condition is Condition.HANGING:
            self.after(read.arrived + TARGET - self.now, database.free)
            return
        fails = condition in (Condition.FAILING, Condition.SHEDDING) and self.random.random() < 0.5
        usual = SERVICE * self.random.uniform(0.5, 1.5)
        seconds = 0.001 if fails else usual * (5.0 if condition is Condition.SLOW else 1.0)

        def end() -> None:
            database.free()
            pool.received_at = self.now
            pool.unresponsive_since = None
            if fails:
                is_shed = condition is Condition.SHEDDING
                reason = Reason.QUEUE_FULL if is_shed else Reason.BACKEND_ERROR
                self._failed(read, region, delay, reason, began)
                return
            node.targets.record_served(pool, seconds)  # type: ignore[arg-type]
            self._answer(read, region, delay)

        self.after(seconds, end)

    def _failed(
        self, read: Read, region: int, delay: float, reason: Reason, began: float | None = None
    ) -> None:
        node = self.nodes[region]
        pool = node.pools[InstanceId(f"db-{region}")]
        refusal = Refusal(Verdict.NOT_RUN, reason)
        node.targets.record_failed(pool, refusal, self.now if began is None else began)  # type: ignore[arg-type]
        self._return(read, region, delay, lambda: self._send(read))

    def _answer(self, read: Read, region: int, delay: float) -> None:
        def take() -> None:
            if not read.done and self.now <= read.arrived + TARGET:
                self.served[int(read.arrived)] += 1
            read.done = True

        self._return(read, region, delay, take)

    def _return(self, read: Read, region: int, delay: float, then: Callable[[], None]) -> None:
        """Deliver a reply after the network delay, with the loads of its node's database."""
        node, caller = self.nodes[region], self.nodes[read.region]
        loads = node.loads() if delay and self.load.reports else ()

        def arrive() -> None:
            if delay:
                caller.targets.observe_reported_loads(loads)
                caller.targets.record_forwarded_done(read.counted.pop(region))
            then()

        self.after(delay, arrive)
