"""Membership state machines in virtual time, with latency, loss, cuts, pauses and restarts."""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from bramblebeam.core.identity import Address, NodeId, NodeSpec, ZoneId
from bramblebeam.core.machine import Received, Send, Wakeup
from bramblebeam.core.membership.events import DatagramReceived, Publish, SendDatagram
from bramblebeam.core.membership.machine import MembershipMachine
from bramblebeam.core.membership.messages import MemberUpdate, Seed
from bramblebeam.core.membership.timing import MembershipTiming
from bramblebeam.core.membership.view import MemberState, MembersView
from bramblebeam.services.transport.service import peer_codec
from bramblebeam.services.transport.traffic import IP_AND_UDP_HEADER_BYTES
from bramblebeam.wire.frames import encode_datagram

ZONE_LATENCY = 0.000_25
REGION_LATENCY = 0.001_5
CROSS_REGION_LATENCY = 0.020


@dataclass(slots=True)
class Traffic:
    """Messages and bytes that one node sent and received; bytes include IP and UDP headers."""

    sent: int = 0
    received: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


@dataclass(slots=True)
class VirtualNode:
    """A node: its state machine, its latest published view and its traffic."""

    spec: NodeSpec
    machine: MembershipMachine
    view: MembersView = field(default_factory=MembersView)
    alive: bool = True
    paused_until: float = 0.0
    wakeup: float = float("inf")
    traffic: Traffic = field(default_factory=Traffic)


Filter = Callable[[NodeSpec, NodeSpec], bool]


class VirtualNetwork:
    """Executes the machines' effects. All random choices are derived from `seed`."""

    def __init__(
        self, seed: int, timing: MembershipTiming | None = None, loss: float = 0.0
    ) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.timing = timing or MembershipTiming()
        self.loss = loss
        self.nodes: dict[NodeId, VirtualNode] = {}
        self.measure_bytes = False
        self._by_address: dict[Address, NodeId] = {}
        self._queue: list[tuple[float, int, NodeId, Any]] = []
        self._order = itertools.count()
        self._cuts: list[Filter] = []
        self._codec = peer_codec()

    def add(
        self,
        spec: NodeSpec,
        seeds: Iterable[Seed] = (),
        members: Iterable[MemberUpdate] = (),
        incarnation: int = 1,
    ) -> VirtualNode:
        """Start a node, replacing its previous incarnation if there is one."""
        machine = MembershipMachine(
            spec,
            incarnation,
            tuple(seeds),
            random.Random(self.random.random()),
            self.timing,
            members,
            self.now,
        )
        node = VirtualNode(spec, machine)
        self.nodes[spec.node] = node
        self._by_address[spec.peer_address] = spec.node
        self._handle(node, Wakeup())
        return node

    def kill(self, node: NodeId) -> None:
        """Kill a node without a leave announcement."""
        self.nodes[node].alive = False

    def pause(self, node: NodeId, seconds: float) -> None:
        """Pause a node; events that arrive in the meantime are delivered afterwards."""
        self.nodes[node].paused_until = self.now + seconds

    def cut(self, separated: Filter) -> None:
        """Drop messages between pairs of nodes for which `separated` is true, until `heal`."""
        self._cuts.append(separated)

    def heal(self) -> None:
        """Remove all cuts."""
        self._cuts.clear()

    def handle_event(self, node: NodeId, event: Any) -> None:
        """Pass an event to a node's machine."""
        self._handle(self.nodes[node], event)

    def alive_nodes(self) -> list[VirtualNode]:
        """Return the nodes that were not killed."""
        return [node for node in self.nodes.values() if node.alive]

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        self.run_until(lambda: False, seconds)

    def run_until(self, done: Callable[[], bool], seconds: float, step: float = 0.1) -> bool:
        """Advance time until `done()`, checked every `step` seconds; False after `seconds`."""
        end = self.now + seconds
        while self.now < end:
            if done():
                return True
            self._run_to(min(end, self.now + step))
        return done()

    def _run_to(self, end: float) -> None:
        while self._queue and self._queue[0][0] <= end:
            at, _order, name, event = heapq.heappop(self._queue)
            self.now = max(self.now, at)
            node = self.nodes[name]
            if not node.alive:
                continue
            if node.paused_until > self.now:
                self._push(node.paused_until, name, event)
            elif isinstance(event, Wakeup):
                self._wake(node, at)
            else:
                node.traffic.received += 1
                self._handle(node, event)
        self.now = end

    def _wake(self, node: VirtualNode, at: float) -> None:
        if node.wakeup <= at or node.wakeup <= self.now:
            node.wakeup = float("inf")
            self._handle(node, Wakeup())

    def _handle(self, node: VirtualNode, event: Any) -> None:
        for effect in node.machine.handle(event, self.now):
            self._execute(node, effect)
        due = node.machine.next_wakeup()
        if due is not None and due < node.wakeup:
            node.wakeup = due
            self._push(max(due, self.now), node.spec.node, Wakeup())

    def _execute(self, node: VirtualNode, effect: Any) -> None:
        if isinstance(effect, Publish):
            node.view = effect.view
        elif isinstance(effect, SendDatagram):
            to = self._by_address.get(effect.to)
            source = node.spec.peer_address
            datagram = DatagramReceived(node.spec.node, source, effect.message)
            self._deliver(node, to, datagram, may_be_lost=True)
        elif isinstance(effect, Send):
            received = Received(node.spec.node, effect.message)
            self._deliver(node, effect.to, received, may_be_lost=False)

    def _deliver(
        self, sender: VirtualNode, to: NodeId | None, event: Any, may_be_lost: bool
    ) -> None:
        target = self.nodes.get(to) if to is not None else None
        self._count(sender, target, event.message)
        if target is None:
            return
        if any(separated(sender.spec, target.spec) for separated in self._cuts):
            return
        if may_be_lost and self.loss and self.random.random() < self.loss:
            return
        latency = _latency(sender.spec, target.spec) * (1 + self.random.random())
        self._push(self.now + latency, target.spec.node, event)

    def _count(self, sender: VirtualNode, target: VirtualNode | None, message: Any) -> None:
        sender.traffic.sent += 1
        if not self.measure_bytes:
            return
        encoded = self._codec.encode(message)
        size = len(encode_datagram(sender.spec.node, encoded)) + IP_AND_UDP_HEADER_BYTES
        sender.traffic.sent_bytes += size
        if target is not None:
            target.traffic.received_bytes += size

    def _push(self, at: float, node: NodeId, event: Any) -> None:
        heapq.heappush(self._queue, (at, next(self._order), node, event))


def make_spec(name: str, zone: str, region: str, number: int) -> NodeSpec:
    """Return the spec of node `number`, with an address derived from the number."""
    host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
    peer, client, admin = (Address(host, port) for port in (7000, 3306, 7080))
    return NodeSpec(NodeId(name), ZoneId(zone), region, peer, client, admin)


def alive_record(spec: NodeSpec, incarnation: int = 1) -> MemberUpdate:
    """Return the membership update of a member that is alive."""
    return MemberUpdate(spec.node, incarnation, MemberState.ALIVE, spec)


def _latency(first: NodeSpec, second: NodeSpec) -> float:
    if first.zone == second.zone:
        return ZONE_LATENCY
    return REGION_LATENCY if first.region == second.region else CROSS_REGION_LATENCY
