"""The group machine in virtual time, run against a small model of a database group."""

import heapq
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from bramblebeam.core.group import events
from bramblebeam.core.group.events import CommandOutcome
from bramblebeam.core.group.machine import GroupMachine
from bramblebeam.core.group.messages import (
    ChangeOutcome,
    GroupPhase,
    MemberStatus,
    ReachabilityReply,
)
from bramblebeam.core.group.timing import GroupTiming
from bramblebeam.core.identity import (
    Address,
    GroupId,
    InstanceId,
    InstanceSpec,
    NodeId,
    Position,
    ZoneId,
)
from bramblebeam.core.machine import Received, Send, Wakeup
from bramblebeam.core.role import Role

GROUP = GroupId("parcels")
NAMES = tuple(InstanceId(f"db-{number}") for number in (1, 2, 3))
SPECS = tuple(
    InstanceSpec(name, GROUP, ZoneId("zone-a"), Address("127.0.0.1", 3300 + number))
    for number, name in enumerate(NAMES)
)
LATENCY = 0.002
FIRST = Position(1, 10)


@dataclass
class ModelMember:
    """One member. `contact_at`: when it last had contact with a primary of its term."""

    name: InstanceId
    term: int = 1
    promised: int = 1
    role: Role = Role.REPLICA
    primary: str = "db-1"
    last: Position = FIRST
    contact_at: float = 0.0
    dead: bool = False
    cut_clients: bool = False
    cut_peers: bool = False
    paused_until: float = 0.0
    leaving: bool = False
    frozen_log: bool = False
    slowness: float = 0.0

    def status(self, now: float) -> MemberStatus:
        contact = int((now - self.contact_at) * 1000)
        return MemberStatus(
            self.name,
            self.term,
            self.role,
            self.last,
            self.last,
            0,
            contact,
            self.primary,
            self.promised,
            self.leaving,
        )


@dataclass
class Model:
    """Members and watchers with one clock and one ordered queue of calls."""

    watchers: int = 1
    now: float = 0.0
    members: dict[InstanceId, ModelMember] = field(default_factory=dict)
    machines: dict[NodeId, GroupMachine] = field(default_factory=dict)
    log: list[Any] = field(default_factory=list)
    lost: set[type] = field(default_factory=set)
    cut_watchers: set[tuple[NodeId, InstanceId]] = field(default_factory=set)
    paused_watchers: dict[NodeId, float] = field(default_factory=dict)
    queue: list[Any] = field(default_factory=list)
    order: Any = field(default_factory=count)

    def __post_init__(self) -> None:
        self.members = {name: ModelMember(name) for name in NAMES}
        self.members[NAMES[0]].role = Role.PRIMARY
        nodes = tuple(NodeId(f"node-{number}") for number in range(self.watchers))
        for node in nodes:
            self.machines[node] = GroupMachine(GROUP, node)
            self.deliver(node, events.GroupReconfigured(SPECS, True, nodes))
        self.at(0.05, self.replicate)

    def at(self, delay: float, call: Any) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.order), call))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = end

    def alive(self, member: ModelMember) -> bool:
        return not member.dead and member.paused_until <= self.now

    def replicate(self) -> None:
        """Replicate one heartbeat and one write of every member that considers itself primary."""
        self.at(0.05, self.replicate)
        for primary in self.members.values():
            if primary.role is not Role.PRIMARY or not self.alive(primary):
                continue
            receivers = [
                member
                for member in self.members.values()
                if self.alive(member)
                and (member is primary or not (member.cut_peers or primary.cut_peers))
                and member.promised <= primary.term
            ]
            new = Position(primary.term, primary.last.offset + 1)
            if primary in receivers and len(receivers) >= 2:
                primary.contact_at = self.now
            if primary in receivers:
                primary.last = new
            for member in receivers:
                if member is primary or member.primary != primary.name:
                    continue
                member.contact_at = self.now
                if not member.frozen_log:
                    member.last = new

    def deliver(self, node: NodeId, event: Any) -> None:
        until = self.paused_watchers.get(node, 0.0)
        if until > self.now:
            self.at(until - self.now, lambda: self.deliver(node, event))
            return
        machine = self.machines[node]
        for effect in machine.handle(event, self.now):
            self.carry_out(node, effect)
        due = machine.next_wakeup()
        assert due is not None
        self.at(max(due - self.now, 0.0), lambda: self.wake_up(node, due))

    def wake_up(self, node: NodeId, due: float) -> None:
        if self.machines[node].next_wakeup() == due:
            self.deliver(node, Wakeup())

    def carry_out(self, node: NodeId, effect: Any) -> None:
        self.log.append((self.now, node, effect))
        match effect:
            case events.QueryStatus() | events.Promise() | events.Promote() | events.Follow():
                self.at(LATENCY, lambda: self.arrive(node, effect))
            case events.PauseWrites():
                self.at(LATENCY, lambda: self.arrive(node, effect))
            case Send(to=to, message=message):
                self.at(LATENCY, lambda: self.deliver(to, Received(node, message)))

    def arrive(self, node: NodeId, effect: Any) -> None:
        member = self.members[effect.instance]
        if member.paused_until > self.now and not member.cut_clients:
            self.at(member.paused_until - self.now, lambda: self.arrive(node, effect))
            return
        cut = member.cut_clients or (node, member.name) in self.cut_watchers
        if member.dead or cut:
            delay = effect.timeout if cut else LATENCY
            self.at(delay, lambda: self.fail(node, effect, refused=not cut))
            return
        answer = self.execute(member, effect)
        if answer is not None and type(effect) in self.lost:
            self.at(effect.timeout, lambda: self.fail(node, effect, refused=False))
        elif answer is not None:
            self.at(LATENCY + member.slowness, lambda: self.deliver(node, answer))

    def fail(self, node: NodeId, effect: Any, refused: bool) -> None:
        lost = CommandOutcome.LOST
        match effect:
            case events.QueryStatus(instance=name, queried_at=at):
                self.deliver(node, events.StatusFailed(name, at, refused))
            case events.Promise(instance=name, term=term):
                self.deliver(node, events.PromiseAnswered(name, term, lost))
            case events.Promote(instance=name, term=term):
                self.deliver(node, events.PromoteAnswered(name, term, lost))
            case events.PauseWrites(instance=name):
                self.deliver(node, events.PauseAnswered(name, lost))

    def execute(self, member: ModelMember, effect: Any) -> Any:
        done = CommandOutcome.DONE
        match effect:
            case events.QueryStatus(queried_at=at):
                return events.StatusObserved(member.name, member.status(self.now), at)
            case events.Promise():
                return self.promise(member, effect.term)
            case events.Promote(term=term):
                accepted = member.promised == term
                if accepted:
                    member.term, member.role, member.primary = term, Role.PRIMARY, member.name
                outcome = done if accepted else CommandOutcome.REFUSED
                return events.PromoteAnswered(member.name, term, outcome)
            case events.Follow(term=term, primary=primary):
                if member.promised <= term and member.name != primary.instance:
                    member.term, member.promised, member.role = term, term, Role.REPLICA
                    member.primary = primary.instance
                    member.last = self.members[primary.instance].last
            case events.PauseWrites(milliseconds=milliseconds) if milliseconds:
                return events.PauseAnswered(member.name, done)
        return None

    def promise(self, member: ModelMember, term: int) -> events.PromiseAnswered:
        if member.promised >= term:
            return events.PromiseAnswered(member.name, term, CommandOutcome.REFUSED)
        member.promised = term
        member.role = Role.REPLICA
        status = member.status(self.now)
        return events.PromiseAnswered(member.name, term, CommandOutcome.DONE, status)

    def effects(self, kind: type) -> list[tuple[float, NodeId, Any]]:
        return [entry for entry in self.log if isinstance(entry[2], kind)]

    def primary(self) -> ModelMember:
        return max(
            (m for m in self.members.values() if m.role is Role.PRIMARY), key=lambda m: m.term
        )


def steady_model(watchers: int = 1) -> Model:
    model = Model(watchers)
    model.run(3.0)
    assert not model.effects(events.Promise)
    return model


def test_healthy_group_is_not_changed() -> None:
    model = steady_model(3)
    model.run(60.0)
    assert not model.effects(events.ChangeStarted)
    assert all(m.status(model.now).phase is GroupPhase.STEADY for m in model.machines.values())


def test_killed_primary_is_replaced_once_and_followed() -> None:
    for watchers in (1, 2, 3):
        model = steady_model(watchers)
        model.members[NAMES[0]].dead = True
        killed_at = model.now
        model.run(5.0)
        [(completed_at, _, completed)] = model.effects(events.ChangeCompleted)
        assert completed_at - killed_at < 1.0
        assert completed.term == 2
        assert all(m.view.primary == completed.primary for m in model.machines.values())
        live = [m for m in model.members.values() if not m.dead]
        assert {m.primary for m in live} == {completed.primary}


def test_cut_off_primary_is_replaced_within_three_seconds_and_later_follows() -> None:
    model = steady_model(3)
    cut = model.members[NAMES[0]]
    cut.cut_clients = cut.cut_peers = True
    cut_at = model.now
    model.run(4.0)
    [(completed_at, _, completed)] = model.effects(events.ChangeCompleted)
    assert 0.5 < completed_at - cut_at < 1.5
    assert cut.role is Role.PRIMARY
    cut.cut_clients = cut.cut_peers = False
    model.run(3.0)
    assert cut.role is Role.REPLICA
    assert cut.primary == completed.primary


def test_primary_cut_from_its_members_only_is_not_chosen_again() -> None:
    """It answers the watcher and has the longest log: no other member received its last writes."""
    model = steady_model(1)
    cut = model.members[NAMES[0]]
    cut.cut_peers = True
    model.members[NAMES[2]].slowness = 0.1
    model.run(3.0)
    [(_, _, completed)] = model.effects(events.ChangeCompleted)
    assert completed.primary != cut.name
    assert cut.last.offset > 10


def test_primary_cut_from_clients_only_is_replaced_after_the_longer_bound() -> None:
    model = steady_model(2)
    model.members[NAMES[0]].cut_clients = True
    cut_at = model.now
    model.run(4.0)
    [(completed_at, _, _)] = model.effects(events.ChangeCompleted)
    assert GroupTiming().unreachable_bound <= completed_at - cut_at < 2.0


def test_watcher_that_alone_is_cut_from_the_primary_does_not_act() -> None:
    model = steady_model(2)
    model.cut_watchers.add((NodeId("node-0"), NAMES[0]))
    model.run(10.0)
    assert not model.effects(events.ChangeStarted)
    replies = [e for _, _, e in model.effects(Send) if isinstance(e.message, ReachabilityReply)]
    assert any(reply.message.reachable for reply in replies)


def test_pause_under_half_a_second_changes_nothing() -> None:
    for offset in range(20):
        model = steady_model(3)
        model.run(offset * 0.013)
        model.members[NAMES[0]].paused_until = model.now + 0.499
        model.run(4.0)
        assert not model.effects(events.ChangeStarted)


def test_paused_watcher_that_resumes_late_changes_nothing() -> None:
    model = steady_model(1)
    model.paused_watchers[NodeId("node-0")] = model.now + 20.0
    model.run(25.0)
    assert not model.effects(events.ChangeStarted)


def test_another_watcher_acts_for_a_paused_first_one_which_resumes_safely() -> None:
    model = steady_model(3)
    first = NodeId("node-0")
    model.paused_watchers[first] = model.now + 5.0
    model.members[NAMES[0]].dead = True
    killed_at = model.now
    model.run(10.0)
    [(completed_at, node, completed)] = model.effects(events.ChangeCompleted)
    assert node != first
    assert completed_at - killed_at < 1.8
    assert model.machines[first].view.term == completed.term


def test_two_primaries_lost_in_a_row_are_both_replaced() -> None:
    model = steady_model(3)
    model.members[NAMES[0]].dead = True
    model.run(1.5)
    second = model.primary()
    model.members[NAMES[0]].dead = False
    second.dead = True
    model.run(4.0)
    assert len(model.effects(events.ChangeCompleted)) == 2
    live = [member for member in model.members.values() if not member.dead]
    assert {member.primary for member in live} == {model.primary().name}
    assert model.primary().name != second.name


def test_lost_promotion_answer_is_settled_by_status() -> None:
    model = steady_model(1)
    model.lost.add(events.Promote)
    model.members[NAMES[0]].dead = True
    model.run(3.0)
    assert len(model.effects(events.Promote)) == 1
    assert model.primary().term == 2


def test_term_of_lost_promises_is_never_promoted() -> None:
    model = steady_model(1)
    model.lost.add(events.Promise)
    model.members[NAMES[0]].dead = True
    model.run(1.2)
    assert not model.effects(events.Promote)
    model.lost.clear()
    model.run(3.0)
    [(_, _, promote)] = model.effects(events.Promote)
    assert promote.term > 2
    assert model.primary().term == promote.term


def test_member_that_lacks_the_last_entries_is_not_chosen() -> None:
    model = steady_model(1)
    model.members[NAMES[1]].frozen_log = True
    model.run(1.0)
    model.members[NAMES[0]].dead = True
    model.run(3.0)
    assert model.primary().name == NAMES[2]


def test_leaving_member_is_not_chosen_if_another_has_an_equal_log() -> None:
    model = steady_model(1)
    model.members[NAMES[1]].leaving = True
    model.members[NAMES[0]].dead = True
    model.run(3.0)
    assert model.primary().name == NAMES[2]


def test_member_blocked_by_an_abandoned_promise_rejoins() -> None:
    model = steady_model(1)
    model.members[NAMES[2]].promised = 7
    model.run(6.0)
    assert model.primary().name == NAMES[0]
    assert model.primary().term == 8
    assert model.members[NAMES[2]].term == 8


def test_planned_change_reaches_the_target() -> None:
    model = steady_model(1)
    model.deliver(NodeId("node-0"), events.ChangeRequested(1, NAMES[2]))
    model.run(2.0)
    [(_, _, finished)] = model.effects(events.RequestFinished)
    assert finished.outcome is ChangeOutcome.DONE
    assert finished.duration < 0.05
    assert model.primary().name == NAMES[2]
    assert {m.primary for m in model.members.values()} == {NAMES[2]}


def test_planned_change_to_a_lagging_target_is_aborted_and_writes_resume() -> None:
    model = steady_model(1)
    model.members[NAMES[2]].frozen_log = True
    model.run(1.0)
    model.deliver(NodeId("node-0"), events.ChangeRequested(1, NAMES[2]))
    model.run(3.0)
    [(_, _, finished)] = model.effects(events.RequestFinished)
    assert finished.outcome is ChangeOutcome.ABORTED
    assert not model.effects(events.Promise)
    assert [pause.milliseconds for _, _, pause in model.effects(events.PauseWrites)][-1] == 0


def test_observed_group_is_followed_and_never_commanded() -> None:
    model = steady_model(1)
    node = NodeId("node-0")
    model.deliver(node, events.GroupReconfigured(SPECS, False, (node,)))
    old, new = model.members[NAMES[0]], model.members[NAMES[1]]
    old.dead = True
    model.run(2.0)
    new.term, new.promised, new.role, new.primary = 5, 5, Role.PRIMARY, new.name
    model.run(2.0)
    commands = (events.Promise, events.Promote, events.Follow, events.PauseWrites)
    assert not any(model.effects(kind) for kind in commands)
    assert model.machines[node].view.primary == new.name
    assert model.machines[node].view.term == 5
