"""A node that starts after the store was restored from a backup, before the operator writes again.

The store has only an older table, with routes that were dropped and keys that were revoked, and the
starting node has no state. The nodes that kept running still have the newest table in force.
"""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest

from bramblebeam.core.identity import NodeId, ZoneId
from bramblebeam.core.membership.messages import Seed
from bramblebeam.core.membership.view import MembersView
from bramblebeam.kernel.messages import BoundAddressRequest
from bramblebeam.platform.node import PlatformNode, build_node
from bramblebeam.platform.settings import parse_settings
from bramblebeam.services.feed.beside_peers import longest_running
from member_views import view_of
from platform_standins.world import World, joined_world, node_settings, until

CONNECTIONS = 36


@asynccontextmanager
async def another_node(world: World) -> AsyncIterator[PlatformNode]:
    """Start another node, which knows one of the running nodes."""
    peer = await world.nodes[0].kernel.call("transport", BoundAddressRequest())
    settings = parse_settings(node_settings("node-late", world.platform.port))
    node = build_node(settings._replace(seeds=(Seed(NodeId("node-0"), peer),)))
    await node.start()
    try:
        yield node
    finally:
        await node.stop()


@pytest.mark.parametrize("nodes", [1, 3])
@pytest.mark.parametrize("is_restored", [False, True], ids=["control", "restored"])
async def test_it_uses_the_newest_table_that_others_have_in_force(
    nodes: int, is_restored: bool
) -> None:
    async with joined_world(nodes, CONNECTIONS) as world:
        world.configure(20)
        await until(lambda: all(version_at(node) == 20 for node in world.nodes))
        copy = world.platform.copy()
        world.configure(23)
        await until(lambda: all(version_at(node) == 23 for node in world.nodes))
        if is_restored:
            world.platform.restore(copy)
            feeds = [node.kernel._services["feed"] for node in world.nodes]
            await until(lambda: all(feed._routes.revision.era == 1 for feed in feeds))  # type: ignore[attr-defined]
        async with another_node(world) as late:
            await until(lambda: version_at(late) > 0)
            assert version_at(late) == 23


async def test_it_uses_the_stores_table_if_no_node_has_a_newer_one() -> None:
    """As when all nodes have restarted."""
    async with joined_world(1, CONNECTIONS) as world:
        world.configure(20)
        await until(lambda: version_at(world.nodes[0]) == 20)
        copy = world.platform.copy()
        world.configure(23)
        world.platform.restore(copy)
        peer = await world.nodes[0].kernel.call("transport", BoundAddressRequest())
        await world.nodes[0].stop()
        settings = parse_settings(node_settings("node-late", world.platform.port))
        late = build_node(settings._replace(seeds=(Seed(NodeId("node-0"), peer),)))
        await late.start()
        try:
            await until(lambda: version_at(late) == 20)
        finally:
            await late.stop()


@pytest.mark.parametrize(("others", "found"), [(0, 0), (2, 2), (7, 3), (30, 3), (200, 20)])
def test_the_longest_running_nodes_are_queried(others: int, found: int) -> None:
    nodes = {ZoneId("zone-0"): tuple(NodeId(f"n{number:03}") for number in range(others + 1))}
    view = view_of(nodes, int)
    aged = {
        name: replace(member, incarnation=1_000 - number)
        for number, (name, member) in enumerate(view.members.items())
    }
    queried = longest_running(MembersView(aged, view.owners), NodeId("n000"), set())
    assert queried == sorted(list(aged)[1:], reverse=True)[:found]


def version_at(node: PlatformNode) -> int:
    return node.gateway.context.table.version


async def test_the_metrics_report_the_era_and_the_version_in_force() -> None:
    async with joined_world(1, CONNECTIONS) as world:
        world.configure(20)
        await until(lambda: version_at(world.nodes[0]) == 20)
        world.platform.restore(world.platform.copy())
        world.configure(23)
        await until(lambda: version_at(world.nodes[0]) == 23)
        text = world.nodes[0].gateway.context.metrics.text().decode()
        assert 'bramblebeam_list_era{list="routes"} 1.0' in text
        assert "bramblebeam_routes_version 23.0" in text
