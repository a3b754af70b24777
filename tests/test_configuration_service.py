"""The configuration service against the stand-in platform, on loopback."""

import asyncio
import json
from collections.abc import Awaitable

import pytest

from bramblebeam.core.configuration.messages import EditReply, EditStatus
from bramblebeam.edges.object_store.client import PlatformClient
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.lab.platform.faults import Faults
from bramblebeam.lab.platform.machines import Machine
from bramblebeam.lab.platform.server import PlatformServer
from bramblebeam.lab.platform.store import ObjectName
from bramblebeam.services.configuration import editor
from bramblebeam.services.configuration.machine_list import MachineListFeed
from bramblebeam.services.configuration.messages import InForceQuery, InForceStatus
from bramblebeam.services.membership.messages import MachineHint
from configuration_system import WEIGHT, ZONE, Node, system, until, weight


def weights(nodes: list[Node]) -> list[int]:
    return [spec.read_weight for node in nodes for spec in node.view.weights.values()]


async def in_force(node: Node, version: int) -> InForceStatus:
    return await node.kernel.call("configuration", InForceQuery(version), timeout=5)


async def test_every_node_gets_the_rows_and_only_two_watch_the_store() -> None:
    async with system(4) as (server, nodes):
        await until(lambda: weights(nodes) == [100] * 4)
        assert server.statistics.watches_open == 2
        version = server.store.list()[0].version
        reply = await nodes[3].edit(WEIGHT, version, weight(7), "c1")
        assert reply.status is EditStatus.WRITTEN
        assert reply.current is not None
        await until(lambda: weights(nodes) == [7] * 4)
        status = await wait_in_force(nodes[0], reply.current.version)
        assert [(zone.zone, zone.nodes, zone.behind) for zone in status.zones] == [(ZONE, 4, 0)]
        assert status.unreachable == ()


async def wait_in_force(node: Node, version: int) -> InForceStatus:
    async with asyncio.timeout(8):
        while True:
            status = await in_force(node, version)
            if not any(zone.behind for zone in status.zones):
                return status
            await asyncio.sleep(0.05)


async def both_edit(server: PlatformServer, nodes: list[Node]) -> tuple[EditReply, EditReply]:
    version = server.store.list()[0].version
    first = nodes[0].edit(WEIGHT, version, weight(1), "first")
    second = nodes[1].edit(WEIGHT, version, weight(2), "second")
    replies: Awaitable[list[EditReply]] = asyncio.gather(first, second)
    return tuple(await replies)


async def test_of_two_editors_one_wins_and_the_other_sees_both_versions() -> None:
    async with system(2) as (server, nodes):
        replies = await both_edit(server, nodes)
        check_one_winner(server, replies)
        winner = server.store.list()[0].spec["read_weight"]
        await until(lambda: weights(nodes) == [winner] * 2)


async def test_of_two_editors_one_wins_also_when_answers_are_lost() -> None:
    async with system(2) as (server, nodes):
        server.set_faults(Faults(lose_answers=1))
        replies = await both_edit(server, nodes)
        assert server.statistics.answers_lost == 1
        assert server.statistics.writes == 1
        check_one_winner(server, replies)
        winner = server.store.list()[0].spec["read_weight"]
        await until(lambda: weights(nodes) == [winner] * 2)


def check_one_winner(server: PlatformServer, replies: tuple[EditReply, EditReply]) -> None:
    stored = server.store.list()[0]
    by_status = {reply.status: reply for reply in replies}
    assert set(by_status) == {EditStatus.WRITTEN, EditStatus.CONFLICT}
    for reply in replies:
        assert reply.current is not None
        assert reply.current.version == stored.version
        assert json.loads(reply.current.spec) == stored.spec


async def test_without_the_store_rows_stay_in_force_and_edits_end_as_not_done(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(editor, "EDIT_SECONDS", 1.0)
    async with system(2) as (server, nodes):
        await until(lambda: weights(nodes) == [100] * 2)
        await server.stop()
        reply = await nodes[0].edit(WEIGHT, 1, weight(9), "c9")
        assert reply.status is EditStatus.UNAVAILABLE
        assert weights(nodes) == [100] * 2


async def test_a_wrong_row_is_refused_by_field_and_one_in_the_store_stays_out_of_force() -> None:
    async with system(2) as (server, nodes):
        reply = await nodes[0].edit(WEIGHT, 1, {"instance": "quito-1", "read_weight": -1}, "c")
        assert reply.status is EditStatus.INVALID
        assert "read_weight" in reply.detail
        server.store.replace(ObjectName(*WEIGHT), 1, {"instance": "quito-1", "wrong": 1}, {})
        server.store.create(ObjectName("weight", "q2"), {"instance": "q2"}, {})
        server.cut_watches()
        await until(lambda: all(len(node.view.weights) == 2 for node in nodes))
        assert [node.view.weights["quito-1"].read_weight for node in nodes] == [100, 100]


async def test_a_node_catches_up_after_a_cut_watch_and_a_compaction() -> None:
    async with system(2) as (server, nodes):
        server.set_faults(Faults(down=True))
        server.store.replace(ObjectName(*WEIGHT), 1, weight(50), {})
        server.store.compact()
        server.store.create(ObjectName("weight", "q2"), {"instance": "q2"}, {})
        server.set_faults(Faults())
        await until(lambda: all(len(node.view.weights) == 2 for node in nodes))
        assert [node.view.weights["quito-1"].read_weight for node in nodes] == [50, 50]


async def test_a_restarted_service_keeps_its_rows_and_reads_the_store_again() -> None:
    async with system(2) as (server, nodes):
        await until(lambda: weights(nodes) == [100] * 2 and server.statistics.watches_open == 2)
        for node in nodes:
            node.subscriber.view = None
            node.kernel.report_failure("configuration", RuntimeError("for this test"))
        await until(lambda: weights(nodes) == [100] * 2)
        await until(lambda: server.statistics.watches_started == 4)
        reply = await nodes[0].edit(WEIGHT, 1, weight(9), "c1")
        assert reply.status is EditStatus.WRITTEN
        await until(lambda: weights(nodes) == [9] * 2)


async def test_the_machine_list_is_hinted_to_membership() -> None:
    server = PlatformServer()
    address = await server.start()
    server.machines.set([Machine(node="n9", zone="z", host="127.0.0.1", port=7)], 0.0)
    client = PlatformClient(f"http://127.0.0.1:{address.port}", timeout=2.0)
    kernel = Kernel()
    hints = Hints(kernel)
    kernel.register(hints)
    await kernel.start()
    feed = MachineListFeed(kernel, client, alone=lambda: True, reader=lambda: False)
    reading = asyncio.create_task(feed.run())
    try:
        await until(lambda: bool(hints.seen))
        (machine,) = hints.seen[0].machines
        assert (machine.node, machine.address, machine.leaving) == ("n9", ("127.0.0.1", 7), False)
    finally:
        reading.cancel()
        await client.close()
        await kernel.stop()
        await server.stop()


class Hints(Service):
    """Stands in for the membership service."""

    name = "membership"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.seen: list[MachineHint] = []

    async def handle(self, envelope: Envelope) -> None:
        self.seen.append(envelope.message)
