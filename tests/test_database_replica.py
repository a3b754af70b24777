"""The replicated log under loss, reordering, pauses, restarts and several controllers at once."""

import heapq
import itertools
import random
from typing import Any

import pytest

from bramblebeam.core.identity import NodeId, Position
from bramblebeam.core.machine import Received, Send, Wakeup
from bramblebeam.core.role import Role
from bramblebeam.lab.database.messages import (
    Acknowledged,
    Apply,
    Confirmed,
    ConfirmPosition,
    Entry,
    FollowPrimary,
    PauseWrites,
    PersistEntries,
    PersistPromise,
    PromiseTerm,
    PromoteMember,
    Propose,
    RefusalCode,
    Refused,
    SetLag,
    TermAccepted,
)
from bramblebeam.lab.database.replica import Replica

DISK_EFFECTS = (PersistPromise, PersistEntries)


class Disk:
    """What a member has persisted."""

    def __init__(self) -> None:
        self.promised = 0
        self.entries: list[Entry] = []

    def write(self, effect: PersistPromise | PersistEntries) -> None:
        if isinstance(effect, PersistPromise):
            self.promised = effect.term
        else:
            self.entries[effect.first - 1 :] = effect.entries


class Cluster:
    """Members in virtual time on a network with faults, and the record of what they did."""

    def __init__(self, size: int, seed: int, loss: float = 0.0, delay: float = 0.002) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.loss = loss
        self.delay = delay
        self.names = [NodeId(f"db{number}") for number in range(size)]
        self.disks = {name: Disk() for name in self.names}
        self.members = {name: Replica(name, 0.0) for name in self.names}
        self.applied: dict[NodeId, list[tuple[Position, Any]]] = {n: [] for n in self.names}
        self.paused: dict[NodeId, float] = {}
        self.cut: set[tuple[NodeId, NodeId]] = set()
        self.queue: list[tuple[float, int, NodeId, Any]] = []
        self.order = itertools.count()
        self.tokens = itertools.count(1)
        self.answers: dict[int, Any] = {}
        self.acknowledged: dict[Position, tuple[NodeId, Any]] = {}
        self.proposed: dict[int, Any] = {}
        self.wakeups: dict[NodeId, float] = {}

    def post(self, name: NodeId, event: Any, delay: float = 0.0) -> None:
        heapq.heappush(self.queue, (self.now + delay, next(self.order), name, event))

    def ask(self, name: NodeId, make: Any, *arguments: Any) -> int:
        token = next(self.tokens)
        self.post(name, make(token, *arguments))
        return token

    def propose(self, name: NodeId, value: Any) -> int:
        token = self.ask(name, Propose, value)
        self.proposed[token] = value
        return token

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            self.now, _, name, event = heapq.heappop(self.queue)
            self.deliver(name, event)
        self.now = end

    def deliver(self, name: NodeId, event: Any) -> None:
        resume = self.paused.get(name, 0.0)
        if resume > self.now:
            self.post(name, event, resume - self.now)
            return
        if isinstance(event, Wakeup):
            if self.wakeups.get(name) != self.now:
                return
            del self.wakeups[name]
        member = self.members[name]
        for effect in member.handle(event, self.now):
            self.carry_out(name, effect)
        due = member.next_wakeup()
        if due is not None:
            due = max(due, self.now + 1e-6)
            known = self.wakeups.get(name)
            if known is None or due < known or known <= self.now:
                self.wakeups[name] = due
                heapq.heappush(self.queue, (due, next(self.order), name, Wakeup()))

    def carry_out(self, name: NodeId, effect: Any) -> None:
        if isinstance(effect, DISK_EFFECTS):
            self.disks[name].write(effect)
        elif isinstance(effect, Send):
            self.send(name, effect.to, effect.message)
        elif isinstance(effect, Apply):
            self.applied[name].append((effect.position, effect.payload))
        elif isinstance(effect, Acknowledged):
            value = self.proposed[effect.token]
            assert self.applied[name][-1] == (effect.position, value)
            known = self.acknowledged.setdefault(effect.position, (name, value))
            assert known == (name, value)
            self.answers[effect.token] = effect
        elif isinstance(effect, Confirmed | Refused | TermAccepted):
            assert effect.token not in self.answers
            self.answers[effect.token] = effect

    def send(self, sender: NodeId, to: NodeId, message: Any) -> None:
        copies = 2 if self.random.random() < self.loss / 2 else 1
        for _ in range(copies):
            if (sender, to) in self.cut or self.random.random() < self.loss:
                continue
            spread = self.delay * (1 + 4 * self.random.random() if self.loss else 1)
            self.post(to, Received(sender, message), spread)

    def restart(self, name: NodeId) -> None:
        disk = self.disks[name]
        self.queue = [item for item in self.queue if item[2] != name]
        heapq.heapify(self.queue)
        self.wakeups.pop(name, None)
        self.applied[name] = []
        self.members[name] = Replica(name, self.now, disk.promised, disk.entries)

    def promote(self, name: NodeId, term: int) -> None:
        """Promise on all members and promote one, without faults."""
        tokens = [self.ask(member, PromiseTerm, term) for member in self.names]
        self.run(0.001)
        assert all(isinstance(self.answers[token], TermAccepted) for token in tokens)
        token = self.ask(name, PromoteMember, term, tuple(self.names))
        self.run(0.02)
        assert isinstance(self.answers[token], TermAccepted)

    def check(self) -> None:
        """No acknowledged write is lost; histories agree; one acknowledging primary a term."""
        primaries: dict[int, set[NodeId]] = {}
        for position, (name, value) in self.acknowledged.items():
            primaries.setdefault(position.term, set()).add(name)
            holders = [
                disk
                for disk in self.disks.values()
                if len(disk.entries) >= position.offset
                and disk.entries[position.offset - 1] == Entry(position.term, value)
            ]
            assert len(holders) > len(self.names) // 2
        assert all(len(names) == 1 for names in primaries.values())
        longest = max(self.applied.values(), key=len)
        for history in self.applied.values():
            assert history == longest[: len(history)]


def test_write_is_acknowledged_by_a_majority_and_applied_everywhere() -> None:
    cluster = Cluster(3, seed=1)
    cluster.promote(cluster.names[0], 1)
    token = cluster.propose(cluster.names[0], "a")
    cluster.run(0.1)
    assert cluster.answers[token] == Acknowledged(token, Position(1, 2))
    assert all(history[-1] == (Position(1, 2), "a") for history in cluster.applied.values())
    cluster.check()


def test_replica_refuses_writes_and_isolated_primary_refuses_before_it_appends() -> None:
    cluster = Cluster(3, seed=1)
    first, second, third = cluster.names
    cluster.promote(first, 1)
    refused = cluster.propose(second, "a")
    cluster.run(0.01)
    assert cluster.answers[refused].code is RefusalCode.NOT_PRIMARY
    cluster.cut = {(second, first), (third, first)}
    appended = cluster.propose(first, "b")
    cluster.run(1.0)
    late = cluster.propose(first, "c")
    cluster.run(1.5)
    assert cluster.answers[appended].code is RefusalCode.MAJORITY_NOT_REACHED
    assert cluster.answers[late].code is RefusalCode.NOT_PRIMARY
    assert cluster.members[first].status(cluster.now).primary_contact > 2.0
    cluster.check()


def test_promise_ends_the_old_primary_and_its_tail_is_dropped() -> None:
    cluster = Cluster(3, seed=1)
    first, second, third = cluster.names
    cluster.promote(first, 1)
    kept = cluster.propose(first, "kept")
    cluster.run(0.05)
    cluster.cut = {(first, second), (first, third)}
    lost = cluster.propose(first, "lost")
    cluster.run(0.01)
    for member in (second, third):
        cluster.ask(member, PromiseTerm, 2)
    cluster.run(0.01)
    cluster.ask(second, PromoteMember, 2, tuple(cluster.names))
    after = cluster.propose(second, "after")
    cluster.run(0.05)
    assert isinstance(cluster.answers[after], Acknowledged)
    cluster.cut = set()
    cluster.run(0.5)
    assert cluster.answers[lost].code is RefusalCode.MAJORITY_NOT_REACHED
    assert isinstance(cluster.answers[kept], Acknowledged)
    values = [payload for _, payload in cluster.applied[first]]
    assert values == [None, "kept", None, "after"]
    assert cluster.members[first].role is Role.REPLICA
    assert cluster.members[first].status(cluster.now).primary == second
    cluster.check()


def test_commands_out_of_turn_are_refused() -> None:
    cluster = Cluster(3, seed=1)
    first, second, _ = cluster.names
    cluster.promote(first, 3)
    for name, make, arguments in (
        (second, PromiseTerm, (3,)),
        (second, PromiseTerm, (2,)),
        (second, PromoteMember, (3, tuple(cluster.names))),
        (second, PromoteMember, (4, tuple(cluster.names))),
        (second, FollowPrimary, (2, first)),
        (first, FollowPrimary, (3, second)),
    ):
        token = cluster.ask(name, make, *arguments)
        cluster.run(0.001)
        assert cluster.answers[token].code is RefusalCode.TERM_TAKEN
    again = cluster.ask(first, PromoteMember, 3, tuple(cluster.names))
    cluster.run(0.001)
    assert isinstance(cluster.answers[again], TermAccepted)


def test_confirm_needs_a_round_begun_after_the_question() -> None:
    cluster = Cluster(3, seed=1)
    first, second, third = cluster.names
    cluster.promote(first, 1)
    write = cluster.propose(first, "a")
    question = cluster.ask(first, ConfirmPosition)
    cluster.run(0.1)
    assert isinstance(cluster.answers[write], Acknowledged)
    assert cluster.answers[question].position >= Position(1, 2)
    cluster.cut = {(first, second), (first, third)}
    unanswered = cluster.ask(first, ConfirmPosition)
    cluster.run(1.0)
    assert unanswered not in cluster.answers
    cluster.run(1.5)
    assert cluster.answers[unanswered].code is RefusalCode.NOT_PRIMARY


def test_lag_delays_applying_and_shows_as_staleness() -> None:
    cluster = Cluster(3, seed=1)
    first, second, _ = cluster.names
    cluster.promote(first, 1)
    cluster.post(second, SetLag(3.0))
    cluster.propose(first, "a")
    cluster.run(2.0)
    status = cluster.members[second].status(cluster.now)
    assert status.applied == Position(1, 1)
    assert status.last == Position(1, 2)
    assert 1.9 < status.lag < 2.1
    cluster.run(1.2)
    assert cluster.members[second].status(cluster.now).applied == Position(1, 2)
    assert cluster.members[second].status(cluster.now).lag < 0.2


def test_paused_writes_wait_and_are_refused_as_not_run_by_a_change() -> None:
    cluster = Cluster(3, seed=1)
    first = cluster.names[0]
    cluster.promote(first, 1)
    cluster.post(first, PauseWrites(0.3))
    waiting = cluster.propose(first, "a")
    cluster.run(0.2)
    assert waiting not in cluster.answers
    cluster.run(0.2)
    assert isinstance(cluster.answers[waiting], Acknowledged)
    cluster.post(first, PauseWrites(5.0))
    refused = cluster.propose(first, "b")
    cluster.run(0.1)
    cluster.ask(first, PromiseTerm, 2)
    cluster.run(0.1)
    assert cluster.answers[refused].code is RefusalCode.NOT_PRIMARY


def test_restarted_member_catches_up_and_never_starts_as_primary() -> None:
    cluster = Cluster(3, seed=1)
    first, second, _ = cluster.names
    cluster.promote(first, 1)
    for value in range(1_200):
        cluster.propose(first, value)
    cluster.run(0.2)
    cluster.restart(second)
    cluster.run(0.5)
    assert len(cluster.applied[second]) == 1_201
    cluster.restart(first)
    cluster.run(0.5)
    assert cluster.members[first].role is Role.REPLICA
    cluster.promote(second, 2)
    cluster.run(0.5)
    assert len(cluster.applied[first]) == 1_202
    cluster.check()


class Controller:
    """Changes the primary by the rules, one step at a time, with answers that may be late."""

    def __init__(self, cluster: Cluster, obey: bool = True) -> None:
        self.cluster = cluster
        self.obey = obey
        self.term = 0
        self.asked: dict[NodeId, int] = {}
        self.promoting = False

    def step(self) -> None:
        cluster = self.cluster
        if not self.asked:
            seen = max(member.promised for member in cluster.members.values())
            self.term = seen + cluster.random.randint(1, 2)
            self.promoting = False
            for name in cluster.names:
                if cluster.random.random() < 0.8:
                    self.asked[name] = cluster.ask(name, PromiseTerm, self.term)
            return
        granted = [
            name
            for name, token in self.asked.items()
            if isinstance(cluster.answers.get(token), TermAccepted)
        ]
        needed = len(cluster.names) // 2 + 1
        if not self.promoting and len(granted) >= needed:
            choose = max if self.obey else min
            best = choose(granted, key=lambda name: cluster.promises[self.asked[name]])
            cluster.ask(best, PromoteMember, self.term, tuple(cluster.names))
            self.promoting = True
        else:
            self.asked = {}


class ControlledCluster(Cluster):
    """Also keeps the last position that each promise was answered with."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.promises: dict[int, Position] = {}

    def carry_out(self, name: NodeId, effect: Any) -> None:
        super().carry_out(name, effect)
        if isinstance(effect, TermAccepted):
            self.promises[effect.token] = self.members[name].log.last


def run_adversity(seed: int, steps: int, obey: bool) -> ControlledCluster:
    chance = random.Random(seed)
    cluster = ControlledCluster(chance.choice((3, 3, 5)), seed, chance.choice((0.0, 0.05, 0.3)))
    controllers = [Controller(cluster, obey) for _ in range(3)]
    for step in range(steps):
        cluster.run(chance.uniform(0.0, 0.06))
        action = chance.random()
        name = chance.choice(cluster.names)
        if action < 0.55:
            for target in cluster.names:
                if cluster.members[target].role is Role.PRIMARY:
                    cluster.propose(target, step)
        elif action < 0.72:
            chance.choice(controllers).step()
        elif action < 0.80:
            cluster.paused[name] = cluster.now + chance.uniform(0.0, 0.5)
        elif action < 0.86:
            cluster.cut = {(name, other) for other in cluster.names if chance.random() < 0.7}
            cluster.cut |= {(other, name) for other in cluster.names if chance.random() < 0.7}
        elif action < 0.92:
            cluster.cut = set()
        elif action < 0.95:
            cluster.restart(name)
        elif action < 0.97:
            cluster.post(name, SetLag(chance.choice((0.0, 0.3))))
        else:
            cluster.ask(name, ConfirmPosition)
        cluster.check()
    return cluster


def test_adversity_keeps_every_acknowledged_write() -> None:
    acknowledged = 0
    terms: set[int] = set()
    for seed in range(60):
        cluster = run_adversity(seed, steps=150, obey=True)
        cluster.cut = set()
        cluster.paused = {}
        cluster.loss = 0.0
        cluster.run(1.0)
        cluster.promote(
            max(cluster.names, key=lambda name: cluster.members[name].log.last),
            max(member.promised for member in cluster.members.values()) + 1,
        )
        cluster.run(4.0)
        cluster.check()
        for position, (_, value) in cluster.acknowledged.items():
            for history in cluster.applied.values():
                assert history[position.offset - 1] == (position, value)
        acknowledged += len(cluster.acknowledged)
        terms.update(position.term for position in cluster.acknowledged)
    assert acknowledged > 500
    assert len(terms) > 10


def test_choosing_the_wrong_member_is_seen() -> None:
    with pytest.raises(AssertionError):
        for seed in range(60):
            run_adversity(seed, steps=150, obey=False)
