"""Statement execution in virtual time against a simulated group with seeded faults."""

import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import pytest

from bramblebeam.core.identity import (
    ZERO_POSITION,
    Address,
    InstanceId,
    NodeId,
    NodeSpec,
    Position,
    ZoneId,
)
from bramblebeam.core.machine import Wakeup
from bramblebeam.core.membership.view import Member, MemberState, MembersView
from bramblebeam.core.role import Role
from bramblebeam.core.routing.budget import CAPACITY, RetryBudget
from bramblebeam.core.routing.choice import ReadRequirement, choose_replica
from bramblebeam.core.routing.directory import BEHIND_SECONDS, Directory
from bramblebeam.core.routing.effects import (
    Answered,
    AttemptFailed,
    Finish,
    GroupUpdated,
    Hold,
    PositionAnswered,
    RequestPosition,
    SendRequest,
    Started,
    StatementRequest,
)
from bramblebeam.core.routing.execution import Execution
from bramblebeam.core.session.session import Session
from bramblebeam.core.statement import (
    ExecuteReply,
    InstanceStatus,
    PositionReply,
    RequestId,
    StatementKind,
)
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from edge_harness import GROUP, NODE, R1, R2, SERVICE, P, configuration, members, status

INSTANCES = (P, R1, R2)
WRITE = StatementRequest(StatementKind.WRITE, "INSERT", sees_writes=False)
READ = StatementRequest(StatementKind.READ, "SELECT")


def new_directory(**limits: Any) -> Directory:
    directory = Directory()
    directory.configure(configuration(**limits))
    directory.set_members(members())
    return directory


@dataclass
class SimulatedGroup:
    """A simulated group; its log, terms and executed requests are the reference for checks."""

    rng: random.Random
    term: int = 1
    primary: InstanceId = P
    log: list[RequestId] = field(default_factory=list)
    applied: dict[InstanceId, int] = field(default_factory=lambda: dict.fromkeys(INSTANCES, 0))
    replies: dict[RequestId, ExecuteReply] = field(default_factory=dict)
    executed: dict[RequestId, int] = field(default_factory=dict)
    now: float = 0.0

    def status(self, instance: InstanceId) -> InstanceStatus:
        role = Role.PRIMARY if instance == self.primary else Role.REPLICA
        return status(instance, Position(self.term, self.applied[instance]), role)

    def step(self) -> None:
        self.now += self.rng.uniform(0.001, 0.02)
        replica = self.rng.choice(INSTANCES)
        if self.rng.random() < 0.7:
            self.applied[replica] = len(self.log)
        if self.rng.random() < 0.03:
            self.term += 1
            self.primary = self.rng.choice(INSTANCES)
        self.applied[self.primary] = len(self.log)

    def execute(self, effect: SendRequest) -> Any:
        """Run a request; it or its reply may be lost, and stored replies may be evicted."""
        request = effect.request
        draw = self.rng.random()
        if draw < 0.05:
            return AttemptFailed(sent=False)
        if request.repeat and draw < 0.3:
            self.replies.pop(request.request, None)
        reply = self.replies.get(request.request)
        if reply is None and request.repeat:
            reply = ExecuteReply(request.request, Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST))
        if reply is None:
            reply = self._run(effect)
            self.replies[request.request] = reply
        return AttemptFailed(sent=True) if 0.3 < draw < 0.4 else Answered(reply)

    def _run(self, effect: SendRequest) -> ExecuteReply:
        request, instance = effect.request, effect.request.instance
        now = self.status(instance)
        if request.kind is StatementKind.READ:
            if self.applied[instance] < request.floor.offset:
                behind = Refusal(Verdict.NOT_RUN, Reason.REPLICA_BEHIND)
                return ExecuteReply(request.request, behind, status=now)
            position = Position(self.term, self.applied[instance])
            return ExecuteReply(request.request, position=position, status=now)
        if instance != self.primary or self.term < request.minimum_term:
            stale = Refusal(Verdict.NOT_RUN, Reason.STALE_TERM)
            return ExecuteReply(request.request, stale, status=now)
        self.log.append(request.request)
        self.executed[request.request] = self.executed.get(request.request, 0) + 1
        self.applied[instance] = len(self.log)
        position = Position(self.term, len(self.log))
        return ExecuteReply(request.request, position=position, status=self.status(instance))

    def confirm(self, effect: RequestPosition) -> Any:
        if self.rng.random() < 0.1:
            return AttemptFailed(sent=True)
        instance = effect.request.instance
        if instance != self.primary:
            refusal = Refusal(Verdict.NOT_RUN, Reason.STALE_TERM)
            return PositionAnswered(PositionReply(instance, refusal=refusal))
        return PositionAnswered(PositionReply(instance, Position(self.term, len(self.log))))


def run_statement(
    group: SimulatedGroup, machine: Execution, directory: Directory
) -> tuple[Finish, list[RequestId]]:
    """Run a statement to its end; return the outcome and the ids of the requests sent."""
    sent: list[RequestId] = []
    event: Any = Started()
    for _ in range(10_000):
        for effect in machine.handle(event, group.now):
            match effect:
                case Finish():
                    return effect, sent
                case SendRequest():
                    group.step()
                    sent.append(effect.request.request)
                    event = group.execute(effect)
                    group.step()
                case RequestPosition():
                    group.step()
                    event = group.confirm(effect)
                case Hold():
                    event = _wait(group, machine, directory)
    raise AssertionError("the statement did not finish")


def _wait(group: SimulatedGroup, machine: Execution, directory: Directory) -> Any:
    group.step()
    if group.rng.random() < 0.5:
        for instance in INSTANCES:
            directory.observe(group.status(instance))
        return GroupUpdated()
    wakeup = machine.next_wakeup()
    assert wakeup is not None
    group.now = max(group.now, wakeup)
    return Wakeup()


def count_violations(seed: int) -> Counter[str]:
    """Run sessions that roam over three nodes; count operations and broken invariants."""
    group = SimulatedGroup(random.Random(seed))
    nodes = [new_directory() for _ in range(3)]
    acknowledged: dict[str, int] = {}
    budget = RetryBudget()
    sessions = [
        (Session(f"s{name}@{node}", SERVICE, GROUP, roaming_name=f"s{name}"), nodes[node])
        for name in range(4)
        for node in range(3)
    ]
    counts: Counter[str] = Counter()
    for _ in range(250):
        session, directory = group.rng.choice(sessions)
        statement = READ if group.rng.random() < 0.6 else WRITE
        required = acknowledged.get(session.roaming_name, 0)
        machine = Execution(session, statement, directory, budget)
        finish, sent = run_statement(group, machine, directory)
        runs = sum(group.executed.get(request, 0) for request in set(sent))
        if statement is READ and finish.reply is not None:
            counts["reads"] += 1
            counts["missed own write"] += finish.reply.position.offset < required
        if statement is READ:
            continue
        counts["ran twice"] += runs > 1
        if finish.reply is not None:
            counts["writes"] += 1
            counts["acknowledged but not run"] += runs == 0
            acknowledged[session.roaming_name] = finish.reply.position.offset
        elif finish.refusal is not None and finish.refusal.verdict is Verdict.NOT_RUN:
            counts["refused as not run but ran"] += runs > 0
    return counts


INVARIANTS = (
    "missed own write",
    "ran twice",
    "acknowledged but not run",
    "refused as not run but ran",
)


@pytest.mark.parametrize("seed", range(40))
def test_invariants_hold_under_seeded_faults(seed: int) -> None:
    counts = count_violations(seed)
    assert {name: counts[name] for name in INVARIANTS} == dict.fromkeys(INVARIANTS, 0)
    assert counts["reads"] > 50
    assert counts["writes"] > 20


def test_missing_floor_confirmation_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Session, "must_confirm", lambda session, group: False)
    assert sum(count_violations(seed)["missed own write"] for seed in range(5)) > 0


def test_blind_repeat_of_write_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    failed = Execution._failed

    def treat_as_not_sent(machine: Execution, sent: bool, detail: str, now: float) -> Any:
        return failed(machine, False, detail, now)

    monkeypatch.setattr(Execution, "_failed", treat_as_not_sent)
    assert sum(count_violations(seed)["ran twice"] for seed in range(5)) > 0


def test_lost_reply_is_requested_from_former_owner_until_it_is_dead() -> None:
    directory = new_directory()
    directory.observe(status(P, Position(1, 5), Role.PRIMARY))
    machine = Execution(Session("s", SERVICE, GROUP), WRITE, directory, RetryBudget())
    (first,) = machine.handle(Started(), 0.0)
    assert isinstance(first, SendRequest)
    directory.set_members(MembersView(owners={ZoneId("z"): (NodeId("n2"),)}))
    (again,) = machine.handle(AttemptFailed(sent=True), 0.1)
    assert isinstance(again, SendRequest)
    assert (again.node, again.request.request) == (NODE, first.request.request)
    assert again.request.repeat
    (held,) = machine.handle(AttemptFailed(sent=False), 0.2)
    assert isinstance(held, Hold)
    address = Address("127.0.0.1", 1)
    spec = NodeSpec(NODE, ZoneId("z"), "r", address, address, address)
    directory.set_members(MembersView(members={NODE: Member(spec, 1, MemberState.DEAD)}))
    (finish,) = machine.handle(Wakeup(), 0.3)
    assert isinstance(finish, Finish) and finish.refusal is not None
    assert finish.refusal.verdict is Verdict.UNKNOWN


def test_read_share_follows_the_weights() -> None:
    directory = new_directory()
    for instance in INSTANCES:
        role = Role.PRIMARY if instance == P else Role.REPLICA
        directory.observe(status(instance, Position(1, 5), role))
    counts = dict.fromkeys(INSTANCES, 0)
    need = ReadRequirement(GROUP, ZERO_POSITION, 5_000, 0.0)
    for number in range(2_000):
        session = Session(f"s{number}", SERVICE, GROUP)
        chosen = choose_replica(directory, session, need, (), RequestId(f"s{number}", 1))
        assert chosen is not None
        counts[chosen.instance] += 1
    assert counts[P] == 0
    assert 850 < counts[R1] < 1_150


@pytest.mark.parametrize("changes", [{"lag_ms": 6_000}, {"leaving": True}, {"reachable": False}])
def test_unusable_replica_gets_no_reads(changes: dict[str, Any]) -> None:
    directory = new_directory()
    directory.observe(status(R1, Position(1, 5), **changes))
    directory.observe(status(R2, Position(1, 5)))
    need = ReadRequirement(GROUP, ZERO_POSITION, 5_000, 0.0)
    for number in range(50):
        session = Session(f"s{number}", SERVICE, GROUP)
        chosen = choose_replica(directory, session, need, (), RequestId(f"s{number}", 1))
        assert chosen is not None and chosen.instance == R2


def test_replica_is_skipped_for_a_while_after_floor_timeout() -> None:
    directory = new_directory()
    directory.observe(status(P, Position(1, 9), Role.PRIMARY))
    directory.observe(status(R1, Position(1, 5)))
    directory.observe(status(R2, Position(1, 5)))
    directory.record_floor_timeout(R1, 10.0)

    def chosen(floor: Position, now: float) -> set[InstanceId]:
        need = ReadRequirement(GROUP, floor, 5_000, now)
        draws = [RequestId("s", number) for number in range(50)]
        session = Session("s", SERVICE, GROUP)
        replicas = [choose_replica(directory, session, need, (), draw) for draw in draws]
        return {replica.instance for replica in replicas if replica is not None}

    assert chosen(Position(1, 9), 10.1) == {R2}
    assert chosen(Position(1, 5), 10.1) == {R1, R2}, "R1 has applied the floor of this read"
    assert chosen(Position(1, 9), 10.0 + BEHIND_SECONDS) == {R1, R2}


def test_late_status_of_replaced_primary_is_ignored() -> None:
    directory = new_directory()
    directory.observe(status(P, Position(1, 9), Role.PRIMARY))
    directory.observe(status(R1, Position(2, 10), Role.PRIMARY))
    directory.observe(status(P, Position(1, 11), Role.PRIMARY))
    primary = directory.primary(GROUP)
    assert primary is not None and primary.instance == R1
    assert directory.highest_term(GROUP) == 2


def test_former_owner_does_not_make_an_instance_unreachable() -> None:
    directory = new_directory()
    directory.observe(status(P, Position(1, 9), Role.PRIMARY, epoch=7))
    directory.observe(status(P, Position(1, 9), Role.PRIMARY, epoch=4, reachable=False))
    assert directory.primary(GROUP) is not None
    directory.observe(status(P, Position(1, 9), Role.PRIMARY, epoch=7, reachable=False))
    assert directory.primary(GROUP) is None
    directory.observe(status(P, Position(1, 9), Role.PRIMARY, epoch=2))
    assert directory.primary(GROUP) is not None, "epochs restart when the back end restarts"


def test_owner_follows_the_members() -> None:
    directory = new_directory()
    assert directory.owner(P) == NODE
    directory.set_members(type(members())())
    assert directory.owner(P) is None


def test_retry_budget_is_drained_and_refilled() -> None:
    budget = RetryBudget()
    assert all(budget.take(0.0) for _ in range(int(CAPACITY)))
    assert not budget.take(0.0)
    assert budget.take(1.0)
