"""The members of one group in virtual time: their state machines, disks and faults."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from bramblebeam.core.identity import InstanceId, NodeId, Position
from bramblebeam.core.machine import Received, Send, Wakeup
from bramblebeam.core.role import Role
from bramblebeam.lab.database import messages as db
from bramblebeam.lab.database.replica import Replica
from bramblebeam.lab.schedules.clock import Network, VirtualClock

WRITE_INTERVAL = 0.02


class HistoryError(Exception):
    """Two members applied different entries at the same log offset."""


@dataclass
class Member:
    """A member's state machine, its persisted state and its current faults.

    `waiting`: callbacks of commands without a result yet, by token. `paused_until`: seconds.
    """

    name: InstanceId
    replica: Replica
    disk: list[db.Entry] = field(default_factory=list)
    disk_promise: int = 0
    dead: bool = False
    paused_until: float = 0.0
    waiting: dict[int, Callable[[Any], None]] = field(default_factory=dict)


class Members:
    """Drives the members; records the writes that they acknowledged and applied."""

    def __init__(self, clock: VirtualClock, network: Network, names: Iterable[InstanceId]) -> None:
        self.acknowledged: dict[Position, int] = {}
        self.all = {name: Member(name, Replica(NodeId(name), 0.0)) for name in names}
        self._clock = clock
        self._network = network
        self._applied: dict[int, tuple[int, Any]] = {}
        self._tokens = count(1)
        self._payloads = count(1)

    def send_command(
        self, name: InstanceId, event: Callable[[int], Any], answered: Callable[[Any], None]
    ) -> None:
        """Pass an event with a new token to a live member; `answered` is called with the result."""
        token = next(self._tokens)
        order = event(token)
        waiting = self.all[name].waiting
        waiting[token] = answered
        self.deliver(name, order)
        if isinstance(order, db.PauseWrites):
            waiting.pop(token)(db.TermAccepted(token))

    def write_periodically(self) -> None:
        """Write periodically to every member that considers itself the primary."""
        self._clock.call_later(WRITE_INTERVAL, self.write_periodically)
        for member in self.all.values():
            if member.replica.role is Role.PRIMARY and not member.dead:
                self._write(member.name, next(self._payloads))

    def deliver(self, name: InstanceId, event: Any) -> None:
        """Deliver an event to a member, after its pause if it is paused; drop it if it is dead."""
        member = self.all[name]
        if member.dead:
            return
        replica = member.replica
        if member.paused_until > self._clock.now:
            delay = member.paused_until - self._clock.now
            self._clock.call_later(delay, lambda: self._deliver_deferred(name, replica, event))
            return
        for effect in replica.handle(event, self._clock.now):
            self._execute(member, effect)
        due = replica.next_wakeup()
        if due is not None:
            delay = max(due - self._clock.now, 0.0)
            self._clock.call_later(delay, lambda: self._wake(name, replica, due))

    def pause(self, name: InstanceId, seconds: float) -> None:
        """Pause a live member's process."""
        member = self.all[name]
        if not member.dead:
            member.paused_until = self._clock.now + seconds

    def kill(self, name: InstanceId) -> None:
        """Kill a member's process; its disk is kept."""
        member = self.all[name]
        member.dead = True
        member.waiting.clear()

    def restart(self, name: InstanceId) -> None:
        """Restart a dead member from its disk."""
        member = self.all[name]
        if member.dead:
            member.dead = False
            member.paused_until = 0.0
            disk = tuple(member.disk)
            member.replica = Replica(NodeId(name), self._clock.now, member.disk_promise, disk)

    def _write(self, name: InstanceId, payload: int) -> None:
        def answered(answer: Any) -> None:
            if isinstance(answer, db.Acknowledged):
                self.acknowledged[answer.position] = payload

        self.send_command(name, lambda token: db.Propose(token, payload), answered)

    def _deliver_deferred(self, name: InstanceId, replica: Replica, event: Any) -> None:
        """Deliver a deferred event, unless the member's process was replaced in the meantime."""
        if self.all[name].replica is replica:
            self.deliver(name, event)

    def _wake(self, name: InstanceId, replica: Replica, due: float) -> None:
        if replica.next_wakeup() == due:
            self._deliver_deferred(name, replica, Wakeup())

    def _execute(self, member: Member, effect: Any) -> None:
        match effect:
            case Send(to=to, message=message):
                self._send(member.name, InstanceId(to), message)
            case db.PersistPromise(term=term):
                member.disk_promise = term
            case db.PersistEntries(first=first, entries=entries):
                member.disk[first - 1 :] = entries
            case db.Apply(position=position, payload=payload):
                self._record_applied(position, payload)
            case (
                db.Acknowledged(token=token)
                | db.TermAccepted(token=token)
                | db.Refused(token=token)
            ):
                member.waiting.pop(token)(effect)

    def _send(self, sender: InstanceId, to: InstanceId, message: Any) -> None:
        if not self._network.draw_loss(sender, to):
            received = Received(NodeId(sender), message)
            self._clock.call_later(self._network.delay(), lambda: self.deliver(to, received))

    def _record_applied(self, position: Position, payload: Any) -> None:
        entry = (position.term, payload)
        known = self._applied.setdefault(position.offset, entry)
        if known != entry:
            raise HistoryError(f"offset {position.offset}: applied {entry}, previously {known}")
