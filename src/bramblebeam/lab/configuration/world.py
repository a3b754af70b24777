"""Nodes that run the real configuration relay on a simulated network and clock."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bramblebeam.core.configuration.relay import ConfigurationRelay
from bramblebeam.core.configuration.relay_events import (
    BecameReady,
    ListStore,
    RowsApplied,
    StopReadingStore,
    StoreFailed,
    StoreFailure,
    WatchStore,
)
from bramblebeam.core.configuration.rows import Row
from bramblebeam.core.identity import Address, NodeId, NodeSpec, ZoneId
from bramblebeam.core.machine import Received, Send, Wakeup
from bramblebeam.core.membership.view import Member, MembersChanged, MemberState, MembersView
from bramblebeam.lab.configuration.clock import VirtualClock
from bramblebeam.lab.configuration.store_model import StoreModel

ZONE_LATENCY_SECONDS = 0.0005
REGION_LATENCY_SECONDS = 0.0015
REMOTE_LATENCY_SECONDS = 0.020
ZONES_PER_REGION = 3
FAILURE_DETECTION_SECONDS = 3.0
"""Delay until the members detect that a node died."""

STORE_CUT_DETECTION_SECONDS = 2.0
"""Delay until a node that is cut off from the store detects it."""

_UNUSED_ADDRESS = Address("127.0.0.1", 0)


@dataclass
class WorldNode:
    """One node. `waiting`: events that arrived while it was paused.

    `absences`: time spans (seconds) in which it was dead, paused or cut off; `absent_for`: the
    reasons of the current absence.
    """

    name: NodeId
    zone: ZoneId
    relay: ConfigurationRelay
    incarnation: int = 1
    alive: bool = True
    paused: bool = False
    waiting: list[Any] = field(default_factory=list)
    absences: list[tuple[float, float]] = field(default_factory=list)
    absent_for: set[str] = field(default_factory=set)
    absent_since: float = 0.0
    wakeup_at: float = float("inf")


class World:
    """All nodes, the network between them, and the store."""

    def __init__(self, seed: int, zones: int, nodes: int) -> None:
        self.random = Random(seed)
        self.clock = VirtualClock()
        self.store = StoreModel(self.clock, self.random)
        self.loss = 0.0
        self.cut_zones: set[ZoneId] = set()
        self.cut_from_store: set[ZoneId] = set()
        self.messages = 0
        self.on_applied: Callable[[WorldNode, tuple[Row, ...]], None] = lambda _node, _rows: None
        self.on_ready: Callable[[WorldNode], None] = lambda _node: None
        self.nodes: dict[NodeId, WorldNode] = {}
        for number in range(nodes):
            name = NodeId(f"node-{number:04d}")
            zone = ZoneId(f"zone-{number % zones:02d}")
            self.nodes[name] = WorldNode(name, zone, ConfigurationRelay(name, zone, True))
        self.publish_members()
        for node in self.nodes.values():
            self.deliver(node, Wakeup())

    def publish_members(self) -> None:
        """Deliver the current membership to every node immediately."""
        members: dict[NodeId, Member] = {}
        owners: dict[ZoneId, list[NodeId]] = {}
        for node in self.nodes.values():
            if node.alive:
                spec = NodeSpec(
                    node.name, node.zone, "", _UNUSED_ADDRESS, _UNUSED_ADDRESS, _UNUSED_ADDRESS
                )
                members[node.name] = Member(spec, node.incarnation, MemberState.ALIVE)
                owners.setdefault(node.zone, []).append(node.name)
        sorted_owners = {zone: tuple(sorted(names)) for zone, names in owners.items()}
        changed = MembersChanged(MembersView(members, sorted_owners))
        for node in self.nodes.values():
            self.deliver(node, changed)

    def deliver(self, node: WorldNode, event: Any) -> None:
        """Deliver an event to a node and execute the effects; queue it if the node is paused."""
        if not node.alive:
            return
        if node.paused:
            node.waiting.append(event)
            return
        for effect in node.relay.handle(event, self.clock.now):
            self._carry_out(node, effect)
        self._set_wakeup(node)

    def pause(self, node: WorldNode) -> None:
        """Pause a node, like a stopped process."""
        node.paused = True
        self._begin_absence(node, "pause")

    def resume(self, node: WorldNode) -> None:
        """Resume a paused node and deliver the queued events."""
        node.paused = False
        self._end_absence(node, "pause")
        waiting, node.waiting = node.waiting, []
        for event in waiting:
            self.deliver(node, event)

    def kill(self, node: WorldNode) -> None:
        """Kill a node, which loses its state."""
        node.alive = False
        node.waiting.clear()
        self._begin_absence(node, "restart")
        self.store.end_watch(node.name)
        self.clock.after(FAILURE_DETECTION_SECONDS, self.publish_members)

    def restart(self, node: WorldNode) -> None:
        """Start a new incarnation of a node, without state."""
        node.alive = True
        node.paused = False
        self._end_absence(node, "pause")
        node.incarnation += 1
        node.relay = ConfigurationRelay(node.name, node.zone, True)
        node.wakeup_at = float("inf")
        self.publish_members()
        self.deliver(node, Wakeup())

    def cut_zone(self, zone: ZoneId) -> None:
        """Partition a zone from the others and from the store."""
        self.cut_zones.add(zone)
        self.cut_from_store.add(zone)
        for node in self.nodes.values():
            if node.zone == zone:
                self._begin_absence(node, "cut")

    def heal_zone(self, zone: ZoneId) -> None:
        """End the partition of a zone."""
        self.cut_zones.discard(zone)
        self.cut_from_store.discard(zone)
        for node in self.nodes.values():
            if node.zone == zone:
                self._end_absence(node, "cut")

    def _begin_absence(self, node: WorldNode, reason: str) -> None:
        if not node.absent_for:
            node.absent_since = self.clock.now
        node.absent_for.add(reason)

    def _end_absence(self, node: WorldNode, reason: str) -> None:
        if reason not in node.absent_for:
            return
        node.absent_for.remove(reason)
        if not node.absent_for:
            node.absences.append((node.absent_since, self.clock.now))

    def _carry_out(self, node: WorldNode, effect: Any) -> None:
        match effect:
            case Send(to, message):
                self._send(node, self.nodes[to], message)
            case RowsApplied(rows):
                self.on_applied(node, rows)
            case BecameReady():
                self._end_absence(node, "restart")
                self.on_ready(node)
            case ListStore():
                self.store.list(self._store_callback(node))
            case WatchStore(after):
                self.store.watch(node.name, after, self._store_callback(node))
            case StopReadingStore():
                self.store.end_watch(node.name)

    def _store_callback(self, node: WorldNode) -> Callable[[Any], None]:
        """Return a callback that delivers store answers to the current incarnation of the node."""
        incarnation = node.incarnation

        def deliver_answer(event: Any) -> None:
            if node.incarnation != incarnation:
                return
            if node.zone not in self.cut_from_store:
                self.deliver(node, event)
                return
            self.store.end_watch(node.name)
            failed = StoreFailed(StoreFailure.UNAVAILABLE)
            self.clock.after(STORE_CUT_DETECTION_SECONDS, lambda: self.deliver(node, failed))

        return deliver_answer

    def _send(self, sender: WorldNode, receiver: WorldNode, message: Any) -> None:
        self.messages += 1
        different_zones = sender.zone != receiver.zone
        if different_zones and (sender.zone in self.cut_zones or receiver.zone in self.cut_zones):
            return
        if self.random.random() < self.loss:
            return
        delay = self._latency(sender.zone, receiver.zone) * self.random.uniform(1.0, 2.0)
        received = Received(sender.name, message)
        self.clock.after(delay, lambda: self.deliver(receiver, received))

    def _latency(self, one: ZoneId, other: ZoneId) -> float:
        if one == other:
            return ZONE_LATENCY_SECONDS
        same_region = int(one[-2:]) // ZONES_PER_REGION == int(other[-2:]) // ZONES_PER_REGION
        return REGION_LATENCY_SECONDS if same_region else REMOTE_LATENCY_SECONDS

    def _set_wakeup(self, node: WorldNode) -> None:
        due = node.relay.next_wakeup()
        if due is None or due >= node.wakeup_at:
            return
        node.wakeup_at = due

        def wake() -> None:
            if node.wakeup_at == due:
                node.wakeup_at = float("inf")
                self.deliver(node, Wakeup())

        self.clock.after(max(due - self.clock.now, 1e-6), wake)
