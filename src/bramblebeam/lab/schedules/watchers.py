"""The watchers of one group in virtual time: their state machines, pauses and commands."""

from collections.abc import Callable
from typing import Any

from bramblebeam.core.group import events
from bramblebeam.core.group.machine import GroupMachine
from bramblebeam.core.identity import GroupId, InstanceSpec, NodeId
from bramblebeam.core.machine import Received, Send, Wakeup
from bramblebeam.lab.database import messages as db
from bramblebeam.lab.schedules.clock import Network, VirtualClock
from bramblebeam.lab.schedules.members import Members
from bramblebeam.lab.schedules.translate import (
    COMMANDS,
    command_event,
    failure_event,
    member_status,
    result_event,
)

ResultCallback = Callable[[Any], None]


class Watchers:
    """Drives the watchers' state machines and sends their commands to the members."""

    def __init__(
        self,
        clock: VirtualClock,
        network: Network,
        members: Members,
        specs: tuple[InstanceSpec, ...],
        nodes: tuple[NodeId, ...],
    ) -> None:
        self.nodes = nodes
        self.promotions = 0
        self._clock = clock
        self._network = network
        self._members = members
        self._specs = specs
        self._machines: dict[NodeId, GroupMachine] = {}
        self._paused_until: dict[NodeId, float] = {}
        for node in nodes:
            self.replace(node)

    def replace(self, node: NodeId) -> None:
        """Start a watcher, or replace it by a new one without any state."""
        group: GroupId = self._specs[0].group
        self._machines[node] = GroupMachine(group, node)
        self.deliver(node, events.GroupReconfigured(self._specs, True, self.nodes))

    def pause(self, node: NodeId, seconds: float) -> None:
        """Pause a watcher."""
        self._paused_until[node] = self._clock.now + seconds

    def deliver(self, node: NodeId, event: Any) -> None:
        """Deliver an event to a watcher, after its pause if it is paused."""
        machine = self._machines[node]
        wait = self._paused_until.get(node, 0.0) - self._clock.now
        if wait > 0:
            self._clock.call_later(wait, lambda: self._deliver_deferred(node, machine, event))
            return
        for effect in machine.handle(event, self._clock.now):
            self._execute(node, machine, effect)
        due = machine.next_wakeup()
        if due is not None:
            delay = max(due - self._clock.now, 0.0)
            self._clock.call_later(delay, lambda: self._wake(node, machine, due))

    def _deliver_deferred(self, node: NodeId, machine: GroupMachine, event: Any) -> None:
        if self._machines[node] is machine:
            self.deliver(node, event)

    def _wake(self, node: NodeId, machine: GroupMachine, due: float) -> None:
        if machine.next_wakeup() == due:
            self._deliver_deferred(node, machine, Wakeup())

    def _execute(self, node: NodeId, machine: GroupMachine, effect: Any) -> None:
        match effect:
            case Send(to=to, message=message):
                if not self._network.draw_loss(node, to):
                    received = Received(node, message)
                    self._clock.call_later(
                        self._network.delay(), lambda: self.deliver(to, received)
                    )
            case events.ChangeCompleted():
                self.promotions += 1
            case _ if isinstance(effect, COMMANDS):
                self._send_command(node, machine, effect)

    def _send_command(self, node: NodeId, machine: GroupMachine, command: Any) -> None:
        """Send a command; its watcher gets at most one result, a failure after the timeout."""
        answered: list[bool] = []

        def answer(event: Any) -> None:
            if not answered and event is not None:
                answered.append(True)
                self._deliver_deferred(node, machine, event)

        self._clock.call_later(
            command.timeout, lambda: answer(failure_event(command, refused=False))
        )
        if not self._network.draw_loss(node, command.instance):
            delay = self._network.command_delay()
            self._clock.call_later(delay, lambda: self._arrive(node, command, answer))

    def _arrive(self, node: NodeId, command: Any, answer: ResultCallback) -> None:
        member = self._members.all[command.instance]
        if member.dead:
            refused = failure_event(command, refused=True)
            self._clock.call_later(self._network.delay(), lambda: answer(refused))
            return
        wait = member.paused_until - self._clock.now
        if wait > 0:
            replica = member.replica

            def arrive_deferred() -> None:
                if member.replica is replica:
                    self._arrive(node, command, answer)

            self._clock.call_later(wait, arrive_deferred)
            return

        def reply(result: Any) -> None:
            accepted = isinstance(result, db.TermAccepted)
            status = member_status(member.name, member.replica, self._clock.now)
            event = result_event(command, accepted, status)
            if not (self._network.draw_reply_loss() or self._network.draw_loss(node, member.name)):
                self._clock.call_later(self._network.delay(), lambda: answer(event))

        if isinstance(command, events.QueryStatus):
            reply(None)
        else:
            self._members.send_command(
                member.name, lambda token: command_event(token, command), reply
            )
