"""End-to-end: callers, nodes, a database group and the platform, all in one process."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest

from bramblebeam.core.configuration.view import ConfigurationChanged
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.lab.database.messages import SetLeaving
from bramblebeam.lab.load.client import CallerClient
from bramblebeam.node import SERVICE_ORDER
from system import GROUP, MEMBER_ZONES, TOKEN, System, running_system, until_ok

CREATE = "CREATE TABLE entries (k VARCHAR(32) PRIMARY KEY, v VARCHAR(64))"


@pytest.fixture
async def system() -> AsyncIterator[System]:
    async with asyncio.timeout(40), running_system() as running:
        client = await running.caller("a1")
        await until_ok(client, CREATE)
        await until_ok(client, "INSERT INTO entries (k, v) VALUES ('k', 'first')")
        await client.close()
        yield running


def reads_at_replicas(system: System) -> int:
    replicas = set(system.members) - {system.primary()}
    return sum(
        record["sql"].startswith("SELECT k, v FROM entries")
        for name in replicas
        for record in system.members[name].journal.statement_records()
    )


async def test_session_reads_its_own_write_at_another_node(system: System) -> None:
    client = await system.caller("a1", "driver-7")
    written = await until_ok(client, "UPDATE entries SET v = 'second' WHERE k = 'k'")
    assert written.affected_rows == 1
    assert (await client.move("b1", system.clients["b1"])).outcome == "ok"
    read = await until_ok(client, "SELECT k, v FROM entries WHERE k = 'k'")
    assert list(read.rows) == [("k", "second")]
    async with asyncio.timeout(20):
        while not reads_at_replicas(system):
            read = await until_ok(client, "SELECT k, v FROM entries WHERE k = 'k'")
            assert list(read.rows) == [("k", "second")]
    await client.close()


async def test_transaction_commits_whole_and_rolls_back_when_its_caller_vanishes(
    system: System,
) -> None:
    writer, reader = await system.caller("a1"), await system.caller("b1")
    for sql in ("BEGIN", "UPDATE entries SET v = 'kept' WHERE k = 'k'", "COMMIT"):
        await until_ok(writer, sql)
    for sql in ("BEGIN", "UPDATE entries SET v = 'lost' WHERE k = 'k'"):
        await until_ok(writer, sql)
    writer.abort()
    for number in range(12):
        await until_ok(reader, f"INSERT INTO entries (k, v) VALUES ('n{number}', 'x')")
    read = await until_ok(reader, "SELECT v FROM entries WHERE k = 'k'")
    assert list(read.rows) == [("kept",)]
    await reader.close()


async def test_writes_continue_after_the_primary_is_lost(system: System) -> None:
    client = await system.caller("b1", "driver-8")
    await until_ok(client, "UPDATE entries SET v = 'before' WHERE k = 'k'")
    lost = system.primary()
    await system.members[lost].stop()
    await until_ok(client, "UPDATE entries SET v = 'after' WHERE k = 'k'")
    read = await until_ok(client, "SELECT v FROM entries WHERE k = 'k'")
    assert list(read.rows) == [("after",)]
    del system.members[lost]
    assert system.primary() != lost
    await client.close()


class Watcher(Service):
    """Keeps the weight that is in force at a node."""

    name = "watcher"

    def __init__(self, kernel: Kernel) -> None:
        super().__init__(kernel)
        self.weight = asyncio.get_running_loop().create_future()

    async def handle(self, envelope: Envelope) -> None:
        row = envelope.message.view.weights.get("db-a")
        if row is not None and row.read_weight == 7 and not self.weight.done():
            self.weight.set_result(row.read_weight)


async def test_edit_through_one_node_is_in_force_at_the_other(system: System) -> None:
    kernel = system.kernels["b1"]
    watcher = Watcher(kernel)
    kernel.register(watcher)
    kernel.subscribe(ConfigurationChanged, "watcher")
    watcher.spawn(watcher.run())
    host, port = system.admins["a1"]
    url = f"http://{host}:{port}/api/v1/rows/weight/db-a"
    async with aiohttp.ClientSession(headers={"Authorization": f"Bearer {TOKEN}"}) as http:
        async with http.get(url) as response:
            row = await response.json()
        spec = {**row["spec"], "read_weight": 7}
        edit = {"expected_version": row["version"], "spec": spec}
        async with http.put(url, json=edit) as response:
            assert response.status == 200
        async with http.put(url, json=edit) as response:
            assert response.status == 409
    assert await watcher.weight == 7


async def test_planned_stop_lets_a_transaction_end(system: System) -> None:
    client = await system.caller("a1")
    await until_ok(client, "BEGIN")
    await until_ok(client, "UPDATE entries SET v = 'in flight' WHERE k = 'k'")
    drain = asyncio.create_task(system.kernels["a1"].drain())
    await asyncio.sleep(0.05)
    assert not drain.done()
    committed = await client.execute("COMMIT")
    assert committed.ok, committed.outcome
    await drain
    other = await system.caller("b1")
    read = await until_ok(other, f"SELECT v FROM {GROUP}.entries WHERE k = 'k'")
    assert list(read.rows) == [("in flight",)]
    await other.close()
    client.abort()


# Guards against a cut where the edge and the owner of one statement stop beside each other.
@pytest.mark.parametrize("stops", [("a1",), ("b1",), ("a1", "b1"), ("b1", "a1")], ids="+".join)
@pytest.mark.parametrize("caller", ["a1", "b1"])
async def test_planned_stops_cut_no_statement_in_flight(
    system: System, caller: str, stops: tuple[str, ...]
) -> None:
    client = await system.caller(caller)
    await until_ok(client, "SELECT v FROM entries WHERE k = 'k'")
    slow_write = "UPDATE entries SET v = 'in flight' WHERE k = 'k' /* SLEEP(1.2) */"
    running = asyncio.create_task(client.execute(slow_write))
    await asyncio.sleep(0.1)
    stopping = []
    for node in stops:
        stopping.append(asyncio.create_task(drain_and_stop(system.kernels[node])))
        await asyncio.sleep(0.2)
    answer = await running
    assert answer.ok, answer.outcome
    await asyncio.gather(*stopping)
    client.abort()


# Guards against a caller without a verdict where the bound of a node's drain is over, whichever of
# the nodes that its statement needs has stopped.
@pytest.mark.parametrize("stopped", ["a1", "b1"])
@pytest.mark.parametrize(
    ("begin", "sql", "outcomes"),
    [
        pytest.param(False, "SELECT SLEEP(3)", {"not_run", "ok"}, id="a read"),
        pytest.param(False, "UPDATE entries SET v = 'x' /* SLEEP(3) */", {"unknown"}, id="a write"),
        pytest.param(True, "SELECT SLEEP(3)", {"not_run"}, id="within a transaction"),
    ],
)
async def test_a_statement_that_outlasts_the_bound_gets_a_verdict(
    system: System, stopped: str, begin: bool, sql: str, outcomes: set[str]
) -> None:
    owner = MEMBER_ZONES[system.primary()] + "1"
    caller = "b1" if owner == "a1" else "a1"
    client = await system.caller(caller)
    if begin:
        await until_ok(client, "BEGIN")
    running = asyncio.create_task(client.execute(sql))
    await asyncio.sleep(0.2)
    await system.kernels[stopped].stop()
    outcome = (await running).outcome
    assert outcome.outcome in outcomes
    assert not outcome.reason.startswith("MYSQL"), "an error without a verdict"
    client.abort()


async def drain_and_stop(kernel: Kernel) -> None:
    await kernel.drain()
    await kernel.stop()


async def test_a_leaving_primary_hands_its_writes_over(system: System) -> None:
    client = await system.caller("b1", "driver-9")
    await until_ok(client, "UPDATE entries SET v = 'before' WHERE k = 'k'")
    leaving = system.primary()
    system.members[leaving].submit(SetLeaving(True))
    async with asyncio.timeout(20):
        while system.primary() == leaving:
            await until_ok(client, "UPDATE entries SET v = 'meanwhile' WHERE k = 'k'")
    await until_ok(client, "UPDATE entries SET v = 'after' WHERE k = 'k'")
    read = await until_ok(client, "SELECT v FROM entries WHERE k = 'k'")
    assert list(read.rows) == [("after",)]
    await client.close()


@pytest.mark.parametrize("name", SERVICE_ORDER)
async def test_a_service_that_fails_once_is_restarted_and_the_node_keeps_serving(
    system: System, name: str
) -> None:
    kernel = system.kernels["a1"]
    kernel.report_failure(name, RuntimeError("provoked"))
    await asyncio.sleep(0)
    client = await system.caller("a1", "driver-10")
    async with asyncio.timeout(20):
        for number in range(3):
            await write_until_ok(system, client, f"after-{number}")
    read = await until_ok(client, "SELECT v FROM entries WHERE k = 'k'")
    assert list(read.rows) == [("after-2",)]
    await client.close()


async def write_until_ok(system: System, client: CallerClient, value: str) -> None:
    """Write until it succeeds, reconnecting as needed; repeating the write is harmless."""
    while True:
        if not client.connected:
            await client.connect("a1", system.clients["a1"])
        answer = await client.execute(f"UPDATE entries SET v = '{value}' WHERE k = 'k'")
        if answer.ok:
            return
        await asyncio.sleep(0.05)


async def test_metrics_count_reads_by_role_and_traffic_between_nodes(system: System) -> None:
    client = await system.caller("b1")
    await until_ok(client, "SELECT v FROM entries WHERE k = 'k'")
    host, port = system.admins["b1"]
    async with aiohttp.ClientSession() as http, http.get(f"http://{host}:{port}/metrics") as answer:
        text = await answer.text()
    assert "bramblebeam_reads_total{role=" in text
    assert 'bramblebeam_peer_bytes_total{direction="sent",message=' in text
    await client.close()
