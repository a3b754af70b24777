"""A database that restarts under its name may have lost its log and all earlier state."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from dataclasses import replace

import pytest

from bramblebeam.core.failover.change_lookup import ChangeLookup, PendingChange
from bramblebeam.core.failover.lease import OrderedChange
from bramblebeam.core.failover.target import (
    CandidateStatus,
    choose_target,
    covers_acknowledged,
    may_promote_without_log,
)
from bramblebeam.core.feed.messages import FollowReply
from bramblebeam.core.gateway import incarnations as incarnations_module
from bramblebeam.core.gateway.directory import DatabaseDirectory, DatabaseEntry
from bramblebeam.core.gateway.incarnations import Incarnations
from bramblebeam.core.gateway.registry import Registry
from bramblebeam.core.gateway.restart_tracker import ReportedPosition, RestartTracker
from bramblebeam.core.gateway.routes import GroupSettings
from bramblebeam.core.gateway.served_position import ServedPosition
from bramblebeam.core.identity import (
    UNKNOWN_INCARNATION,
    ZERO_POSITION,
    Address,
    GroupId,
    InstanceId,
    Position,
    ServerName,
    ZoneId,
    incarnation_of,
    instance_id,
    server_name,
)
from bramblebeam.core.role import Role
from bramblebeam.core.tenants import NO_TENANT
from bramblebeam.kernel import Kernel
from bramblebeam.platform import leases
from bramblebeam.platform.objects import StoredObject
from bramblebeam.platform.promotions import PromotionClient
from bramblebeam.platform.sources import parse_database_entry
from bramblebeam.services.failover.change import ChangeRunner
from bramblebeam.services.failover.peers import TransportStepDownPeers
from bramblebeam.services.feed.peers import database_items, pack_databases
from bramblebeam.services.feed.ports import Versioned
from bramblebeam.services.gateway.leader_news import FormerLeaderFound, LeaderEvent
from bramblebeam.services.gateway.leaders import LeaderTracker
from bramblebeam.wire.codec import Codec
from bramblebeam.wire.gateway_registry import GATEWAY_NODE_MESSAGES
from platform_standins.world import GROUP as WORLD_GROUP
from platform_standins.world import LineClient, World, running_world, until
from revisions import at
from test_database_entries import ENTRY
from test_gateway_leaders import (
    GROUP,
    LONG_OPEN,
    make_tracker,
    now,
    primary_answer,
    replica_answer,
    take_all,
)

BORN = 1_764_720_000_000
FIRST, SECOND, THIRD = (instance_id(name, BORN) for name in ("db-a", "db-b", "db-c"))
SECOND_AGAIN = instance_id("db-b", BORN + 1)
FIRST_AGAIN = instance_id("db-a", BORN + 1)


def entry(instance: InstanceId, leaving: bool = False) -> DatabaseEntry:
    address = Address("127.0.0.1", 1)
    return DatabaseEntry(instance, GROUP, address, ZoneId("a"), Role.REPLICA, leaving, slots=3)


# An instance is a server name and an incarnation.


@pytest.mark.parametrize("born", [UNKNOWN_INCARNATION, 1, BORN])
def test_an_instance_consists_of_a_name_and_an_incarnation(born: int) -> None:
    instance = instance_id("db-a@7", born)
    assert server_name(instance) == "db-a@7"
    assert incarnation_of(instance) == born
    assert (instance == "db-a@7") is (born == UNKNOWN_INCARNATION)


def test_a_store_entry_contains_the_instance() -> None:
    reported = StoredObject("db-a", 3, {**ENTRY, "born": BORN}, None)
    assert parse_database_entry(reported).instance == FIRST
    assert parse_database_entry(replace(reported, spec=ENTRY)).instance == "db-a"


def test_the_store_keeps_the_incarnation_of_a_changes_target() -> None:
    change = OrderedChange(SECOND, 4, Position(3, 7))
    spec = leases._change_spec(change)
    assert spec is not None
    assert spec["target"] == "db-b"
    assert leases._parse_change(spec) == change
    assert "born" not in (leases._change_spec(OrderedChange(InstanceId("db-b"), 4)) or {})


def test_nodes_send_each_other_the_incarnation_of_a_database() -> None:
    items = (
        Versioned("db-a", at(5), entry(FIRST)),
        Versioned("db-b", at(6), entry(InstanceId("db-b"))),
    )
    gone = Versioned[DatabaseEntry]("db-c", at(7), None, deleted=True)
    reported = pack_databases((*items, gone))
    reply = FollowReply(True, True, 7, 0.0, databases=reported.databases, starts=reported.starts)
    codec = Codec(GATEWAY_NODE_MESSAGES)
    assert database_items(codec.decode(codec.encode(reply))) == (*items, gone)
    names = {found.entry.instance for found in reported.databases if found.entry is not None}
    assert names == {"db-a", "db-b"}, "a node of an earlier version takes the plain name"


# Which incarnation is the newest.


def test_a_restarted_database_replaces_its_previous_incarnation() -> None:
    registry = Registry(grace=5.0)
    registry.put(entry(SECOND, leaving=True), at(4), now=0.0)
    assert registry.put(entry(SECOND_AGAIN), at(5), now=1.0)
    directory = registry.directory(9.0)
    assert list(directory.entries) == [SECOND_AGAIN]
    assert directory.departed == {}
    assert directory.restarted == {SECOND_AGAIN}


@pytest.mark.parametrize("older", [SECOND, InstanceId("db-b")], ids=["older", "not reported"])
@pytest.mark.parametrize("is_forgotten", [False, True], ids=["registered", "gone"])
def test_a_former_incarnation_is_never_registered_again(
    older: InstanceId, is_forgotten: bool
) -> None:
    registry = Registry(grace=5.0)
    registry.put(entry(SECOND_AGAIN), at(5), now=0.0)
    if is_forgotten:
        registry.remove("db-b", now=1.0)
        registry.expire(7.0)
    before = registry.directory(7.0)
    assert registry.is_former(older)
    assert not registry.put(entry(older), at(99), now=8.0)
    assert registry.directory(8.0).entries == before.entries


def test_the_number_of_tracked_names_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(incarnations_module, "MAXIMUM_NAMES", 2)
    incarnations = Incarnations()
    for name in ("a", "b", "c"):
        assert incarnations.observe(instance_id(name, BORN))
    assert not incarnations.is_former(instance_id("a", 1))
    assert incarnations.is_former(instance_id("c", 1))


async def test_a_stale_entry_of_a_former_incarnation_is_ignored(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async with running_world(born=BORN) as world:
        pools = world.nodes[0].gateway.context.placement.pools
        await until(lambda: len(pools) == 3)
        member = world.group.members["db-b"]
        await member.restart_empty()
        world.register("db-b")
        await until(lambda: SECOND_AGAIN in pools)
        member.born = BORN
        world.register("db-b")
        await until(lambda: any(record.event_number == 1521 for record in caplog.records))  # type: ignore[attr-defined]
        assert set(pools) == {FIRST, SECOND_AGAIN, THIRD}


# State that a node keeps about an instance.


async def test_no_measurement_of_a_former_incarnation_is_kept() -> None:
    tracker = make_tracker([])
    placement = tracker._placement
    directory = DatabaseDirectory(1, {SECOND: entry(SECOND)})
    placement.update(directory)
    former = placement.pools[SECOND]
    former.latency, former.open_seconds = 9.0, 9.0
    former.record_unresponsive()
    placement.record_behind(SECOND)
    assert placement.choose(GROUP, NO_TENANT, ()) is None
    placement.update(DatabaseDirectory(2, {SECOND_AGAIN: entry(SECOND_AGAIN)}))
    pool = placement.choose(GROUP, NO_TENANT, ())
    assert pool is placement.pools[SECOND_AGAIN]
    assert pool is not former
    assert (pool.latency, pool.open_seconds, pool.unresponsive) == (0.0, 0.0, False)
    assert former._closed


NO_CHANGE_PENDING = ChangeLookup(float("inf"), PendingChange.NONE)
"""No member needs to be seen unpaused, now or later."""


def register(
    tracker: LeaderTracker,
    *members: InstanceId,
    again: InstanceId | None = None,
    departed: Collection[InstanceId] = (),
) -> None:
    """Register members; `again` is one that has restarted, `departed` are those that left."""
    restarted = frozenset([again]) if again is not None else frozenset()
    entries = {member: entry(member) for member in members}
    left = {member: entry(member) for member in departed}
    tracker._placement.update(DatabaseDirectory(1, entries, left, restarted))
    tracker.directory_changed()


async def test_a_leader_that_restarted_is_no_longer_used() -> None:
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND, THIRD)
    tracker.record_lookup(NO_CHANGE_PENDING)
    take_all(tracker, [primary_answer(FIRST, 1), replica_answer(THIRD, 1)])
    assert tracker.may_use(FIRST)
    register(tracker, FIRST_AGAIN, SECOND, THIRD, again=FIRST_AGAIN)
    assert tracker.leader is None
    assert not tracker.may_use(FIRST)


@pytest.mark.parametrize("is_read", [False, True], ids=["a status", "a read"])
async def test_a_restarted_member_confirms_no_leader_from_before_its_restart(is_read: bool) -> None:
    """It may have been paused for a change of primary, and has forgotten that."""
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND, THIRD)
    tracker.record_lookup(NO_CHANGE_PENDING)
    tracker.handle_answer(primary_answer(FIRST, 1))
    register(tracker, FIRST, SECOND_AGAIN, THIRD, again=SECOND_AGAIN)
    if is_read:
        tracker.record_position(SECOND_AGAIN, Position(1, 9), now(), LONG_OPEN)
    else:
        tracker.handle_answer(replica_answer(SECOND_AGAIN, 1))
    assert not tracker.may_use(FIRST)
    assert tracker.lease_sources().ask == (THIRD, SECOND_AGAIN)
    assert tracker.has_witness
    tracker.handle_answer(replica_answer(THIRD, 1))
    assert tracker.may_use(FIRST)


async def test_a_restarted_member_confirms_a_leader_promoted_after_its_restart() -> None:
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND, THIRD)
    tracker.record_lookup(NO_CHANGE_PENDING)
    tracker.handle_answer(primary_answer(FIRST, 1))
    register(tracker, FIRST, SECOND_AGAIN, THIRD, again=SECOND_AGAIN)
    take_all(tracker, [primary_answer(THIRD, 2), replica_answer(SECOND_AGAIN, 2)])
    assert tracker.may_use(THIRD)


async def test_no_witness_is_left_if_all_members_restarted() -> None:
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND)
    tracker.handle_answer(primary_answer(FIRST, 1))
    register(tracker, FIRST, SECOND_AGAIN, again=SECOND_AGAIN)
    assert not tracker.has_witness


async def test_a_member_without_its_log_confirms_nothing_before_its_restart_is_registered() -> None:
    tracker = make_tracker([])
    register(tracker, FIRST, SECOND, THIRD)
    take_all(tracker, [primary_answer(FIRST, 1, 5), replica_answer(SECOND, 1)])
    tracker.lease.confirmed_at = float("-inf")
    empty = replica_answer(SECOND, 1)
    status = empty.status
    assert status is not None
    tracker.handle_answer(empty._replace(status=status._replace(received=Position(1, 0))))
    assert not tracker.may_use(FIRST)
    tracker.handle_answer(replica_answer(SECOND, 1))
    assert not tracker.may_use(FIRST), (
        "it has received commits again, but has still forgotten a pause"
    )


@pytest.mark.parametrize("again", [FIRST_AGAIN, FIRST], ids=["its entry tells", "its log tells"])
async def test_a_restarted_primary_does_not_continue_to_lead(again: InstanceId) -> None:
    published: list[LeaderEvent] = []
    tracker = make_tracker(published)
    register(tracker, FIRST, SECOND, THIRD)
    take_all(tracker, [primary_answer(FIRST, 3, 5), replica_answer(THIRD, 3)])
    tracker.record_proof(FIRST, Position(3, 6), now())
    tracker.reject(FIRST, "the connection was lost")
    await asyncio.sleep(0.005)
    if again != FIRST:
        register(tracker, again, SECOND, THIRD, again=again)
    tracker.handle_answer(primary_answer(again, 3, 2))
    assert tracker.leader is None
    assert FormerLeaderFound(GROUP, again, 4) in published


async def test_a_primary_with_an_empty_log_does_not_lead_if_another_member_has_a_log() -> None:
    """This holds for a node that has just started and never knew the previous incarnation."""
    published: list[LeaderEvent] = []
    tracker = make_tracker(published)
    register(tracker, FIRST, SECOND, THIRD)
    tracker.record_position(SECOND, Position(3, 9), now(), LONG_OPEN)
    tracker.handle_answer(primary_answer(FIRST, 3, 0))
    assert tracker.leader is None
    assert FormerLeaderFound(GROUP, FIRST, 4) in published


async def test_a_leader_that_serves_from_a_shorter_log_is_checked() -> None:
    tracker = make_tracker([])
    take_all(tracker, [primary_answer(FIRST, 3, 5), replica_answer(THIRD, 3)])
    tracker.record_proof(FIRST, Position(3, 6), now())
    await asyncio.sleep(0.005)
    tracker.record_proof(FIRST, Position(3, 2), now())
    assert tracker.leader is None
    take_all(tracker, [primary_answer(FIRST, 3, 6), replica_answer(THIRD, 3)])
    assert tracker.may_use(FIRST), "its status shows that it has all"


@pytest.mark.parametrize(
    ("served", "reported", "queried_at", "is_beyond"),
    [
        (Position(3, 6), Position(3, 5), 2.0, True),
        (Position(3, 6), Position(3, 6), 2.0, False),
        (Position(3, 6), Position(3, 5), 1.0, False),
        (Position(2, 6), Position(2, 5), 2.0, False),
    ],
    ids=["shorter", "as long", "asked for before", "of an older term"],
)
def test_a_shrunken_log_is_detected_within_the_leaders_term(
    served: Position, reported: Position, queried_at: float, is_beyond: bool
) -> None:
    position = ServedPosition()
    position.observe(served, received_at=1.0)
    assert position.is_beyond(reported, queried_at, term=3) is is_beyond


def test_a_reply_that_was_in_flight_shows_no_restart() -> None:
    memory = RestartTracker()
    memory.observe_position(
        SECOND, ReportedPosition(Position(1, 4), received_at=2.0), queried_at=1.0, newest_term=1
    )
    memory.observe_position(
        SECOND, ReportedPosition(Position(1, 0), received_at=3.0), queried_at=1.5, newest_term=1
    )
    assert memory.may_confirm(SECOND, 1, Position(1, 4))
    memory.observe_position(
        SECOND, ReportedPosition(Position(1, 0), received_at=4.0), queried_at=3.5, newest_term=1
    )
    assert not memory.may_confirm(SECOND, 1, Position(1, 4))


def test_an_empty_log_without_a_known_incarnation_shows_no_restart() -> None:
    memory = RestartTracker()
    member = InstanceId("db-b")
    memory.observe_position(
        member, ReportedPosition(Position(1, 0), 2.0), queried_at=1.0, newest_term=1
    )
    assert memory.may_confirm(member, 1, Position(1, 4))
    memory.observe_position(
        SECOND, ReportedPosition(Position(1, 0), 2.0), queried_at=1.0, newest_term=1
    )
    assert not memory.may_confirm(SECOND, 1, Position(1, 4))


# Changes of primary.


def status(received: tuple[int, int], paused: bool = False) -> CandidateStatus:
    return CandidateStatus(False, received[0], Position(*received), paused)


def test_a_leaving_member_with_a_log_is_promoted_before_one_with_an_empty_log() -> None:
    members = [entry(SECOND_AGAIN), entry(THIRD, leaving=True)]
    statuses = {SECOND_AGAIN: status((1, 0)), THIRD: status((1, 9))}
    assert choose_target(members, statuses, None) == THIRD


@pytest.mark.parametrize(
    ("reached", "had_log", "waited", "may_lead"),
    [
        ([SECOND_AGAIN, THIRD], False, False, True),
        ([SECOND_AGAIN, THIRD], True, False, False),
        ([SECOND_AGAIN, THIRD], True, True, True),
        ([SECOND_AGAIN], True, True, False),
    ],
    ids=["a new group", "logs may come", "none came", "one is not reached"],
)
def test_a_member_with_an_empty_log_leads_only_if_no_member_has_a_log(
    reached: list[InstanceId], had_log: bool, waited: bool, may_lead: bool
) -> None:
    members = [entry(SECOND_AGAIN), entry(THIRD)]
    statuses = {instance: status((1, 0)) for instance in reached}
    assert may_promote_without_log(SECOND_AGAIN, members, statuses, had_log, waited) is may_lead


def test_the_log_of_a_restarted_last_target_is_checked_like_any_other() -> None:
    last = OrderedChange(SECOND, term=5, cut=Position(3, 4))
    statuses = {SECOND_AGAIN: status((3, 9))}
    assert choose_target([entry(SECOND_AGAIN)], statuses, None, last) is None
    assert choose_target([entry(SECOND)], {SECOND: status((3, 9))}, None, last) == SECOND


def test_a_restarted_replica_covers_no_acknowledged_commit() -> None:
    members = [entry(FIRST), entry(SECOND_AGAIN), entry(THIRD)]
    statuses = {SECOND_AGAIN: status((1, 0), True), THIRD: status((1, 4), True)}
    assert covers_acknowledged(members, statuses, FIRST, 1)
    assert not covers_acknowledged(members, statuses, FIRST, 1, [SECOND_AGAIN])


def test_a_restarted_replica_has_caught_up_once_it_reaches_the_leaders_proof() -> None:
    memory = RestartTracker()
    memory.observe_proof(Position(1, 4))
    assert memory.has_caught_up(SECOND, ZERO_POSITION)
    memory.update_members([FIRST, SECOND_AGAIN], [SECOND_AGAIN], newest_term=1)
    assert not memory.has_caught_up(SECOND_AGAIN, Position(1, 9))
    memory.observe_proof(Position(1, 6))
    memory.observe_proof(Position(1, 9))
    assert not memory.has_caught_up(SECOND_AGAIN, Position(1, 5))
    assert memory.has_caught_up(SECOND_AGAIN, Position(1, 6))


@pytest.mark.parametrize(
    ("leader", "is_led"),
    [(SECOND, True), (SECOND_AGAIN, True), (FIRST, False), (None, False)],
    ids=["the target", "a later start of it", "another one", "nobody"],
)
def test_an_order_is_carried_out_by_its_target_or_a_later_incarnation_of_it(
    leader: InstanceId | None, is_led: bool
) -> None:
    assert OrderedChange(SECOND, 2).is_led_by(leader) is is_led
    assert not OrderedChange(SECOND_AGAIN, 2).is_led_by(SECOND)


# On loopback.


def tracker_of(world: World) -> LeaderTracker:
    return world.nodes[0].gateway.context.leader(GroupId(WORLD_GROUP))


async def write(client: LineClient, what: str) -> None:
    """Write until it is accepted."""
    answer = await client.run(f"WRITE {what}")
    while answer.code:
        answer = await client.run(f"WRITE {what}")


async def test_a_restarted_replica_is_reached_by_its_name_and_serves() -> None:
    async with running_world(born=BORN) as world:
        client = await world.client("session")
        await write(client, "parcel 1")
        member = world.group.members["db-b"]
        await member.restart_empty()
        world.register("db-b")
        pools = world.nodes[0].gateway.context.placement.pools
        await until(lambda: SECOND_AGAIN in pools)
        await write(client, "parcel 2")
        while not member.runs:
            assert (await client.run("READ parcel")).rows == ["2"]


@pytest.mark.parametrize(
    "is_registered", [True, False], ids=["its entry tells", "nobody tells yet"]
)
@pytest.mark.parametrize("as_primary", [True, False], ids=["as primary", "as replica"])
async def test_no_write_is_lost_if_the_primary_restarts_empty(
    is_registered: bool, as_primary: bool
) -> None:
    async with running_world(born=BORN) as world:
        client = await world.client("latest")
        for number in range(5):
            await write(client, f"parcel{number} {number}")
        former = world.group.members["db-a"]
        for name in ("db-b", "db-c"):
            world.group.members[name].replication_cut = True
        await former.restart_empty(as_primary)
        if is_registered:
            world.register("db-a")
        reader = await world.client("latest")
        answer = await reader.run("READ parcel4")
        while answer.code:
            answer = await reader.run("READ parcel4")
        assert answer.rows == ["4"]
        assert world.group.primary is not former
        assert [record.member for record in world.group.promotions] != ["db-a"]


async def test_a_write_is_not_sent_to_a_primary_that_restarted_empty() -> None:
    """The lease on its former incarnation is still valid, and the new one isn't registered yet."""
    async with running_world(born=BORN) as world:
        client = await world.client("latest")
        for number in range(5):
            await write(client, f"parcel{number} {number}")
        for name in ("db-b", "db-c"):
            world.group.members[name].replication_cut = True
        await world.group.members["db-a"].restart_empty(as_primary=True)
        await write(client, "parcel 5")
        committed = {record.value: record.member for record in world.group.commits}
        assert committed["4"] == "db-a"
        assert committed["5"] != "db-a"


async def test_writes_continue_after_every_replica_restarted() -> None:
    """None of them may confirm a lease on the leader from before their restart."""
    async with running_world(born=BORN) as world:
        client = await world.client("latest")
        await write(client, "parcel 1")
        for name in ("db-b", "db-c"):
            await world.group.members[name].restart_empty()
            world.register(name)
        pools = world.nodes[0].gateway.context.placement.pools
        await until(lambda: {SECOND_AGAIN, instance_id("db-c", BORN + 1)} <= set(pools))
        await until(lambda: bool(world.group.promotions))
        await write(client, "parcel 2")
        assert (await client.run("READ parcel")).rows == ["2"]


async def test_an_order_for_a_restarted_target_is_not_repeated() -> None:
    async with running_world(born=BORN) as world:
        client = await world.client("latest")
        await write(client, "parcel 1")
        world.platform.fault.unanswered_promotions = 1_000
        await world.group.primary.crash()
        writing = asyncio.ensure_future(write(client, "letter 2"))
        await until(lambda: bool(world.platform.promotions))
        target = world.platform.promotions[0].target
        other = next(name for name in ("db-b", "db-c") if name != target)
        world.group.members[target].replication_cut = True
        await world.group.members[target].restart_empty()
        world.register(target)
        await until(lambda: world.platform.promotions[-1].target == other)
        world.platform._unanswered.clear()
        world.platform.fault.unanswered_promotions = 0
        await writing
        assert (await client.run("READ parcel")).rows == ["1"]


async def test_a_synchronous_group_waits_for_commits_that_a_replica_lost() -> None:
    """Another node saw the commit acknowledged; this node only knows of the restart."""
    async with running_world(born=BORN) as world:
        client = await world.client("session")
        await write(client, "parcel 1")
        context = world.nodes[0].gateway.context
        settings = GroupSettings(GroupId(WORLD_GROUP), 36, synchronous_replicas=1)
        context.configure(replace(context.table, groups={GroupId(WORLD_GROUP): settings}))
        members = world.group.members
        members["db-c"].replication_cut = True
        tracker = tracker_of(world)
        tracker.lease.record_proof(tracker._newest_proof)
        members["db-b"].replication_cut = True
        await members["db-b"].restart_empty()
        world.register("db-b")
        await until(lambda: SECOND_AGAIN in context.placement.pools)
        await members["db-a"].crash()
        await until(lambda: tracker.leader is None)
        runner = ChangeRunner(
            context,
            PromotionClient(Address("127.0.0.1", 1)),
            TransportStepDownPeers(Kernel()),
            GroupId(WORLD_GROUP),
        )
        assert await runner.prepare(None, None, None) is None


@pytest.mark.parametrize("requested", ["db-a", "db-x"])
async def test_a_node_relinquishes_any_incarnation_of_a_leader(requested: str) -> None:
    tracker = make_tracker([])
    take_all(tracker, [primary_answer(FIRST, 1), replica_answer(THIRD, 1)])
    tracker.relinquish(ServerName(requested), 0)
    assert tracker.may_use(FIRST) is (requested != "db-a")
