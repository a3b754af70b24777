"""Statements that a node forwards to the nodes that serve their group, over the line wire."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest

from bramblebeam.core.identity import GroupId
from bramblebeam.core.membership.view import MembersView
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.platform.node import PlatformNode
from bramblebeam.services.failover.service import FailoverService
from bramblebeam.services.gateway import forwarding
from bramblebeam.services.gateway.context import MEMBERS_QUIET_PERIOD
from bramblebeam.services.gateway.leader_news import LeaderSuspected
from platform_standins.world import GROUP, WAIT_TIMEOUT, World, joined_world, until

NODES = 4
CONNECTIONS = 10
"""Few enough that two nodes serve the group."""


@pytest.fixture(autouse=True)
def patient(monkeypatch: pytest.MonkeyPatch) -> None:
    """On a busy machine a node may not respond for long; only a closed stream is a loss here."""
    monkeypatch.setattr(forwarding, "PEER_SILENCE_TIMEOUT", WAIT_TIMEOUT)


def serves(node: PlatformNode) -> bool:
    return node.gateway.context.serves(GroupId(GROUP))


def knows_all_nodes(node: PlatformNode) -> bool:
    return len(node.gateway.context.owners.nodes) == NODES


def knows_databases(node: PlatformNode) -> bool:
    return bool(node.gateway.context.placement.members(GroupId(GROUP)))


@asynccontextmanager
async def forwarding_world() -> AsyncIterator[tuple[World, int]]:
    """Start four nodes that know each other; yield also the index of one not serving the group."""
    async with joined_world(NODES, CONNECTIONS) as world:
        # A node that knows only three of the four computes other owners than the rest.
        await until(lambda: all(knows_all_nodes(node) for node in world.nodes))
        await until(lambda: sum(serves(node) for node in world.nodes) == 2)
        # A node that knows no database yet declines, and is skipped for a while.
        await until(lambda: all(knows_databases(node) for node in world.nodes))
        outside = next(index for index, node in enumerate(world.nodes) if not serves(node))
        yield world, outside


def connections_of(node: PlatformNode) -> int:
    pools = node.gateway.context.placement.pools.values()
    return sum(pool.load + len(pool._idle) for pool in pools)


async def test_a_node_that_does_not_serve_the_group_opens_no_connection() -> None:
    async with forwarding_world() as (world, outside):
        client = await world.client("session", outside)
        written = await client.run("WRITE parcel handed-over")
        assert written.signature == f"signed-{client.last_identifier}"
        for database in ("session", "latest", "bounded"):
            reader = await world.client(database, outside)
            assert (await reader.run("READ parcel")).rows == ["handed-over"]
        assert connections_of(world.nodes[outside]) == 0


async def test_a_node_that_stops_serving_a_group_closes_its_connections() -> None:
    """A node closes its connections when it stops serving a group.

    After a start of all nodes each kept one connection that it had opened before it knew the
    others, and the nodes that served the group got none.
    """
    async with forwarding_world() as (world, _):
        index = next(index for index, node in enumerate(world.nodes) if serves(node))
        client = await world.client("session", index)
        assert (await client.run("WRITE parcel 1")).code == ""
        context = world.nodes[index].gateway.context
        assert connections_of(world.nodes[index]) > 0
        others = [node for node in world.nodes if node is not world.nodes[index]]
        context.serves = lambda group: False  # type: ignore[method-assign]
        context.nearest = lambda group: [  # type: ignore[method-assign,assignment,return-value]
            node.gateway.context.owners.location.node for node in others if serves(node)
        ]
        context.update_members(context.owners._members)
        assert (await client.run("WRITE parcel 2")).code == ""
        await until(lambda: connections_of(world.nodes[index]) == 0)


async def test_a_node_that_expects_others_waits_for_them_before_it_connects() -> None:
    """Right after a start of all nodes, each one connected to every database."""
    async with forwarding_world() as (world, outside):
        context = world.nodes[outside].gateway.context
        view = context.owners._members
        alone = MembersView(
            {context.owners.location.node: view.members[context.owners.location.node]},
            {context.owners.location.zone: (context.owners.location.node,)},
        )
        await until(context._members_known.is_set)
        # Timers that were set while the node met the others fire before this one.
        await asyncio.sleep(2 * MEMBERS_QUIET_PERIOD)
        assert context._members_timer is not None
        context._members_timer.cancel()
        context.expects_others = True
        context._members_known.clear()
        context.update_members(alone)
        client = await world.client("session", outside)
        running = asyncio.ensure_future(client.run("READ parcel"))
        for _ in range(5):
            await asyncio.sleep(0.02)
        assert connections_of(world.nodes[outside]) == 0
        context.update_members(view)
        assert (await running).code == ""
        assert connections_of(world.nodes[outside]) == 0


async def test_only_nodes_that_serve_a_group_change_its_primary() -> None:
    async with forwarding_world() as (world, _):
        suspected = Envelope(LeaderSuspected(GroupId(GROUP), None, 0.0), None)
        for node in world.nodes:
            failover = node.kernel._services["failover"]
            assert isinstance(failover, FailoverService)
            await failover.handle(suspected)
            assert bool(failover._watches) == serves(node)


async def test_a_forwarded_session_reads_its_own_write_though_replicas_receive_nothing() -> None:
    async with forwarding_world() as (world, outside):
        for name in ("db-b", "db-c"):
            world.group.members[name].paused = True
        client = await world.client("session", outside)
        for number in range(10):
            await client.run(f"WRITE parcel {number}")
            assert (await client.run("READ parcel")).rows == [str(number)]


async def test_session_values_and_prepared_names_are_sent_with_each_statement() -> None:
    async with forwarding_world() as (world, outside):
        first, second = [await world.client("session", outside) for _ in range(2)]
        await first.run("SET zone a")
        await second.run("SET zone b")
        await first.run("PREPARE s1 WRITE confirm")
        await second.run("PREPARE s1 WRITE cancel")
        for client, zone in ((first, "a"), (second, "b"), (first, "a")):
            await client.run("EXEC s1 parcel yes")
            assert world.group.primary.session_values_of_run[client.last_identifier] == {
                "zone": zone
            }
        assert world.group.primary.read("confirm/parcel") == "yes"
        assert world.group.primary.read("cancel/parcel") == "yes"


async def test_a_forwarded_transaction_commits_and_rolls_back_whole() -> None:
    async with forwarding_world() as (world, outside):
        client = await world.client("session", outside)
        assert (await client.run("BEGIN")).state == "T"
        assert (await client.run("WRITE parcel 1")).state == "T"
        assert (await client.run("READ parcel")).rows == ["1"]
        committed = await client.run("COMMIT")
        assert (committed.signature, committed.state) == (f"signed-{client.last_identifier}", "I")
        assert (await client.run("READ parcel")).rows == ["1"]
        await client.run("BEGIN")
        await client.run("WRITE parcel 2")
        assert (await client.run("ROLLBACK")).state == "I"
        primary = world.group.primary
        await until(lambda: not any(found.transaction for found in primary.connections))
        assert (await client.run("READ parcel")).rows == ["1"]


async def test_a_disconnected_callers_transaction_is_rolled_back_at_the_other_node() -> None:
    async with forwarding_world() as (world, outside):
        client = await world.client("session", outside)
        await client.run("BEGIN")
        await client.run("WRITE parcel 1")
        client.close()
        primary = world.group.primary
        await until(lambda: not any(found.transaction for found in primary.connections))
        assert primary.read("parcel") == ""
        assert not any(node.gateway.host.busy for node in world.nodes)


@pytest.mark.parametrize(
    ("fault", "statements", "expected"),
    [
        pytest.param({"lose_answers": 1}, ["WRITE parcel 1"], ("INDOUBT", "I"), id="write"),
        pytest.param(
            {"lose_answers": 1}, ["BEGIN", "WRITE parcel 1"], ("ABORTED", "E"), id="in transaction"
        ),
        pytest.param(
            {"lose_commits": 1},
            ["BEGIN", "WRITE parcel 1", "COMMIT"],
            ("INDOUBT", "I"),
            id="commit",
        ),
        pytest.param(
            {"lose_commits": 1}, ["BEGIN", "READ parcel", "COMMIT"], ("ABORTED", "I"), id="no write"
        ),
    ],
)
async def test_a_lost_answer_of_the_database_is_reported_as_without_forwarding(
    fault: dict[str, Any], statements: list[str], expected: tuple[str, str]
) -> None:
    async with forwarding_world() as (world, outside):
        client = await world.client("session", outside)
        await client.run("READ parcel")
        for name, value in fault.items():
            setattr(world.group.primary.fault, name, value)
        for statement in statements:
            answer = await client.run(statement)
        assert (answer.code, answer.state) == expected
        runs = [member.runs[client.last_identifier] for member in world.group.members.values()]
        assert sum(runs) <= 1


async def test_a_write_that_was_under_way_when_its_node_died_is_in_doubt() -> None:
    async with forwarding_world() as (world, outside):
        client = await world.client("session", outside)
        await client.run("WRITE parcel 1")
        world.group.primary.fault.unresponsive = True
        running = asyncio.ensure_future(client.run("WRITE parcel 2"))
        await until(lambda: any(node.gateway.host.busy for node in world.nodes))
        for node in [node for node in world.nodes if node.gateway.host.busy]:
            await node.stop()
        assert (await running).code == "INDOUBT"


async def test_the_loss_of_every_node_that_serves_the_group_leaves_callers_served() -> None:
    async with forwarding_world() as (world, outside):
        client = await world.client("session", outside)
        await client.run("WRITE parcel 1")
        for node in [node for node in world.nodes if serves(node)]:
            await node.stop()
        answer = await client.run("WRITE parcel 2")
        while answer.code:
            answer = await client.run("WRITE parcel 2")
        assert (await client.run("READ parcel")).rows == ["2"]


async def test_a_transaction_whose_node_died_is_aborted() -> None:
    async with forwarding_world() as (world, outside):
        client = await world.client("session", outside)
        await client.run("BEGIN")
        await client.run("WRITE parcel 1")
        for node in [node for node in world.nodes if node.gateway.host.busy]:
            await node.stop()
        answer = await client.run("COMMIT")
        assert (answer.code, answer.state) == ("ABORTED", "I")
        assert world.group.primary.read("parcel") == ""


async def test_a_node_that_stops_ends_the_transactions_that_it_runs_for_others() -> None:
    async with forwarding_world() as (world, outside):
        client = await world.client("session", outside)
        await client.run("BEGIN")
        await client.run("WRITE parcel 1")
        (owner,) = [node for node in world.nodes if node.gateway.host.busy]
        stopping = asyncio.ensure_future(owner.kernel.drain())
        await until(lambda: owner.gateway.host.declines)
        other = await world.client("session", outside)
        assert (await other.run("WRITE letter 1")).code == ""
        assert (await client.run("COMMIT")).code == ""
        await stopping
        assert world.group.primary.read("parcel") == "1"
