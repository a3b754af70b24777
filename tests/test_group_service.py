"""The group service over loopback, with database members in the same process."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from typing import Any

import pytest

from bramblebeam.core.configuration.rows import GroupSpec, MemberSpec
from bramblebeam.core.configuration.view import ConfigurationChanged, ConfigurationView
from bramblebeam.core.group.events import GroupReconfigured
from bramblebeam.core.group.machine import GroupMachine
from bramblebeam.core.group.messages import (
    ChangeOutcome,
    ChangePrimaryReply,
    ChangePrimaryRequest,
    GroupStatusReply,
    GroupStatusRequest,
)
from bramblebeam.core.group.watchers import WatcherTable
from bramblebeam.core.identity import Address, GroupId, InstanceId, InstanceSpec, NodeId, ZoneId
from bramblebeam.core.membership.view import MembersChanged, MembersView
from bramblebeam.core.role import Role
from bramblebeam.kernel import Kernel
from bramblebeam.lab.database.member import DatabaseMember, MemberSettings
from bramblebeam.services.group.member import FailureKind, MemberClient
from bramblebeam.services.group.service import GroupService
from bramblebeam.services.group.watch import GroupWatch
from bramblebeam.settings.model import BackendSettings, NodeSettings

GROUP = GroupId("parcels")
NODE = NodeId("node-1")
ZONE = ZoneId("zone-a")
NAMES = ("db-1", "db-2", "db-3")


@dataclass
class World:
    kernel: Kernel
    members: dict[str, DatabaseMember]

    def primary(self) -> DatabaseMember | None:
        statuses = [(m.status(), m) for m in self.members.values()]
        leaders = [(s.term, m) for s, m in statuses if s.role is Role.PRIMARY]
        return max(leaders, key=lambda leader: leader[0], default=(0, None))[1]

    async def until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(8.0):
            while True:
                if condition():
                    return
                await asyncio.sleep(0.02)

    async def elected(self) -> DatabaseMember:
        await self.until(lambda: self.primary() is not None)
        primary = self.primary()
        assert primary is not None
        await self.until(lambda: self.followed(primary))
        return primary

    def followed(self, primary: DatabaseMember) -> bool:
        reachable = [member for member in self.members.values() if member.reachable.is_set()]
        return all(member.status().primary == primary.me for member in reachable)

    def configure(self, failover: str = "managed", swapped: bool = False) -> None:
        order = [*NAMES[1:], NAMES[0]] if swapped else NAMES
        specs = []
        for name, at in zip(NAMES, order, strict=True):
            host, port = self.members[at].address
            spec = MemberSpec(instance=InstanceId(name), zone=ZONE, host=host, port=port)
            specs.append(spec)
        group = GroupSpec(members=specs, failover=failover)
        view = ConfigurationView(version=1, groups={GROUP: group})
        self.kernel.publish(ConfigurationChanged(view))

    async def change(self, target: str) -> ChangePrimaryReply:
        request = ChangePrimaryRequest(GROUP, InstanceId(target))
        reply = await self.kernel.call("group", request, 5.0)
        assert isinstance(reply, ChangePrimaryReply)
        return reply

    async def status(self) -> GroupStatusReply:
        reply = await self.kernel.call("group", GroupStatusRequest(GROUP), 5.0)
        assert isinstance(reply, GroupStatusReply)
        return reply


@asynccontextmanager
async def world() -> AsyncIterator[World]:
    async with AsyncExitStack() as stack:
        members = {}
        for name in NAMES:
            members[name] = DatabaseMember(MemberSettings(InstanceId(name)))
            await members[name].start()
            stack.push_async_callback(members[name].stop)
        kernel = Kernel()
        kernel.register(GroupService(kernel, NodeSettings(node=NODE, zone=ZONE, region="home")))
        await kernel.start()
        stack.push_async_callback(kernel.stop)
        kernel.publish(MembersChanged(MembersView(owners={ZONE: (NODE,)})))
        yield World(kernel, members)


async def test_new_group_gets_a_primary_that_all_follow() -> None:
    async with world() as system:
        system.configure()
        primary = await system.elected()
        await asyncio.sleep(0.3)
        status = await system.status()
        assert status.watched
        assert status.primary == primary.me
        assert {report.status.instance for report in status.members} == set(NAMES)


async def test_lost_primary_is_replaced_and_follows_when_it_is_back() -> None:
    async with world() as system:
        system.configure()
        old = await system.elected()
        old.reachable.clear()
        old.peers.set_cut([name for name in NAMES if name != old.me])
        await system.until(lambda: system.primary() is not old)
        assert old.status().role is Role.PRIMARY
        old.peers.set_cut([])
        old.reachable.set()
        new = system.primary()
        assert new is not None
        await system.until(lambda: system.followed(new))
        assert old.status().role is Role.REPLICA


async def test_planned_change_to_each_member_and_back() -> None:
    async with world() as system:
        system.configure()
        first = await system.elected()
        for target in (*(name for name in NAMES if name != first.me), first.me):
            reply = await system.change(target)
            assert reply.outcome is ChangeOutcome.DONE, reply
            assert system.members[target].status().role is Role.PRIMARY
        again = await system.change(first.me)
        assert again.outcome is ChangeOutcome.ALREADY_PRIMARY
        stranger = await system.change("db-9")
        assert stranger.outcome is ChangeOutcome.ABORTED


async def test_query_to_a_removed_member_is_ignored() -> None:
    """The query is scheduled but has not started when the new configuration arrives."""
    tasks: list[asyncio.Task[Any]] = []
    watch = GroupWatch(
        GroupMachine(GROUP, NODE),
        BackendSettings(),
        lambda work: tasks.append(asyncio.create_task(work)),
        *[lambda *_: None] * 4,
    )
    unused = Address("127.0.0.1", 1)
    specs = [InstanceSpec(InstanceId(name), GROUP, ZONE, unused) for name in NAMES]
    watch.feed(GroupReconfigured(tuple(specs), True, (NODE,)))
    watch.feed(GroupReconfigured((), True, (NODE,)))
    assert tasks
    await asyncio.gather(*tasks)
    await watch.close()


async def test_request_for_a_group_that_no_node_watches_is_answered() -> None:
    async with world() as system:
        reply = await system.change("db-1")
        assert reply.outcome is ChangeOutcome.FAILED
        assert not (await system.status()).watched


@pytest.mark.parametrize(("failover", "swapped"), [("observed", False), ("managed", True)])
async def test_no_commands_are_sent_to_observed_or_mismatched_members(
    failover: str, swapped: bool
) -> None:
    """Either the group is only observed, or another server answers at each member's address."""
    async with world() as system:
        system.configure(failover, swapped)
        await asyncio.sleep(1.5)
        assert system.primary() is None
        assert {member.status().promised_term for member in system.members.values()} == {0}


async def test_command_does_not_wait_for_one_that_hangs() -> None:
    async with world() as system:
        member = system.members["db-1"]
        client = MemberClient(member.address, "bramblebeam_control", "", "test")
        assert (await client.run("SELECT 1", 5.0)).is_ok()
        slow = asyncio.create_task(client.run("SELECT SLEEP(30)", 1.0))
        await asyncio.sleep(0)
        assert (await client.run("SELECT 1", 5.0)).is_ok()
        assert not slow.done()
        assert (await slow).error.kind is FailureKind.LOST
        await client.close()


async def test_address_without_a_listener_is_distinguished_from_an_unresponsive_one() -> None:
    async with world() as system:
        member = system.members["db-1"]
        client = MemberClient(member.address, "bramblebeam_control", "", "test")
        member.reachable.clear()
        silent = await client.run("SELECT 1", 0.3)
        assert silent.error.kind is FailureKind.LOST
        address = Address(*member.address)
        await member.stop()
        stopped = MemberClient(address, "bramblebeam_control", "", "test")
        refused = await stopped.run("SELECT 1", 5.0)
        assert refused.error.kind is FailureKind.NOT_LISTENING


def test_watchers_are_the_members_owners_and_equal_on_every_node() -> None:
    zones = {ZoneId(f"zone-{letter}"): letter for letter in "abc"}
    owners = {zone: tuple(NodeId(f"{mark}{n}") for n in range(4)) for zone, mark in zones.items()}
    members = [
        MemberSpec(instance=InstanceId(f"db-{mark}"), zone=zone, host="127.0.0.1", port=1)
        for zone, mark in zones.items()
    ]
    rows = ConfigurationView(groups={GROUP: GroupSpec(members=members)})
    watching = []
    lists = set()
    for zone, nodes in owners.items():
        for node in nodes:
            table = WatcherTable(node, zone)
            table.members = MembersView(owners=owners)
            table.configuration = rows
            lists.add(table.watchers_of(GROUP))
            if GROUP in table.watched():
                watching.append(node)
    [ranked] = lists
    assert sorted(ranked) == sorted(watching)
    assert len(watching) == 3
