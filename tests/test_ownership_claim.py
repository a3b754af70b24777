"""Claims of several nodes to one instance: its slots are never exceeded, under any schedule."""

import pytest

from bramblebeam.core.configuration.rows import GroupSpec, MemberSpec
from bramblebeam.core.configuration.view import ConfigurationView
from bramblebeam.core.identity import GroupId, InstanceId, NodeId, ZoneId
from bramblebeam.core.ownership import events as e
from bramblebeam.core.ownership.assignment import Assignment
from bramblebeam.core.ownership.claim import LEASE_SECONDS, ClaimMachine, ClaimState
from bramblebeam.core.ownership.rendezvous import instance_key, ranked_owners
from ownership_world import World

Z1 = ZoneId("z1")
SEEDS = range(60)
STEPS = 600


@pytest.mark.parametrize("backstop", [False, True])
def test_usable_connections_never_exceed_the_slots(backstop: bool) -> None:
    owner_count = 0
    for seed in SEEDS:
        world = World(seed, backstop)
        world.run(STEPS)
        assert world.peak_usable <= world.total, f"seed {seed}"
        if backstop:
            assert world.peak_connections <= world.total, f"seed {seed}"
        owner_count += len(world.owners)
    assert owner_count > len(SEEDS)


@pytest.mark.parametrize("mutation", ["no_sweep", "no_check"])
def test_without_the_sweep_or_the_check_the_slots_are_exceeded(mutation: str) -> None:
    def exceeded(seed: int) -> bool:
        world = World(seed, **{mutation: True})
        world.run(STEPS)
        return world.peak_usable > world.total

    assert any(exceeded(seed) for seed in SEEDS)


def test_the_wanted_node_owns_once_faults_end() -> None:
    for seed in range(30):
        world = World(seed)
        world.run(STEPS)
        world.settle()
        node = world.nodes[NodeId("a")]
        assert node.machine.state is ClaimState.OWNING, f"seed {seed}"


def owning(name: str = "a", epoch: int = 1) -> ClaimMachine:
    machine = ClaimMachine(NodeId(name), InstanceId("db"))
    for event in (
        e.WantedChanged(True),
        e.ControlOpened(epoch),
        e.LockTaken(),
        e.Swept(()),
    ):
        machine.handle(event, 0.0)
    assert machine.owning
    return machine


def test_live_holder_is_asked_to_release_and_idle_one_evicted() -> None:
    for idle_seconds, expected in ((0.0, e.RequestRelease), (LEASE_SECONDS, e.Evict)):
        machine = ClaimMachine(NodeId("b"), InstanceId("db"))
        machine.handle(e.WantedChanged(True), 0.0)
        machine.handle(e.ControlOpened(2), 0.0)
        (effect,) = machine.handle(e.LockHeld(1, NodeId("a"), idle_seconds), 0.0)
        assert isinstance(effect, expected)


def test_wanted_holder_yields_only_to_a_higher_ranked_node() -> None:
    first, second = ranked_owners(instance_key(InstanceId("db")), [NodeId("a"), NodeId("b")])
    assert owning(first).handle(e.ReleaseRequested(second, 1), 1.0) == [e.AnswerRelease(False)]
    assert owning(second).handle(e.ReleaseRequested(first, 1), 1.0) == [e.CloseSlots()]
    unwanted = owning(first)
    unwanted.handle(e.WantedChanged(False), 1.0)
    assert unwanted.handle(e.ReleaseRequested(second, 1), 1.0) == [e.CloseSlots()]


def test_handover_reports_the_retained_connections() -> None:
    machine = owning()
    machine.handle(e.Stopping(), 1.0)
    machine.handle(e.ReleaseRequested(NodeId("b"), 1), 1.0)
    assert machine.handle(e.SlotsClosed((7, 9)), 1.1) == [e.ReleaseLock()]
    assert machine.handle(e.LockReleased(), 1.2) == [e.AnswerRelease(True, (7, 9))]
    assert machine.state is ClaimState.IDLE


def test_lost_control_connection_closes_the_slots_and_claims_again() -> None:
    machine = owning()
    assert machine.handle(e.ControlLost(), 1.0) == [e.CutSlots()]
    wakeup = machine.next_wakeup()
    assert wakeup is not None
    assert machine.handle(None, wakeup) == [e.OpenControl()]


def test_assignment_wants_the_instances_for_which_this_node_ranks_first() -> None:
    members = tuple(
        MemberSpec(instance=InstanceId(f"db{number}"), zone=zone, host="127.0.0.1", port=1)
        for number, zone in enumerate([Z1, Z1, Z1, ZoneId("z2")])
    )
    view = ConfigurationView(1, {GroupId("parcels"): GroupSpec(members=members)})
    nodes = (NodeId("a"), NodeId("b"))
    wanted = []
    for node in nodes:
        assignment = Assignment(node, Z1)
        assignment.configure(view)
        assignment.set_owners(nodes)
        wanted.append(assignment.wanted)
    assert wanted[0] | wanted[1] == {"db0", "db1", "db2"}
    assert not wanted[0] & wanted[1]
