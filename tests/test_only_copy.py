"""Changes of primary in groups with synchronous replicas whose only copy of a commit is away.

Guards against acknowledged commits that are lost: a replica was promoted that lacked commits which
only the former primary and a replica that had left or crashed before had received.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from bramblebeam.core.identity import GroupId
from bramblebeam.services.failover import service, watch
from bramblebeam.services.waiting import loop_time
from platform_standins.group import LineDatabase
from platform_standins.world import (
    GROUP,
    ROUTES,
    LineClient,
    World,
    joined_world,
    keep_writing,
    registration,
    start_joined_nodes,
    until,
)

CONNECTIONS = 36
GRACE_SECONDS = 1.5
"""Time after which a leaving database is removed from the directory (`drain_ms` of the nodes)."""
UNLED_SECONDS = 4.0
"""How long a change that loses commits is waited for. Without the guards it takes a second, and
three if the nodes are new."""


@asynccontextmanager
async def synchronous_world(nodes: int = 2) -> AsyncIterator[World]:
    """Run nodes that know each other before a group with `sync_replicas` 1."""
    async with joined_world(nodes, CONNECTIONS, synchronous=1) as world:
        for number in range(nodes):
            await (await world.client("latest", number)).run("READ parcel")
        await until(lambda: roster_names(world) == set(world.group.members))
        yield world


def roster_names(world: World) -> set[str]:
    """Return the members that the roster in the store lists."""
    if not world.platform.has("rosters", GROUP):
        return set()
    return {member["name"] for member in roster(world)["members"]}


def roster(world: World) -> dict[str, Any]:
    """Return the roster in the store."""
    content: dict[str, Any] = world.platform.found("rosters", GROUP)["spec"]
    return content


async def writer(world: World) -> LineClient:
    """Return a session at a node other than the one that orders changes.

    That one has not seen what is acknowledged to this session.
    """
    await until(lambda: world.platform.has("leases", GROUP))
    holder = world.platform.found("leases", GROUP)["spec"]["holder"]
    others = [number for number in range(len(world.nodes)) if f"node-{number}" != holder]
    return await world.client("latest", others[0])


async def write(client: LineClient, text: str) -> None:
    """Write until the node acknowledges it."""
    async with asyncio.timeout(30):
        while (await client.run(f"WRITE {text}")).code:  # noqa: ASYNC110
            await asyncio.sleep(0.02)


async def write_to_next(world: World, client: LineClient, leader: str) -> None:
    """Write until `leader` leads and another member, which receives again then, has the write."""
    writing = asyncio.ensure_future(write(client, "letter 3"))
    await until(lambda: world.group.members[leader].is_primary)
    for member in world.group.members.values():
        member.replication_cut = False
    world.group.replicate()
    await writing


async def read(client: LineClient) -> list[str]:
    """Read the parcel as soon as the node has found the leader."""
    async with asyncio.timeout(30):
        while (answer := await client.run("READ parcel")).code:  # noqa: ASYNC110
            await asyncio.sleep(0.02)
    return answer.rows


async def leave(world: World, name: str, wait: bool = True) -> None:
    """Have a database leave as planned, and end."""
    world.register(name, state="draining")
    if wait:
        await asyncio.sleep(GRACE_SECONDS + 0.2)
    await end(world, name)


async def end(world: World, name: str) -> None:
    await world.group.members[name].crash()
    world.platform.delete("servers", name)


async def succeed(world: World, name: str, successor: str) -> None:
    """Start a new database at a former one's address, with its log."""
    former = world.group.members.pop(name)
    database = LineDatabase(world.group, successor)
    database.log, database.term, database.port = list(former.log), former.term, former.port
    world.group.members[successor] = database
    await database.start()
    world.register(successor)


async def lose_only_copy(world: World, client: LineClient, seconds: float = 0.3) -> None:
    """Have db-c alone receive the last commit and leave, `seconds` before the primary crashes."""
    await write(client, "parcel 1")
    world.register("db-c", state="draining")
    await asyncio.sleep(GRACE_SECONDS)
    world.group.members["db-b"].replication_cut = True
    await write(client, "parcel 2")
    await end(world, "db-c")
    await asyncio.sleep(seconds)


async def crash_primary(world: World) -> None:
    await world.group.members["db-a"].crash()
    asyncio.get_running_loop().call_later(0.5, world.platform.delete, "servers", "db-a")


async def restart_nodes(world: World) -> None:
    """Replace all nodes by new ones, which know nothing of what was before."""
    for node in world.nodes:
        await node.stop()
    await start_joined_nodes(world, len(world.nodes))


def promoted(world: World) -> list[str]:
    return [promotion.member for promotion in world.group.promotions]


@pytest.mark.parametrize("seconds", [0.0, 0.3, 1.0])
async def test_a_replica_that_lacks_the_commits_of_a_departed_one_is_not_promoted(
    seconds: float,
) -> None:
    async with synchronous_world() as world:
        client = await writer(world)
        await lose_only_copy(world, client, seconds)
        await crash_primary(world)
        await asyncio.sleep(UNLED_SECONDS)
        assert promoted(world) == []
        await succeed(world, "db-c", "db-d")
        await write_to_next(world, client, "db-d")
        assert promoted(world) == ["db-d"]
        assert world.group.primary.read("parcel") == "2"


async def test_the_primary_leads_again_once_it_is_back_with_the_only_copy() -> None:
    async with synchronous_world() as world:
        client = await writer(world)
        await lose_only_copy(world, client)
        await crash_primary(world)
        await asyncio.sleep(1.0)
        await world.group.members["db-a"].restart()
        world.register("db-a")
        world.group.members["db-b"].replication_cut = False
        await write(client, "letter 3")
        assert set(promoted(world)) <= {"db-a"}
        assert world.group.primary.read("parcel") == "2"


async def test_a_former_primary_that_was_made_a_replica_may_lead_again() -> None:
    """It is back with its log in the middle of a change, and steps down for it."""
    async with synchronous_world() as world:
        client = await writer(world)
        await lose_only_copy(world, client, seconds=0.0)
        await crash_primary(world)
        await asyncio.sleep(1.0)
        primary = world.group.members["db-a"]
        primary.is_primary = False
        await primary.restart()
        world.register("db-a")
        await write_to_next(world, client, "db-a")
        assert world.group.primary.read("parcel") == "2"


async def test_a_crashed_replica_with_the_only_copy_is_awaited() -> None:
    """It says nothing before its end, and comes back under its own name."""
    async with synchronous_world() as world:
        client = await writer(world)
        await write(client, "parcel 1")
        world.group.members["db-b"].replication_cut = True
        await write(client, "parcel 2")
        await end(world, "db-c")
        await asyncio.sleep(0.3)
        await crash_primary(world)
        await asyncio.sleep(GRACE_SECONDS + UNLED_SECONDS)
        assert promoted(world) == []
        await world.group.members["db-c"].restart()
        world.register("db-c")
        await write_to_next(world, client, "db-c")
        assert promoted(world) == ["db-c"]
        assert world.group.primary.read("parcel") == "2"


async def test_nodes_that_start_after_the_departure_do_not_lose_the_only_copy() -> None:
    """They find the primary and the replica that is left, and know of no other."""
    async with synchronous_world() as world:
        client = await writer(world)
        await lose_only_copy(world, client)
        await restart_nodes(world)
        client = await world.client("latest", node=-1)
        assert await read(client) == ["2"]
        await crash_primary(world)
        await asyncio.sleep(UNLED_SECONDS)
        assert promoted(world) == []
        await succeed(world, "db-c", "db-d")
        await write_to_next(world, client, "db-d")
        assert promoted(world) == ["db-d"]
        assert world.group.primary.read("parcel") == "2"


@pytest.mark.parametrize("restarted", [False, True], ids=["same nodes", "new nodes"])
async def test_a_group_that_lost_nothing_is_led_again_after_a_departure(restarted: bool) -> None:
    """The replica that remains has received what the primary had after the other one's end."""
    async with synchronous_world() as world:
        client = await writer(world)
        await write(client, "parcel 1")
        await leave(world, "db-c")
        await until(lambda: "db-c" not in roster_names(world))
        if restarted:
            await restart_nodes(world)
            client = await world.client("latest", node=-1)
            assert await read(client) == ["1"]
        await crash_primary(world)
        await until(lambda: promoted(world) == ["db-b"])
        assert await read(client) == ["1"]


async def test_a_node_that_never_met_the_primary_leaves_the_change_to_one_that_has(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a group that stands still although a node may replace its primary.

    A new node of a lower rank, which is asked after the primary's end, doesn't find it in the
    directory either: its registration tells a former role. That node took the lease again and again
    to wait for a primary.
    """
    async with synchronous_world() as world:
        await write(await writer(world), "parcel 1")
        content = registration(world.group, "db-a", "ready")
        world.platform.put("servers", "db-a", {**content, "db_role": "replica"})
        monkeypatch.setattr(service, "SYNCHRONOUS_GROUPS_SECONDS", 30.0)
        await restart_nodes(world)
        clients = [await world.client("latest", node) for node in (-2, -1)]
        assert await read(clients[-1]) == ["1"]
        await crash_primary(world)
        holders: set[str] = set()

        def is_led() -> bool:
            holders.add(world.platform.found("leases", GROUP)["spec"]["holder"])
            return bool(promoted(world))

        stranger = world.nodes[-2].gateway.context.leader(GroupId(GROUP))
        async with keep_writing(clients[0]), keep_writing(clients[1]):
            await until(lambda: stranger.suspected_since is not None)
            assert stranger.last_leader is None
            await until(is_led)
        assert world.group.primary.read("parcel") == "1"
        assert "node-3" in holders
        assert "node-2" not in holders


async def test_a_departed_replica_stays_listed_until_another_one_has_its_commits() -> None:
    async with synchronous_world() as world:
        client = await writer(world)
        await lose_only_copy(world, client)
        await asyncio.sleep(1.0)
        assert "db-c" in roster_names(world)
        world.group.members["db-b"].replication_cut = False
        world.group.replicate()
        await until(lambda: "db-c" not in roster_names(world))


async def test_a_primary_that_stepped_down_does_not_cover_a_departed_replica() -> None:
    """Guards against counting the former primary itself as another replica that has the commits."""
    async with synchronous_world() as world:
        client = await writer(world)
        await lose_only_copy(world, client, seconds=0.6)
        async with keep_writing(client):
            world.group.members["db-a"].is_primary = False
            await asyncio.sleep(UNLED_SECONDS)
        assert "db-c" in roster_names(world)
        assert "db-b" not in promoted(world)


async def test_a_new_empty_replica_is_not_promoted_in_a_group_of_two() -> None:
    async with synchronous_world() as world:
        client = await writer(world)
        await leave(world, "db-b")
        await until(lambda: roster_names(world) == {"db-a", "db-c"})
        await write(client, "parcel 1")
        await leave(world, "db-c")
        newcomer = LineDatabase(world.group, "db-d")
        newcomer.replication_cut = True
        world.group.members["db-d"] = newcomer
        await newcomer.start()
        world.register("db-d")
        await until(lambda: "db-d" in roster_names(world))
        await crash_primary(world)
        await asyncio.sleep(UNLED_SECONDS)
        assert promoted(world) == []
        await world.group.members["db-a"].restart()
        world.register("db-a")
        newcomer.replication_cut = False
        world.group.replicate()
        await write(client, "letter 2")
        assert world.group.primary.read("parcel") == "1"


async def test_the_second_of_two_changes_awaits_a_replica_that_left_between() -> None:
    async with synchronous_world() as world:
        client = await writer(world)
        await write(client, "parcel 1")
        await world.group.members["db-a"].crash()
        await write(client, "parcel 2")
        first = world.group.primary
        await world.group.members["db-a"].restart()
        world.register("db-a")
        other = next(name for name in ("db-b", "db-c") if name != first.name)
        await until(lambda: len(world.group.members["db-a"].log) == len(first.log))
        world.group.members["db-a"].replication_cut = True
        await write(client, "parcel 3")
        await end(world, other)
        await asyncio.sleep(0.3)
        await first.crash()
        await asyncio.sleep(GRACE_SECONDS + UNLED_SECONDS)
        assert promoted(world) == [first.name]
        await succeed(world, other, "db-d")
        await write_to_next(world, client, "db-d")
        assert promoted(world) == [first.name, "db-d"]
        assert world.group.primary.read("parcel") == "3"


async def test_statements_are_refused_at_once_while_a_log_is_awaited() -> None:
    async with synchronous_world(nodes=1) as world:
        client = await world.client("latest")
        await lose_only_copy(world, client)
        await crash_primary(world)
        metrics = world.nodes[0].gateway.context.metrics
        await until(lambda: b"bramblebeam_awaited_logs 0.0" not in metrics.text())
        # The route allows four seconds; ten statements would wait for more than half a minute.
        async with asyncio.timeout(2.0):
            answers = [await client.run("WRITE letter 1") for _ in range(10)]
        assert {answer.code for answer in answers} == {"READONLY"}


@pytest.mark.parametrize("texts", [["READ parcel"], ["BEGIN READ", "READ parcel"]], ids=len)
async def test_reads_that_need_a_proof_are_refused_at_once_while_a_log_is_awaited(
    texts: list[str],
) -> None:
    """Guards against a node that stands still: the wait for a proof turned without a pause."""
    async with synchronous_world(nodes=1) as world:
        client = await world.client("latest")
        world.configure(2, **ROUTES, fresh={"route_type": "bounded", "max_staleness_ms": 1_500})
        reader = await world.client("fresh")
        await lose_only_copy(world, client)
        await crash_primary(world)
        tracker = world.nodes[0].gateway.context.leader(GroupId(GROUP))
        await until(lambda: tracker.outlook.awaited_logs > 0)
        await asyncio.sleep(1.5)
        async with asyncio.timeout(2.0):
            assert not await tracker.wait_proof(loop_time(), loop_time() + 30.0)
            answers = [await reader.run(text) for text in texts]
            assert answers[-1].code == "READONLY"


async def test_an_operator_can_accept_that_a_log_is_lost() -> None:
    async with synchronous_world() as world:
        client = await writer(world)
        await lose_only_copy(world, client)
        await crash_primary(world)
        await asyncio.sleep(1.0)
        world.platform.put("rosters", GROUP, {**roster(world), "loss_accepted": True})
        await until(lambda: promoted(world) == ["db-b"])
        await until(lambda: not roster(world)["loss_accepted"])


async def test_the_roster_is_written_before_a_node_has_run_for_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against nodes that acknowledge commits for a second or two and end without one."""
    monkeypatch.setattr(watch, "FIRST_DELAY", 30.0)
    async with joined_world(2, CONNECTIONS, synchronous=1) as world:
        for node in world.nodes:
            monkeypatch.setattr(node.gateway.context, "is_first_owner", lambda _: False)
        await write(await world.client("latest"), "parcel 1")
        async with asyncio.timeout(3.0):
            while roster_names(world) != set(world.group.members):  # noqa: ASYNC110
                await asyncio.sleep(0.02)


async def test_another_node_keeps_the_roster_if_the_first_owner_cannot_write(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with synchronous_world() as world:
        client = await writer(world)
        await write(client, "parcel 1")
        for node in world.nodes:
            monkeypatch.setattr(node.gateway.context, "is_first_owner", lambda _: False)
        await leave(world, "db-c")
        await until(lambda: "db-c" not in roster_names(world))
