"""At most one leader at a time, on a platform whose promotions do not demote the former leader."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from bramblebeam.core.failover.lease import Lease, OrderedChange
from bramblebeam.core.gateway.routes import GroupSettings
from bramblebeam.core.identity import GroupId, InstanceId, Position
from bramblebeam.platform.database_connection import LineDatabaseConnection
from bramblebeam.platform.node import PlatformNode
from bramblebeam.services.failover import change
from bramblebeam.services.failover.change import ChangeRunner
from bramblebeam.services.failover.peers import TransportStepDownPeers
from bramblebeam.services.failover.ports import Order
from bramblebeam.services.gateway.leaders import LeaderTracker
from bramblebeam.services.gateway.ports import Command, DatabaseConnection
from platform_standins.cuts import cut
from platform_standins.group import LineDatabase
from platform_standins.world import (
    GROUP,
    WAIT_TIMEOUT,
    LineClient,
    World,
    joined_world,
    running_world,
    until,
)

ENOUGH_CONNECTIONS = 36


def tracker(node: PlatformNode) -> LeaderTracker:
    return node.gateway.context.leader(GroupId(GROUP))


@asynccontextmanager
async def world_without_demotion(nodes: int, joined: bool = False) -> AsyncIterator[World]:
    """Nodes that have written once to a group whose former primaries keep leading."""
    made = joined_world(nodes, ENOUGH_CONNECTIONS) if joined else running_world(nodes)
    async with made as world:
        world.group.deposes = False
        for place in range(nodes):
            client = await world.client("latest", place)
            await write(client, f"start {place}")
        await until(lambda: world.platform.has("leases", GROUP))
        yield world


async def write(client: LineClient, what: str) -> None:
    """Repeat a write until it is accepted."""
    answer = await client.run(f"WRITE {what}")
    while answer.code:
        answer = await client.run(f"WRITE {what}")


def isolate_first_primary(world: World) -> LineDatabase:
    """Return the first primary, which no longer receives anything from another one."""
    former = world.group.members["db-a"]
    former.replication_cut = True
    return former


# Nodes that reach only part of the group.


@pytest.mark.parametrize(
    "unreachable",
    [("db-b", "db-c"), ("db-b",)],
    ids=["only the leader", "the leader and a replica"],
)
async def test_a_node_that_reaches_the_former_leader_does_not_write_to_it(
    unreachable: tuple[str, ...],
) -> None:
    """A fault of the users' test day: part of the nodes is cut off together with the primary."""
    async with world_without_demotion(nodes=2) as world:
        former = isolate_first_primary(world)
        client_0, client_1 = await world.client("latest", 0), await world.client("latest", 1)
        cut(world.nodes[0], "db-a")
        cut(world.nodes[1], *unreachable)
        writing = asyncio.ensure_future(write(client_0, "parcel 2"))
        while not writing.done():
            await client_1.run("WRITE letter 1")
        for _ in range(2):
            await client_1.run("WRITE letter 2")
            assert (await client_1.run("READ parcel")).rows != [""]
        assert len(former.log) == world.group.log_lengths_at_promotion["db-a"]


async def test_another_node_demotes_a_primary_that_the_lease_holder_cannot_reach() -> None:
    async with world_without_demotion(nodes=2, joined=True) as world:
        former = isolate_first_primary(world)
        lease = world.platform.found("leases", GROUP)
        holder = next(
            place
            for place, node in enumerate(world.nodes)
            if lease["spec"]["holder"] == f"node-{place}"
        )
        client = await world.client("latest", holder)
        cut(world.nodes[holder], "db-a")
        await write(client, "parcel 2")
        assert not former.is_primary
        assert world.group.primary is not former


async def test_a_former_leader_that_returns_is_demoted() -> None:
    async with world_without_demotion(nodes=1) as world:
        former = isolate_first_primary(world)
        client = await world.client("latest")
        former.fault.unresponsive = True
        for connection in list(former.connections):
            connection.abort()
        await write(client, "parcel 2")
        assert former.is_primary
        former.fault.unresponsive = False
        await until(lambda: not former.is_primary)
        assert (await client.run("READ parcel")).rows == ["2"]


# Planned changes.


async def test_a_planned_change_loses_no_acknowledged_write() -> None:
    async with world_without_demotion(nodes=2) as world:
        clients = [await world.client("latest", place) for place in (0, 1)]
        acknowledged: list[str] = []
        done = asyncio.Event()

        async def keep_writing(client: LineClient, name: str) -> None:
            number = 0
            while not done.is_set():
                number += 1
                if not (await client.run(f"WRITE {name}{number} {number}")).code:
                    acknowledged.append(f"{name}{number}")

        writers = [
            asyncio.ensure_future(keep_writing(client, name))
            for client, name in zip(clients, "xy", strict=True)
        ]
        world.register("db-a", state="draining")
        others = [world.group.members[name] for name in ("db-b", "db-c")]
        await until(lambda: any(member.is_primary for member in others))
        before = len(acknowledged)
        await until(lambda: len(acknowledged) > before + 10)
        done.set()
        await asyncio.gather(*writers)
        assert not world.group.members["db-a"].is_primary
        kept = {key for entry in world.group.primary.log for key, _ in entry.values}
        assert set(acknowledged) <= kept


async def test_a_planned_change_waits_for_replicas_to_catch_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(change, "CATCH_UP_SECONDS", WAIT_TIMEOUT)
    async with world_without_demotion(nodes=1) as world:
        former = world.group.members["db-a"]
        others = [world.group.members[name] for name in ("db-b", "db-c")]
        for member in others:
            member.replication_cut = True
        client = await world.client("latest")
        await write(client, "parcel 2")
        world.register("db-a", state="draining")
        await until(lambda: not former.is_primary)
        # Enough time for a premature promotion.
        await asyncio.sleep(0.3)
        assert world.platform.promotions == []
        for member in others:
            member.log = list(former.log)
            member.replication_cut = False
        await until(lambda: any(member.is_primary for member in others))
        assert world.group.primary.read("parcel") == "2"


async def test_a_leader_without_a_possible_successor_keeps_leading() -> None:
    """Guards against a step-down before a target is known.

    Found on a simulated day: the group had no leader for 13 s.
    """
    async with world_without_demotion(nodes=1) as world:
        context = world.nodes[0].gateway.context
        settings = GroupSettings(GroupId(GROUP), 36, synchronous_replicas=1)
        context.configure(replace(context.table, groups={GroupId(GROUP): settings}))
        departed = world.group.members["db-c"]
        departed.fault.unresponsive = True
        world.register("db-c", state="draining")
        await until(lambda: "db-c" not in context.placement.pools)
        client = await world.client("latest")
        await write(client, "parcel 2")
        world.register("db-a", state="draining")
        await until(lambda: context.placement.pools[InstanceId("db-a")].entry.leaving)
        async with asyncio.timeout(WAIT_TIMEOUT):
            for number in range(20):
                await write(client, f"parcel {number}")
        assert world.group.members["db-a"].is_primary


# Unfinished orders and pauses.


async def test_an_unanswered_order_is_completed_even_if_the_leader_is_back() -> None:
    async with world_without_demotion(nodes=1) as world:
        former = world.group.members["db-a"]
        client = await world.client("latest")
        world.platform.fault.unanswered_promotions = 1
        former.fault.unresponsive = True
        for connection in list(former.connections):
            connection.abort()
        writing = asyncio.ensure_future(write(client, "parcel 2"))
        await until(lambda: len(world.platform.promotions) == 1)
        former.fault.unresponsive = False
        await writing
        target = world.platform.promotions[0].target
        assert world.group.primary.name == target
        assert not former.is_primary


async def test_members_that_were_left_paused_receive_again() -> None:
    async with world_without_demotion(nodes=1) as world:
        for name in ("db-b", "db-c"):
            world.group.members[name].paused = True
            world.group.members[name].held_term = 2
        client = await world.client("latest")
        await write(client, "parcel 2")
        await until(lambda: not any(member.paused for member in world.group.members.values()))
        assert world.group.primary.name == "db-a"
        assert world.platform.promotions == []


# Lease checks at the time of sending.


async def test_a_write_is_not_sent_under_a_lease_that_expired_while_it_waited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with world_without_demotion(nodes=1) as world:
        leaders = tracker(world.nodes[0])
        leader = InstanceId("db-a")
        pool = world.nodes[0].gateway.context.placement.pools[leader]
        acquire, run = pool.acquire, LineDatabaseConnection.run
        sent_under_lease: list[bool] = []

        async def acquire_and_expire_lease(*args: object, **kwargs: object) -> object:
            connection = await acquire(*args, **kwargs)  # type: ignore[arg-type]
            if not kwargs.get("is_urgent"):
                leaders.lease.confirmed_at = float("-inf")
                pool.acquire = acquire  # type: ignore[method-assign]
            return connection

        async def check_and_run(self: DatabaseConnection, commands: list[Command], timeout: float):  # type: ignore[no-untyped-def]
            if any(command.identifier != "-" for command in commands):
                sent_under_lease.append(leaders.may_use(leader))
            return await run(self, commands, timeout)  # type: ignore[arg-type]

        pool.acquire = acquire_and_expire_lease  # type: ignore[method-assign]
        monkeypatch.setattr(LineDatabaseConnection, "run", check_and_run)
        client = await world.client("latest")
        await write(client, "parcel 2")
        assert sent_under_lease == [True]


@pytest.mark.parametrize("wrote", [True, False])
async def test_a_commit_waits_for_the_lease(wrote: bool) -> None:
    """Guards against a commit, after a change of primary, of writes made before it."""
    async with world_without_demotion(nodes=1) as world:
        former = isolate_first_primary(world)
        client = await world.client("latest")
        await client.run("BEGIN")
        await client.run("WRITE parcel 2" if wrote else "READ parcel")
        tracker(world.nodes[0]).lease.confirmed_at = float("-inf")
        for name in ("db-b", "db-c"):
            world.group.members[name].fault.unresponsive = True
        length = len(former.log)
        answer = await client.run("COMMIT")
        assert answer.code == ("ABORTED" if wrote else "")
        assert len(former.log) == length


# Internal failures.


async def test_leaders_are_found_after_a_restart_of_the_services() -> None:
    """Guards against a node that never finds a leader again after an internal failure.

    Found in the log of a simulated day.
    """
    async with world_without_demotion(nodes=1) as world:
        kernel = world.nodes[0].kernel
        former_failures = dict(kernel._failure_futures)
        for name in ("gateway", "failover"):
            kernel.report_failure(name, RuntimeError("made up"))
        await until(
            lambda: all(
                kernel._failure_futures.get(name) not in (None, former_failures[name])
                for name in ("gateway", "failover")
            )
        )
        # A service listens again only some turns of the loop after its failure was handled.
        await until(lambda: world.nodes[0].listener._server is not None)
        await world.group.members["db-a"].crash()
        client = await world.client("latest")
        await write(client, "parcel 2")
        assert world.group.primary.name != "db-a"


@pytest.mark.parametrize("row", ["replica", "replica x 1.2 0 0 1 1", "replica 1 one 0 0 1 1"])
async def test_an_unreadable_status_confirms_no_lease(
    row: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    async with world_without_demotion(nodes=1) as world:
        world.group.members["db-b"].status_row = row
        world.group.members["db-c"].status_row = row
        client = await world.client("latest")
        await until(lambda: any(record.event_number == 1331 for record in caplog.records))  # type: ignore[attr-defined]
        leaders = tracker(world.nodes[0])
        await until(lambda: not leaders.may_use(InstanceId("db-a")))
        assert (await client.run("WRITE parcel 2")).code == "READONLY"
        world.group.members["db-c"].status_row = ""
        await write(client, "parcel 3")


# A node that was cut off while another one changed the primary.


class RefusingPromoter:
    """Refuses every promotion."""

    async def promote(self, lease: Lease, target: InstanceId, timeout: float) -> Order:
        return Order.REFUSED


@pytest.mark.parametrize("leader", [None, InstanceId("db-a")], ids=["lost", "planned"])
async def test_the_last_change_determines_the_leader_to_replace(leader: InstanceId | None) -> None:
    """Guards against stepping down an outdated leader.

    A node that had been cut off demoted the primary that it knew, which was a replica by then, and
    its successor stayed in use. Found on a simulated day (ONE).
    """
    async with world_without_demotion(nodes=2, joined=True) as world:
        node = world.nodes[0]
        world.platform.fault.status = 503
        cut(node, "db-b")
        world.group.deposes = True
        world.group.promote("db-b")
        latest = world.group.members["db-b"]
        tracker(node).last_leader, tracker(node).last_term = InstanceId("db-a"), 1
        peers = TransportStepDownPeers(node.kernel)
        runner = ChangeRunner(node.gateway.context, RefusingPromoter(), peers, GroupId(GROUP))
        newest = OrderedChange(InstanceId("db-b"), 2, Position(1, 0))
        prepared = await runner.prepare(leader, newest, newest)
        if leader is None:
            assert prepared is None or not latest.is_primary
        else:
            assert prepared is None
            assert latest.is_primary


async def test_nodes_that_never_knew_a_leader_replace_it() -> None:
    """Guards against a group that stays without a leader.

    All nodes were restarted while no database led, and none of them ever ordered a change. Found by
    the soak test on processes with seed 1002.
    """
    async with running_world(configured=False) as world:
        world.group.members["db-a"].is_primary = False
        world.configure(1)
        client = await world.client()
        answers = [await client.run(f"WRITE parcel {number}") for number in range(3)]
        assert answers[-1].code == ""
