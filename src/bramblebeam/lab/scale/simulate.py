"""A scale run of membership in virtual time: deaths, a zone lost, a region cut off."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import mean

from bramblebeam.core.identity import NodeId
from bramblebeam.core.membership.view import MemberState
from bramblebeam.lab.scale.layout import places
from bramblebeam.lab.scale.virtual import (
    Traffic,
    VirtualNetwork,
    VirtualNode,
    alive_record,
    make_spec,
)

SETTLE_SECONDS = 3.0
EVENT_BOUND_SECONDS = 120.0
CUT_SECONDS = 60.0


@dataclass(slots=True)
class SimulatedMeasures:
    """What a simulated run measured. Bytes are of whole datagrams and stream messages."""

    nodes: int
    octets_mean: float = 0.0
    octets_busiest: float = 0.0
    octets_relay_mean: float = 0.0
    messages_mean: float = 0.0
    death_seconds: list[float] = field(default_factory=list)
    zone_lost_seconds: float | None = None
    region_cut_seconds: float | None = None
    region_healed_seconds: float | None = None
    changes_in_cut: int = 0
    wall_seconds: float = 0.0


class SimulatedScale:
    """One run of `nodes` nodes in 20 zones of 7 regions, all knowing each other at the start."""

    def __init__(self, nodes: int, seed: int, window: float, deaths: int = 3) -> None:
        self._network = VirtualNetwork(seed)
        self._window = window
        self._deaths = deaths
        self._measures = SimulatedMeasures(nodes)
        specs = [
            make_spec(place.node, place.zone, place.region, number)
            for number, place in enumerate(places(nodes))
        ]
        records = [alive_record(spec) for spec in specs]
        for spec in specs:
            self._network.add(spec, members=records)

    def run(self) -> SimulatedMeasures:
        """Run every part in turn."""
        began = time.monotonic()
        self._network.run(SETTLE_SECONDS)
        self._measure_quiet()
        for _number in range(self._deaths):
            self._measures.death_seconds.append(self._time_death())
        self._cut_region()
        self._lose_zone()
        self._measures.wall_seconds = time.monotonic() - began
        return self._measures

    def _measure_quiet(self) -> None:
        traffic = self._traffic_during(self._window)
        network = self._network
        octets = {n: (t.sent_bytes + t.received_bytes) / self._window for n, t in traffic.items()}
        messages = [(t.sent + t.received) / self._window for t in traffic.values()]
        relays = [octets[n.spec.node] for n in network.living() if n.machine.is_relay]
        self._measures.octets_mean = mean(octets.values())
        self._measures.octets_busiest = max(octets.values())
        self._measures.octets_relay_mean = mean(relays)
        self._measures.messages_mean = mean(messages)

    def _traffic_during(self, seconds: float) -> dict[NodeId, Traffic]:
        for node in self._network.living():
            node.traffic = Traffic()
        self._network.measure_bytes = True
        self._network.run(seconds)
        self._network.measure_bytes = False
        return {node.spec.node: node.traffic for node in self._network.living()}

    def _time_death(self) -> float:
        network = self._network
        victim = network.random.choice(network.living())
        network.kill(victim.spec.node)
        return self._time(lambda: self._gone_at(network.living(), [victim.spec.node]))

    def _cut_region(self) -> None:
        """Cut a region off, let a node die on either side, and heal."""
        network = self._network
        region = network.living()[0].spec.region
        network.cut(lambda x, y: (x.region == region) != (y.region == region))
        inside = [node for node in network.living() if node.spec.region == region]
        outside = [node for node in network.living() if node.spec.region != region]
        zones = frozenset(node.spec.zone for node in inside)
        self._measures.region_cut_seconds = self._time(
            lambda: all(node.view.unreachable == zones for node in outside)
        )
        victims = [network.random.choice(inside), network.random.choice(outside)]
        for victim in victims:
            network.kill(victim.spec.node)
        network.run(CUT_SECONDS)
        self._measures.changes_in_cut = len(victims)
        network.heal()
        names = [victim.spec.node for victim in victims]
        self._measures.region_healed_seconds = self._time(
            lambda: (
                self._gone_at(network.living(), names)
                and all(not node.view.unreachable for node in network.living())
            )
        )

    def _lose_zone(self) -> None:
        """End every node of a zone at once."""
        network = self._network
        zone = network.living()[0].spec.zone
        for node in network.living():
            if node.spec.zone == zone:
                network.kill(node.spec.node)
        self._measures.zone_lost_seconds = self._time(
            lambda: all(zone in node.view.unreachable for node in network.living())
        )

    def _time(self, done: Callable[[], bool]) -> float:
        began = self._network.now
        if not self._network.run_until(done, EVENT_BOUND_SECONDS, step=0.25):
            return float("inf")
        return self._network.now - began

    @staticmethod
    def _gone_at(nodes: list[VirtualNode], names: list[NodeId]) -> bool:
        return all(
            node.view.members[name].state is MemberState.DEAD for node in nodes for name in names
        )
