import asyncio
import pytest
from bramblebeam.services.failover.ports import LeaseStoreUnavailableError
from platform_standins.cuts import cut
from platform_standins.world import until, GROUP
from test_restarts_during_changes import world_before_a_change, commits_at_former_leaders, feed_of, has_lapsed

def cut_from_store(world, node, monkeypatch):
    registry = feed_of(world, node)._registry
    monkeypatch.setattr(registry, "put", lambda *_: False)
    monkeypatch.setattr(registry, "remove", lambda *_: False)
    service = world.nodes[node].kernel._services["failover"]
    async def fail(*_):
        raise LeaseStoreUnavailableError("cut off")
    for name in ("read", "write", "create"):
        monkeypatch.setattr(service.leases, name, fail)

async def test_split(monkeypatch):
    async with world_before_a_change() as world:
        await asyncio.sleep(3.0)
        cut_from_store(world, 0, monkeypatch)
        world.group.members["db-c"].partition = 1
        cut(world.nodes[0], "db-c")
        cut(world.nodes[1], "db-a", "db-b")
        await asyncio.sleep(1.0)
        for name in ("db-a", "db-b"):
            world.platform.delete("servers", name)
        found = await commits_at_former_leaders(world)
        print("COMMITS", len(found), world.group.promotions)
        assert found == []
