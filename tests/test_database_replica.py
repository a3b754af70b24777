"""The replicated log under loss, reordering, pauses, restarts and concurrent controllers."""

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
    """The persisted state of a member."""

    def __init__(self) -> None:
        self.promised = 0
        self.entries: list[Entry] = []

    def write(self, effect: PersistPromise | PersistEntries) -> None:
        if isinstance(effect, PersistPromise):
            self.promised = effect.term
        else:
            self.entries[effect.first - 1 :] = effect.entries


class Cluster:
    """Members in virtual time on a faulty network, with a record of their effects."""

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

    def request(self, name: NodeId, make: Any, *arguments: Any) -> int:
        token = next(self.tokens)
        self.post(name, make(token, *arguments))
        return token

    def propose(self, name: NodeId, value: Any) -> int:
        token = self.request(name, Propose, value)
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
            self.execute_effect(name, effect)
        wakeup_at = member.next_wakeup()
        if wakeup_at is not None:
            wakeup_at = max(wakeup_at, self.now + 1e-6)
            known = self.wakeups.get(name)
            if known is None or wakeup_at < known or known <= self.now:
                self.wakeups[name] = wakeup_at
                heapq.heappush(self.queue, (wakeup_at, next(self.order), name, Wakeup()))

    def execute_effect(self, name: NodeId, effect: Any) -> None:
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
        """Obtain the promises of all members and promote one; requires a healthy network."""
        tokens = [self.request(member, PromiseTerm, term) for member in self.names]
        self.run(0.001)
        assert all(isinstance(self.answers[token], TermAccepted) for token in tokens)
        token = self.request(name, PromoteMember, term, tuple(self.names))
        self.run(0.02)
        assert isinstance(self.answers[token], TermAccepted)

    def check(self) -> None:
        """Check that acknowledged writes are kept, histories agree, and terms have one primary."""
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


def test_promise_ends_the_old_primary_and_its_uncommitted_entries_are_dropped() -> None:
    cluster = Cluster(3, seed=1)
    first, second, third = cluster.names
    cluster.promote(first, 1)
    kept = cluster.propose(first, "kept")
    cluster.run(0.05)
    cluster.cut = {(first, second), (first, third)}
    lost = cluster.propose(first, "lost")
    cluster.run(0.01)
    for member in (second, third):
        cluster.request(member, PromiseTerm, 2)
    cluster.run(0.01)
    cluster.request(second, PromoteMember, 2, tuple(cluster.names))
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


def test_stale_commands_are_refused() -> None:
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
        token = cluster.request(name, make, *arguments)
        cluster.run(0.001)
        assert cluster.answers[token].code is RefusalCode.TERM_TAKEN
    again = cluster.request(first, PromoteMember, 3, tuple(cluster.names))
    cluster.run(0.001)
    assert isinstance(cluster.answers[again], TermAccepted)


def test_confirm_needs_a_round_started_after_the_request() -> None:
    cluster = Cluster(3, seed=1)
    first, second, third = cluster.names
    cluster.promote(first, 1)
    write = cluster.propose(first, "a")
    confirmation = cluster.request(first, ConfirmPosition)
    cluster.run(0.1)
    assert isinstance(cluster.answers[write], Acknowledged)
    assert cluster.answers[confirmation].position >= Position(1, 2)
    cluster.cut = {(first, second), (first, third)}
    unanswered = cluster.request(first, ConfirmPosition)
    cluster.run(1.0)
    assert unanswered not in cluster.answers
    cluster.run(1.5)
    assert cluster.answers[unanswered].code is RefusalCode.NOT_PRIMARY


def test_lag_delays_applying_and_is_reported_as_staleness() -> None:
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


def test_paused_writes_wait_and_a_change_of_primary_refuses_them() -> None:
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
    cluster.request(first, PromiseTerm, 2)
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
    """Changes the primary, one protocol step per call; answers may arrive between steps or later.

    Without `follow_protocol` it promotes the member with the lowest last position.
    """

    def __init__(self, cluster: Cluster, follow_protocol: bool = True) -> None:
        self.cluster = cluster
        self.follow_protocol = follow_protocol
        self.term = 0
        self.requested: dict[NodeId, int] = {}
        self.promoting = False

    def step(self) -> None:
        cluster = self.cluster
        if not self.requested:
            highest = max(member.promised for member in cluster.members.values())
            self.term = highest + cluster.random.randint(1, 2)
            self.promoting = False
            for name in cluster.names:
                if cluster.random.random() < 0.8:
                    self.requested[name] = cluster.request(name, PromiseTerm, self.term)
            return
        granted = [
            name
            for name, token in self.requested.items()
            if isinstance(cluster.answers.get(token), TermAccepted)
        ]
        needed = len(cluster.names) // 2 + 1
        if not self.promoting and len(granted) >= needed:
            choose = max if self.follow_protocol else min
            candidate = choose(granted, key=lambda name: cluster.promises[self.requested[name]])
            cluster.request(candidate, PromoteMember, self.term, tuple(cluster.names))
            self.promoting = True
        else:
            self.requested = {}


class ControlledCluster(Cluster):
    """Also records the member's last position at each accepted command."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.promises: dict[int, Position] = {}

    def execute_effect(self, name: NodeId, effect: Any) -> None:
        super().execute_effect(name, effect)
        if isinstance(effect, TermAccepted):
            self.promises[effect.token] = self.members[name].log.last


def run_with_faults(seed: int, steps: int, follow_protocol: bool) -> ControlledCluster:
    generator = random.Random(seed)
    cluster = ControlledCluster(
        generator.choice((3, 3, 5)), seed, generator.choice((0.0, 0.05, 0.3))
    )
    controllers = [Controller(cluster, follow_protocol) for _ in range(3)]
    for step in range(steps):
        cluster.run(generator.uniform(0.0, 0.06))
        action = generator.random()
        name = generator.choice(cluster.names)
        if action < 0.55:
            for target in cluster.names:
                if cluster.members[target].role is Role.PRIMARY:
                    cluster.propose(target, step)
        elif action < 0.72:
            generator.choice(controllers).step()
        elif action < 0.80:
            cluster.paused[name] = cluster.now + generator.uniform(0.0, 0.5)
        elif action < 0.86:
            cluster.cut = {(name, other) for other in cluster.names if generator.random() < 0.7}
            cluster.cut |= {(other, name) for other in cluster.names if generator.random() < 0.7}
        elif action < 0.92:
            cluster.cut = set()
        elif action < 0.95:
            cluster.restart(name)
        elif action < 0.97:
            cluster.post(name, SetLag(generator.choice((0.0, 0.3))))
        else:
            cluster.request(name, ConfirmPosition)
        cluster.check()
    return cluster


def test_faults_keep_every_acknowledged_write() -> None:
    acknowledged = 0
    terms: set[int] = set()
    for seed in range(60):
        cluster = run_with_faults(seed, steps=150, follow_protocol=True)
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


def test_promoting_the_wrong_member_is_detected() -> None:
    with pytest.raises(AssertionError):
        for seed in range(60):
            run_with_faults(seed, steps=150, follow_protocol=False)
