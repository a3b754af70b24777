"""A change of primary made while the store is unavailable, by a node that is then lost."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import pytest

from bramblebeam.core.failover.lease import Lease
from bramblebeam.core.identity import GroupId, NodeId
from bramblebeam.events.catalogue import FAILOVER_COMPLETED
from bramblebeam.platform.node import PlatformNode
from bramblebeam.services.failover.ports import LeaseStoreUnavailableError
from bramblebeam.services.failover.watch import FailoverWatch
from platform_standins.cuts import cut, drop_step_downs
from platform_standins.group import LineDatabase
from platform_standins.world import GROUP, LineClient, World, joined_world, keep_writing, until

ENOUGH_CONNECTIONS = 36


class UnavailableStore:
    """Store that fails every request."""

    async def read(self, group: GroupId, timeout: float) -> Lease | None:
        raise LeaseStoreUnavailableError("simulated outage")

    async def create(self, group: GroupId, holder: NodeId, timeout: float) -> Lease | None:
        raise LeaseStoreUnavailableError("simulated outage")

    async def write(self, lease: Lease, content: Lease, timeout: float) -> Lease | None:
        raise LeaseStoreUnavailableError("simulated outage")


@dataclass
class Split:
    """A partition: the former primary and one node on one side, the changed group on the other.

    `lost`: the node that ordered the change and no longer reaches the store.
    """

    world: World
    lost: PlatformNode
    beside_former: PlatformNode
    client: LineClient

    @property
    def former(self) -> LineDatabase:
        return self.world.group.members["db-a"]

    @property
    def newest_terms(self) -> set[int]:
        """The newest term of any member."""
        return {self.world.group.newest_term}

    @property
    def targets(self) -> set[str]:
        return {order.target for order in self.world.platform.promotions}


def watch_of(node: PlatformNode) -> FailoverWatch:
    return node.kernel._services["failover"]._watches[GROUP]  # type: ignore[attr-defined, no-any-return]


def node_id(node: PlatformNode) -> NodeId:
    return node.gateway.context.owners.location.node


@asynccontextmanager
async def changed_without_store() -> AsyncIterator[Split]:
    """Set up a commit that only the former primary has, and a change unknown to the store."""
    async with joined_world(2, ENOUGH_CONNECTIONS) as world:
        clients = [await world.client("latest", place) for place in (0, 1)]
        for client in clients:
            while (await client.run("WRITE start 1")).code:
                pass
        await until(lambda: world.platform.has("leases", GROUP))
        holder = world.platform.found("leases", GROUP)["spec"]["holder"]
        first, second = world.nodes
        is_first = node_id(first) == holder
        lost, beside = (first, second) if is_first else (second, first)
        client = clients[0 if is_first else 1]
        await until(lambda: watch_of(lost).lease.is_own)
        split = Split(world, lost, beside, client)
        for name in ("db-b", "db-c"):
            world.group.members[name].replication_cut = True
        assert not (await client.run("WRITE parcel 1")).code
        split.former.replication_cut = True
        for name in ("db-b", "db-c"):
            world.group.members[name].partition = 1
            world.group.members[name].replication_cut = False
        world.platform.fault.status = 503
        cut(beside, "db-b", "db-c")
        drop_step_downs(lost, node_id(beside))
        drop_step_downs(beside, node_id(lost))
        cut(lost, "db-a")
        watch_of(lost).lease._store = UnavailableStore()
        while (await client.run("WRITE parcel 2")).code:
            pass
        yield split


async def test_a_former_primary_is_not_promoted_by_a_node_that_missed_the_change(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Found by simulated days with random faults (STALE 404, 486 and 565): commits that only its
    log had became valid again, although reads in the term between had missed them.
    """
    async with changed_without_store() as split:
        caplog.clear()
        split.world.platform.fault.status = 0
        index = split.world.nodes.index(split.beside_former)
        async with keep_writing(await split.world.client("latest", index)):
            await until(lambda: has_attempted_change(caplog, split.beside_former))
        assert "db-a" not in split.targets
        assert split.newest_terms == {2}


def has_attempted_change(caplog: pytest.LogCaptureFixture, node: PlatformNode) -> bool:
    """Whether the node has taken the lease over and attempted to change the primary."""
    is_holder = watch_of(node).lease.is_own
    number = FAILOVER_COMPLETED.number
    return is_holder and any(
        getattr(record, "event_number", None) == number for record in caplog.records
    )
