"""Injects a scenario's faults into real processes, on schedule."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from bramblebeam.lab.cluster import Cluster
from bramblebeam.lab.collect import BackendRecorder
from bramblebeam.lab.control import StandInControl
from bramblebeam.lab.history import History
from bramblebeam.lab.history.records import (
    BackendLeaving,
    FaultInjected,
    NodeCut,
    NodeStopped,
    NodeStopping,
)
from bramblebeam.lab.load import LoadGenerator
from bramblebeam.lab.operators import Operators
from bramblebeam.lab.scenario import Fault, FaultKind
from bramblebeam.lab.witnesses import StopWitnesses

NOT_ON_PROCESSES: tuple[FaultKind, ...] = ("one_way_cut", "message_loss")
"""Fault kinds that need control of the network; only the simulator supports them."""

LOST_ANSWERS = 1_000_000
"""More writes than the store receives during a fault, so that all their answers are lost."""

STALE_LIST_SECONDS = 60.0
DEFAULT_LAG_MS = 500
DEFAULT_SLOW_MS = 1_000
DEFAULT_BURST = 3.0

Heal = Callable[[], Awaitable[None]]


class Injection(NamedTuple):
    """An active fault: the target that was chosen, and a callable that ends the fault."""

    target: str
    heal: Heal


class FaultInjector:
    """Injects the faults of one run and records when each begins and ends."""

    def __init__(
        self,
        cluster: Cluster,
        control: StandInControl,
        recorder: BackendRecorder,
        operators: Operators,
        load: LoadGenerator,
        history: History,
    ) -> None:
        self.not_injected: list[str] = []
        self._cluster = cluster
        self._control = control
        self._recorder = recorder
        self._operators = operators
        self._load = load
        self._history = history
        self._injectors: dict[FaultKind, Callable[[Fault], Awaitable[Injection]]] = {
            "primary_kill": self._primary_kill,
            "primary_cut": self._primary_cut,
            "primary_pause": self._primary_pause,
            "replica_kill": self._replica_kill,
            "replica_lag": self._replica_lag,
            "instance_leaving": self._instance_leaving,
            "node_kill": self._node_kill,
            "node_pause": self._node_pause,
            "node_stop": self._node_stop,
            "zone_cut": self._zone_pause,
            "store_down": lambda fault: self._store(down=True),
            "store_slow": lambda fault: self._store(slow_ms=int(fault.value or DEFAULT_SLOW_MS)),
            "store_answers_lost": lambda fault: self._store(lose_answers=LOST_ANSWERS),
            "store_stale_list": lambda fault: self._store(machine_lag_s=STALE_LIST_SECONDS),
            "operator_race": self._operator_race,
            "burst": self._burst,
        }

    async def run(self, faults: Sequence[Fault], start: float) -> None:
        """Inject the faults and return when all have ended. `start` is when the load began."""
        await asyncio.gather(*(self._inject(fault, start) for fault in faults))

    async def _inject(self, fault: Fault, start: float) -> None:
        if fault.kind in NOT_ON_PROCESSES:
            self.not_injected.append(f"{fault.kind} {fault.target}".strip())
            return
        await asyncio.sleep(max(0.0, start + fault.at - time.monotonic()))
        target = fault.target
        self._history.add(FaultInjected(time.monotonic(), fault.kind, target, True))
        injection = await self._injectors[fault.kind](fault)
        await asyncio.sleep(fault.duration)
        await injection.heal()
        self._history.add(FaultInjected(time.monotonic(), fault.kind, target, False))

    async def _primary_kill(self, fault: Fault) -> Injection:
        return await self._kill_database(await self._control.primary_of(fault.target))

    async def _replica_kill(self, fault: Fault) -> Injection:
        return await self._kill_database(fault.target)

    async def _kill_database(self, instance: str) -> Injection:
        process = self._cluster.databases[instance]
        await self._recorder.fetch(instance)
        process.kill()
        await process.wait()

        async def heal() -> None:
            await self._cluster.start_database(instance)
            await self._control.restore_database(instance)

        return Injection(instance, heal)

    async def _primary_cut(self, fault: Fault) -> Injection:
        instance = await self._control.primary_of(fault.target)
        others = self._control.others(instance)
        await self._control.fault_database(instance, cut_peers=others, cut_clients=True)

        async def heal() -> None:
            await self._control.fault_database(instance, cut_peers=[], cut_clients=False)

        return Injection(instance, heal)

    async def _primary_pause(self, fault: Fault) -> Injection:
        instance = await self._control.primary_of(fault.target)
        process = self._cluster.databases[instance]
        process.pause()

        async def heal() -> None:
            process.resume()

        return Injection(instance, heal)

    async def _replica_lag(self, fault: Fault) -> Injection:
        lag = int(fault.value or DEFAULT_LAG_MS)
        await self._control.fault_database(fault.target, lag_ms=lag)

        async def heal() -> None:
            await self._control.fault_database(fault.target, lag_ms=0)

        return Injection(fault.target, heal)

    async def _instance_leaving(self, fault: Fault) -> Injection:
        await self._control.fault_database(fault.target, leaving=True)
        self._history.add(BackendLeaving(time.monotonic(), fault.target, True))

        async def heal() -> None:
            self._history.add(BackendLeaving(time.monotonic(), fault.target, False))
            await self._control.fault_database(fault.target, leaving=False)

        return Injection(fault.target, heal)

    async def _node_kill(self, fault: Fault) -> Injection:
        node = self._cluster.nodes[fault.target]
        self._cluster.clients.pop(fault.target, None)
        node.kill()
        await node.wait()
        self._history.add(NodeStopped(time.monotonic(), fault.target))
        return Injection(fault.target, lambda: self._cluster.start_node(fault.target))

    async def _node_stop(self, fault: Fault) -> Injection:
        node = self._cluster.nodes[fault.target]
        witnesses = StopWitnesses(self._cluster, self._history, fault.target)
        await witnesses.begin()
        self._cluster.clients.pop(fault.target, None)
        self._history.add(NodeStopping(time.monotonic(), fault.target))
        node.terminate()
        await witnesses.end()
        await node.wait()
        self._history.add(NodeStopped(time.monotonic(), fault.target))
        return Injection(fault.target, lambda: self._cluster.start_node(fault.target))

    async def _node_pause(self, fault: Fault) -> Injection:
        return await self._pause(fault.target, [fault.target], [])

    async def _zone_pause(self, fault: Fault) -> Injection:
        """Pause every process of the zone, because links between zones can't be cut on loopback."""
        topology = self._cluster.scenario.topology
        nodes = [node for node, zone in topology.nodes.items() if zone == fault.target]
        databases = [name for name, zone in topology.instances.items() if zone == fault.target]
        return await self._pause(fault.target, nodes, databases)

    async def _pause(self, target: str, nodes: list[str], databases: list[str]) -> Injection:
        processes = [self._cluster.nodes[node] for node in nodes]
        processes += [self._cluster.databases[name] for name in databases]
        for node in nodes:
            self._history.add(NodeCut(time.monotonic(), node, True))
        for process in processes:
            process.pause()

        async def heal() -> None:
            for process in processes:
                process.resume()
            for node in nodes:
                self._history.add(NodeCut(time.monotonic(), node, False))

        return Injection(target, heal)

    async def _store(self, **faults: bool | float) -> Injection:
        await self._control.fault_platform(**faults)
        healthy = {name: type(value)() for name, value in faults.items()}

        async def heal() -> None:
            await self._control.fault_platform(**healthy)

        return Injection("", heal)

    async def _operator_race(self, fault: Fault) -> Injection:
        await self._operators.race(fault.target)

        async def heal() -> None:
            return

        return Injection(fault.target, heal)

    async def _burst(self, fault: Fault) -> Injection:
        self._load.rate_factor = fault.value or DEFAULT_BURST

        async def heal() -> None:
            self._load.rate_factor = 1.0

        return Injection("", heal)
