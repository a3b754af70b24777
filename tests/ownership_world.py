"""A model of several nodes that claim one instance, and of the back end that arbitrates.

Every operation takes effect at the back end at one time and is answered at a later one. Nodes are
paused, restarted and disconnected from each other, and disagree on which should own the instance.
"""

import random
from dataclasses import dataclass, field

from bramblebeam.core.identity import InstanceId, NodeId
from bramblebeam.core.machine import Wakeup
from bramblebeam.core.ownership import events as e
from bramblebeam.core.ownership.claim import ClaimMachine, ClaimState

INSTANCE = InstanceId("db")
GRACE = 5.0


@dataclass
class Connection:
    """A connection at the back end."""

    id: int
    node: str
    is_slot: bool
    usable: bool = False
    used_at: float = 0.0


@dataclass
class Backend:
    """The connections to the back end, and the connection that holds the lock."""

    connections: dict[int, Connection] = field(default_factory=dict)
    lock: int = 0
    next_id: int = 0

    def open(self, node: str, is_slot: bool, now: float) -> Connection:
        self.next_id += 1
        connection = Connection(self.next_id, node, is_slot, used_at=now)
        self.connections[connection.id] = connection
        return connection

    def end(self, connection_id: int) -> None:
        self.connections.pop(connection_id, None)
        if self.lock == connection_id:
            self.lock = 0

    def slots(self) -> set[int]:
        return {connection.id for connection in self.connections.values() if connection.is_slot}

    def usable(self) -> int:
        return sum(connection.usable for connection in self.connections.values())


class Node:
    """One node: the claim machine and a driver that carries out its effects."""

    def __init__(self, world: "World", name: str) -> None:
        self.world, self.name = world, name
        self.machine = ClaimMachine(NodeId(name), INSTANCE)
        self.paused_until = 0.0
        self.control = 0
        self.operation: object = None
        self.answer: object = None
        self.sweeping: set[int] | None = None
        self.open, self.epoch = False, 0
        self.own_slots: set[int] = set()
        self.opening_slots: set[int] = set()
        self.retained_slots: set[int] = set()
        self.requesters: list[Node] = []

    def handle(self, event: object) -> None:
        for effect in self.machine.handle(event, self.world.now):
            self.carry_out(effect)

    def carry_out(self, effect: object) -> None:
        backend = self.world.backend
        match effect:
            case e.OpenSlots():
                self.open, self.epoch = True, effect.epoch
                self.retained_slots = set(effect.retained)
                self.own_slots, self.opening_slots = set(), set()
            case e.CutSlots():
                self.cut()
            case e.CloseControl():
                self.close_control()
            case e.AnswerRelease():
                for requester in self.requesters:
                    if (
                        isinstance(requester.operation, e.RequestRelease)
                        and requester.answer is None
                    ):
                        requester.answer = e.ReleaseAnswered(effect.granted, effect.retained, GRACE)
                self.requesters.clear()
            case _:
                assert self.operation is None, "one operation at a time"
                self.operation = effect
                if isinstance(effect, e.CloseSlots):
                    self.open = False
                    for slot_id in self.own_slots - self.world.busy:
                        backend.end(slot_id)
                        self.own_slots.discard(slot_id)

    def cut(self) -> None:
        self.open = False
        for slot_id in self.own_slots | self.opening_slots:
            self.world.backend.end(slot_id)
        self.own_slots, self.opening_slots = set(), set()
        self.close_control()

    def close_control(self) -> None:
        self.world.backend.end(self.control)
        self.control = 0

    def step(self) -> None:
        """Deliver the next reply or execute the next operation, then use the slots."""
        if self.answer is not None:
            self.operation, answer, self.answer = None, self.answer, None
            self.handle(answer)
        elif self.operation is not None:
            self.execute_operation()
        wakeup = self.machine.next_wakeup()
        if self.operation is None and wakeup is not None and wakeup <= self.world.now:
            self.handle(Wakeup())
        if self.open:
            self.use_slots()

    def execute_operation(self) -> None:
        """Execute the operation in flight at the back end."""
        world, backend = self.world, self.world.backend
        operation = self.operation
        if isinstance(operation, e.OpenControl):
            self.control = backend.open(self.name, False, world.now).id
            self.answer = e.ControlOpened(self.control)
        elif isinstance(operation, e.RequestRelease):
            peer = world.nodes.get(operation.node)
            if peer is None or peer.is_paused or world.random.random() < 0.2:
                self.answer = e.ReleaseUnanswered()
            elif self not in peer.requesters:
                peer.requesters.append(self)
                peer.handle(e.ReleaseRequested(NodeId(self.name), operation.epoch))
        elif isinstance(operation, e.CloseSlots):
            if not self.opening_slots:
                self.answer = e.SlotsClosed(tuple(sorted(self.own_slots | self.retained_slots)))
        elif isinstance(operation, e.ReleaseLock):
            self.close_control()
            self.answer = e.LockReleased()
        elif self.control not in backend.connections:
            self.answer = e.ControlLost()
        elif isinstance(operation, e.TryLock):
            self.answer = self.try_lock()
        elif isinstance(operation, e.Evict):
            backend.end(operation.connection_id)
            self.answer = e.Evicted()
        elif isinstance(operation, e.Sweep):
            self.sweep(set(operation.keep))

    def try_lock(self) -> object:
        backend = self.world.backend
        if not backend.lock:
            backend.lock = self.control
        if backend.lock == self.control:
            return e.LockTaken()
        holder = backend.connections[backend.lock]
        return e.LockHeld(holder.id, NodeId(holder.node), self.world.now - holder.used_at)

    def sweep(self, keep: set[int]) -> None:
        backend = self.world.backend
        if self.sweeping is None:
            self.sweeping = set() if self.world.no_sweep else backend.slots() - keep
        if self.sweeping:
            backend.end(self.sweeping.pop())
            return
        self.sweeping = None
        if backend.slots() - keep and not self.world.no_sweep:
            return
        self.answer = e.Swept(tuple(sorted(backend.slots() & keep)))

    def use_slots(self) -> None:
        """Use the control connection, notice its loss, open slots and end statements."""
        world, backend = self.world, self.world.backend
        control = backend.connections.get(self.control)
        notices = world.random.random() < 0.3
        if control is None and notices and self.operation is None:
            self.handle(e.ControlLost())
            return
        if control is not None:
            control.used_at = world.now
        self.retained_slots &= backend.slots()
        self.own_slots &= backend.slots()
        choice = world.random.random()
        if (
            choice < 0.6
            and len(self.own_slots | self.opening_slots | self.retained_slots) < world.total
        ):
            refused = world.backstop and len(backend.slots()) >= world.total
            if not refused:
                self.opening_slots.add(backend.open(self.name, True, world.now).id)
        elif choice < 0.7 and self.own_slots:
            ended = world.random.choice(sorted(self.own_slots))
            world.busy.discard(ended)

    def check_opened_slots(self) -> None:
        """Finish opening slots: a connection is used only if its epoch holds the lock."""
        backend = self.world.backend
        for slot_id in sorted(self.opening_slots):
            self.opening_slots.discard(slot_id)
            connection = backend.connections.get(slot_id)
            if connection is None:
                continue
            if backend.lock == self.epoch or self.world.no_check:
                connection.usable = True
                self.own_slots.add(slot_id)
                if self.world.random.random() < 0.5:
                    self.world.busy.add(slot_id)
            else:
                backend.end(slot_id)

    @property
    def is_paused(self) -> bool:
        return self.paused_until > self.world.now


class World:
    """Random schedules over the nodes; records the peak numbers of connections and the owners."""

    def __init__(
        self,
        seed: int,
        backstop: bool = False,
        no_sweep: bool = False,
        no_check: bool = False,
    ) -> None:
        self.random = random.Random(seed)
        self.now, self.total = 0.0, 3
        self.backend = Backend()
        self.busy: set[int] = set()
        self.backstop, self.no_sweep, self.no_check = backstop, no_sweep, no_check
        self.nodes = {NodeId(name): Node(self, name) for name in ("a", "b", "c")}
        self.peak_usable, self.peak_connections, self.owners = 0, 0, set()

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.now += self.random.choice((0.0, 0.01, 0.05, 0.3))
            node = self.random.choice(list(self.nodes.values()))
            self.inject_fault(node)
            if not node.is_paused:
                node.step()
                self.observe()
                node.check_opened_slots()
            self.finish_some_statements()
            self.observe()

    def finish_some_statements(self) -> None:
        """End statements on connections being handed over at random, also of paused nodes."""
        for node in self.nodes.values():
            for slot_id in sorted(node.own_slots):
                if not node.open and self.random.random() < 0.05:
                    self.backend.end(slot_id)
                    node.own_slots.discard(slot_id)

    def inject_fault(self, node: Node) -> None:
        choice = self.random.random()
        if choice < 0.04:
            node.paused_until = self.now + self.random.choice((0.5, 3.0, 8.0))
        elif choice < 0.10 and not node.is_paused:
            node.handle(e.WantedChanged(self.random.random() < 0.5))
        elif choice < 0.12:
            self.restart(node)
        elif choice < 0.125:
            self.backend.connections.clear()
            self.backend.lock = 0

    def restart(self, node: Node) -> None:
        """Replace a node; its connections may stay open at the back end."""
        if self.random.random() < 0.5:
            node.cut()
        self.nodes[NodeId(node.name)] = Node(self, node.name)

    def settle(self) -> None:
        """End the faults and let only node `a` want the instance."""
        for node in self.nodes.values():
            node.paused_until = 0.0
            node.handle(e.WantedChanged(node.name == "a"))
        for _ in range(4_000):
            self.now += 0.01
            for node in self.nodes.values():
                node.step()
                node.check_opened_slots()
            self.observe()

    def observe(self) -> None:
        self.peak_usable = max(self.peak_usable, self.backend.usable())
        self.peak_connections = max(self.peak_connections, len(self.backend.slots()))
        for node in self.nodes.values():
            if node.machine.state is ClaimState.OWNING and self.backend.lock == node.control:
                self.owners.add(node.name)
