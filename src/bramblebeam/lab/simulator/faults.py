"""Fault injection for the simulator, one method per fault kind."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import Any

from bramblebeam.core.role import Role
from bramblebeam.lab.history import History
from bramblebeam.lab.history.records import (
    BackendLeaving,
    FaultInjected,
    NodeCut,
    NodeStarted,
    NodeStopped,
    NodeStopping,
)
from bramblebeam.lab.load import LoadGenerator
from bramblebeam.lab.operators import Operators
from bramblebeam.lab.platform.faults import Faults as PlatformFaults
from bramblebeam.lab.scenario import Fault, FaultKind
from bramblebeam.lab.simulator.cluster import SimulatedCluster
from bramblebeam.lab.simulator.collect import SimulatedRecorder
from bramblebeam.lab.simulator.processes import SimulatedProcess

LOST_ANSWERS = 1_000_000
"""More answers than a run has, so that the store loses every one while the fault lasts."""
STALE_LIST_SECONDS = 60.0
DEFAULT_LAG_MS = 500
DEFAULT_SLOW_MS = 1_000
DEFAULT_BURST = 3.0
"""Factor of the load's rate."""
DEFAULT_LOSS = 0.1
"""Probability that a message is lost."""

Heal = Callable[[], object]


class SimulatedFaults:
    """Injects the faults of one run and records when each began and ended."""

    def __init__(
        self,
        cluster: SimulatedCluster,
        recorder: SimulatedRecorder,
        operators: Operators,
        load: LoadGenerator,
        history: History,
    ) -> None:
        self._cluster = cluster
        self._network = cluster.network
        self._recorder = recorder
        self._operators = operators
        self._load = load
        self._history = history
        self._tasks: set[asyncio.Task[None]] = set()
        self._member_faults: dict[str, dict[str, object]] = {}
        self._store_faults: dict[str, object] = {}
        self._injectors: dict[FaultKind, Callable[[Fault], Heal]] = {
            "primary_kill": self._primary_kill,
            "primary_cut": self._primary_cut,
            "primary_pause": self._primary_pause,
            "replica_kill": lambda fault: self._kill_database(fault.target),
            "replica_lag": self._replica_lag,
            "instance_leaving": self._instance_leaving,
            "node_kill": self._node_kill,
            "node_pause": self._node_pause,
            "node_stop": self._node_stop,
            "zone_cut": self._zone_cut,
            "one_way_cut": self._one_way_cut,
            "message_loss": self._message_loss,
            "store_down": lambda fault: self._fault_store(down=True),
            "store_slow": lambda fault: self._fault_store(slow_ms=int(fault.value or 1_000)),
            "store_answers_lost": lambda fault: self._fault_store(lose_answers=LOST_ANSWERS),
            "store_stale_list": lambda fault: self._fault_store(machine_lag_s=STALE_LIST_SECONDS),
            "operator_race": self._operator_race,
            "burst": self._burst,
        }

    async def run(self, faults: Sequence[Fault], start: float) -> None:
        """Inject the faults; return when all are healed. `start`: when the load began."""
        await asyncio.gather(*(self._inject(fault, start) for fault in faults))
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _inject(self, fault: Fault, start: float) -> None:
        await asyncio.sleep(max(0.0, start + fault.at - time.monotonic()))
        self._history.add(FaultInjected(time.monotonic(), fault.kind, fault.target, True))
        heal = self._injectors[fault.kind](fault)
        await asyncio.sleep(fault.duration)
        heal()
        self._history.add(FaultInjected(time.monotonic(), fault.kind, fault.target, False))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Databases

    def _primary(self, group: str) -> str:
        """Return the primary with the highest term, or the first member if there is no primary."""
        names = [
            member.instance
            for found in self._cluster.scenario.topology.groups
            for member in found.members
            if found.name == group
        ]
        replicas = {name: self._cluster.databases[name].member.replica for name in names}
        leading = [name for name in names if replicas[name].role is Role.PRIMARY]
        return max(leading, key=lambda name: replicas[name].term, default=names[0])

    def _primary_kill(self, fault: Fault) -> Heal:
        return self._kill_database(self._primary(fault.target))

    def _kill_database(self, instance: str) -> Heal:
        database = self._cluster.databases[instance]
        if not database.host.alive:
            return _no_heal
        self._recorder.collect_member(instance)
        database.kill()
        return lambda: self._start_task(self._restart_database(instance))

    async def _restart_database(self, instance: str) -> None:
        await self._cluster.start_database(instance)
        self._set_member_faults(instance)

    def _set_member_faults(self, instance: str, **faults: object) -> None:
        known = self._member_faults.setdefault(instance, {})
        known.update(faults)
        database = self._cluster.databases[instance]
        if database.host.alive and known:
            database.set_faults(**known)

    def _primary_cut(self, fault: Fault) -> Heal:
        """Partition the primary from all hosts or, if the fault has a value, from members only."""
        instance = self._primary(fault.target)
        address = self._cluster.instance_addresses[instance]
        if not fault.value:
            return self._network.cut_off([address])
        others = set(self._cluster.instance_addresses.values()) - {address}
        heals = [self._network.cut([address], others), self._network.cut(others, [address])]
        return lambda: [heal() for heal in heals]

    def _primary_pause(self, fault: Fault) -> Heal:
        return self._pause([self._cluster.databases[self._primary(fault.target)]])

    def _replica_lag(self, fault: Fault) -> Heal:
        lag = int(fault.value or DEFAULT_LAG_MS)
        self._set_member_faults(fault.target, lag_ms=lag)
        return lambda: self._set_member_faults(fault.target, lag_ms=0)

    def _instance_leaving(self, fault: Fault) -> Heal:
        self._set_member_faults(fault.target, leaving=True)
        self._history.add(BackendLeaving(time.monotonic(), fault.target, True))

        def heal() -> None:
            self._history.add(BackendLeaving(time.monotonic(), fault.target, False))
            self._set_member_faults(fault.target, leaving=False)

        return heal

    # Nodes

    def _node_kill(self, fault: Fault) -> Heal:
        node = self._cluster.nodes[fault.target]
        if not node.host.alive:
            return _no_heal
        self._cluster.clients.pop(fault.target, None)
        node.kill()
        self._history.add(NodeStopped(time.monotonic(), fault.target))
        return lambda: self._start_task(self._start_node(fault.target))

    def _node_stop(self, fault: Fault) -> Heal:
        node = self._cluster.nodes[fault.target]
        if not node.host.alive or node.host.paused:
            return _no_heal
        self._cluster.clients.pop(fault.target, None)
        self._history.add(NodeStopping(time.monotonic(), fault.target))
        node.terminate()

        async def restart() -> None:
            await node.wait()
            self._history.add(NodeStopped(time.monotonic(), fault.target))
            await self._start_node(fault.target)

        return lambda: self._start_task(restart())

    async def _start_node(self, node: str) -> None:
        self._history.add(NodeStarted(time.monotonic(), node))
        await self._cluster.start_node(node)

    def _node_pause(self, fault: Fault) -> Heal:
        node = self._cluster.nodes[fault.target]
        self._history.add(NodeCut(time.monotonic(), fault.target, True))
        resume = self._pause([node])

        def heal() -> None:
            resume()
            self._history.add(NodeCut(time.monotonic(), fault.target, False))

        return heal

    def _pause(self, processes: Iterable[SimulatedProcess]) -> Heal:
        paused = [process for process in processes if process.host.alive]
        for process in paused:
            process.pause()

        def heal() -> None:
            for process in paused:
                process.resume()

        return heal

    # Network

    def _zone_cut(self, fault: Fault) -> Heal:
        """Partition a zone from other zones and the platform; callers still reach its nodes."""
        inside = self._zone(fault.target)
        callers = self._cluster.callers.address
        outside = [at for at in self._network.hosts if at not in inside and at != callers]
        return self._cut_nodes(fault.target, [(inside, outside), (outside, inside)])

    def _one_way_cut(self, fault: Fault) -> Heal:
        """Block everything that leaves a zone; incoming messages still arrive."""
        inside = self._zone(fault.target)
        callers = self._cluster.callers.address
        outside = [at for at in self._network.hosts if at not in inside and at != callers]
        return self._cut_nodes(fault.target, [(inside, outside)])

    def _zone(self, zone: str) -> list[str]:
        return [address for address, host in self._network.hosts.items() if host.zone == zone]

    def _cut_nodes(self, zone: str, cuts: list[tuple[list[str], list[str]]]) -> Heal:
        nodes = [name for name, at in self._cluster.scenario.topology.nodes.items() if at == zone]
        for node in nodes:
            self._history.add(NodeCut(time.monotonic(), node, True))
        heals = [self._network.cut(sources, targets) for sources, targets in cuts]

        def heal() -> None:
            for heal_cut in heals:
                heal_cut()
            for node in nodes:
                self._history.add(NodeCut(time.monotonic(), node, False))

        return heal

    def _message_loss(self, fault: Fault) -> Heal:
        self._network.loss = fault.value or DEFAULT_LOSS

        def heal() -> None:
            self._network.loss = 0.0

        return heal

    # Platform, operators and callers

    def _fault_store(self, **faults: object) -> Heal:
        self._set_store_faults(faults)
        healthy = {name: type(value)() for name, value in faults.items()}
        return lambda: self._set_store_faults(healthy)

    def _set_store_faults(self, faults: dict[str, object]) -> None:
        self._store_faults.update(faults)
        platform = self._cluster.platform
        platform.call_soon(
            platform.server.set_faults, PlatformFaults.model_validate(self._store_faults)
        )

    def _operator_race(self, fault: Fault) -> Heal:
        callers = self._cluster.callers
        self._tasks.add(callers.spawn(self._operators.race(fault.target)))
        return _no_heal

    def _burst(self, fault: Fault) -> Heal:
        self._load.rate_factor = fault.value or DEFAULT_BURST

        def heal() -> None:
            self._load.rate_factor = 1.0

        return heal


def _no_heal() -> None:
    """Heal a fault that was not injected or ends by itself."""
