"""Benchmarks the connection pool on its own: `python -m bramblebeam.lab.pool_bench`.

The pool services of two nodes run in this process and call each other without sockets. They use
one simulated database in a child process. Measures the CPU time per statement, slot utilization
during a burst, the time in which a service reclaims slots that another one borrowed, and the peak
number of connections at the database while the owner changes.
"""

import asyncio
import itertools
import json
import tempfile
import time
from pathlib import Path
from typing import Annotated, Any

import typer
import uvloop

from bramblebeam.core.administration.messages import PoolStatus, PoolStatusRequest
from bramblebeam.core.configuration.rows import GroupSpec, LimitSpec, MemberSpec
from bramblebeam.core.configuration.view import ConfigurationChanged, ConfigurationView
from bramblebeam.core.identity import Address, GroupId, InstanceId, NodeId, ServiceId, ZoneId
from bramblebeam.core.membership.view import MembersChanged, MembersView
from bramblebeam.core.statement import (
    ExecuteReply,
    ExecuteRequest,
    RequestId,
    StatementKind,
    SubscribeRequest,
)
from bramblebeam.edges.backend import BackendConnection
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.service import answer
from bramblebeam.lab.processes import process_group
from bramblebeam.services.pool.service import PoolService
from bramblebeam.services.transport.messages import PeerDelivery, PeerRequest
from bramblebeam.settings.model import NodeSettings

ZONE, GROUP, INSTANCE = ZoneId("z1"), GroupId("parcels"), InstanceId("db")
GUARANTEED_SERVICE, BURSTING_SERVICE = ServiceId("tracking"), ServiceId("dispatch")
SLOTS = 5
BURST = 5
READ = "SELECT 1"
ROUNDS = 5

application = typer.Typer(add_completion=False)


class DirectTransport(Service):
    """Delivers peer requests to the pools of the other nodes in this process."""

    name = "transport"

    def __init__(self, kernel: Kernel, nodes: dict[NodeId, Kernel]) -> None:
        super().__init__(kernel)
        self._nodes = nodes

    async def handle(self, envelope: Envelope) -> None:
        """Deliver a request; acknowledge and drop any other message."""
        message = envelope.message
        if isinstance(message, PeerRequest):
            self.spawn(self._deliver(message, envelope))
        else:
            answer(envelope, None)

    async def _deliver(self, message: PeerRequest, envelope: Envelope) -> None:
        delivery = PeerDelivery(NodeId("a"), message.message)
        answer(envelope, await self._nodes[message.to].call("pool", delivery, message.timeout))


class PoolBench:
    """The pools of two nodes in front of one database."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.nodes: dict[NodeId, Kernel] = {}
        self._sequence = itertools.count()

    async def start(self) -> None:
        """Promote the database to primary and start both nodes."""
        control = await BackendConnection.connect(self.address, "bramblebeam_control", "")
        await control.execute("CALL bramblebeam.promise(1)")
        listed = f"{INSTANCE}={self.address.host}:{self.address.port}"
        await control.execute(f"CALL bramblebeam.promote(1, '{listed}')")
        await control.close()
        for name in ("a", "b"):
            kernel = Kernel()
            settings = NodeSettings(node=NodeId(name), zone=ZONE, region="r")
            kernel.register(DirectTransport(kernel, self.nodes), PoolService(kernel, settings))
            self.nodes[NodeId(name)] = kernel
            await kernel.start()
            kernel.publish(ConfigurationChanged(self._view()))
        await self.change_owner("a")

    async def stop(self) -> None:
        """Stop both nodes."""
        for kernel in self.nodes.values():
            await kernel.stop()

    async def change_owner(self, owner: str) -> float:
        """Publish a new owner; return the time until it owns the pool (seconds)."""
        started = time.perf_counter()
        view = MembersView(owners={ZONE: (NodeId(owner),)})
        for kernel in self.nodes.values():
            kernel.publish(MembersChanged(view))
        request = SubscribeRequest(INSTANCE)
        while not (await self.nodes[NodeId(owner)].call("pool", request, 5.0)).owned:  # noqa: ASYNC110
            await asyncio.sleep(0.001)
        return time.perf_counter() - started

    async def run(
        self,
        service: ServiceId,
        sql: str,
        kind: StatementKind,
        node: str = "a",
        wait_ms: int = 5000,
    ) -> ExecuteReply:
        """Run one statement through a node's pool."""
        request = ExecuteRequest(
            RequestId("bench", next(self._sequence)), INSTANCE, service, kind, sql, wait_ms=wait_ms
        )
        reply: ExecuteReply = await self.nodes[NodeId(node)].call("pool", request, 30.0)
        return reply

    def _view(self) -> ConfigurationView:
        host, port = self.address
        member = MemberSpec(instance=INSTANCE, zone=ZONE, host=host, port=port)
        limits = {
            (service, GROUP): LimitSpec(
                service=service, group=GROUP, slots=SLOTS, burst=BURST, queue=1_000
            )
            for service in (GUARANTEED_SERVICE, BURSTING_SERVICE)
        }
        return ConfigurationView(1, {GROUP: GroupSpec(members=(member,))}, limits)


async def processor_time(
    bench: PoolBench, sql: str, kind: StatementKind, statements: int
) -> dict[str, float]:
    """Return the rate and this process's CPU time per statement, the best of `ROUNDS` rounds."""
    per_round = statements // ROUNDS
    rounds = [await _round(bench, sql, kind, per_round) for _ in range(ROUNDS)]
    return {
        "microseconds_a_statement": round(min(spent for spent, _ in rounds) / per_round * 1e6, 1),
        "statements_a_second": round(per_round / min(elapsed for _, elapsed in rounds)),
    }


async def _round(
    bench: PoolBench, sql: str, kind: StatementKind, statements: int
) -> tuple[float, float]:
    """Return the CPU time and the elapsed time of `statements` statements (seconds)."""
    started = itertools.count()

    async def caller() -> None:
        while next(started) < statements:
            reply = await bench.run(GUARANTEED_SERVICE, sql, kind)
            assert reply.refusal is None, reply.refusal

    processor, wall = time.process_time(), time.perf_counter()
    await asyncio.gather(*(caller() for _ in range(SLOTS)))
    return time.process_time() - processor, time.perf_counter() - wall


async def driver_time(address: Address, statements: int) -> float:
    """Return the CPU time per statement on a connection without a pool (microseconds)."""
    connection = await BackendConnection.connect(address, "bramblebeam_control", "")
    per_round = statements // ROUNDS
    best = float("inf")
    for _ in range(ROUNDS):
        started = time.process_time()
        for _ in range(per_round):
            await connection.execute(READ, 500)
        best = min(best, time.process_time() - started)
    await connection.close()
    return round(best / per_round * 1e6, 1)


async def burst(bench: PoolBench, rounds: int = 20, hold: float = 0.02) -> dict[str, Any]:
    """Measure how soon a service gets its slots while another one bursts.

    The statements of the bursting service take `hold` seconds.
    """
    sql = f"SELECT SLEEP({hold})"
    stop = asyncio.Event()

    async def burst_caller() -> None:
        while not stop.is_set():
            await bench.run(BURSTING_SERVICE, sql, StatementKind.READ)

    burst_callers = [asyncio.ensure_future(burst_caller()) for _ in range(40)]
    await asyncio.sleep(10 * hold)
    waits = []
    for _ in range(rounds):
        started = time.perf_counter()
        await asyncio.gather(
            *(bench.run(GUARANTEED_SERVICE, READ, StatementKind.READ) for _ in range(SLOTS))
        )
        waits.append((time.perf_counter() - started) * 1000)
        await asyncio.sleep(3 * hold)
    stop.set()
    await asyncio.gather(*burst_callers)
    waits.sort()
    return {
        "statement_ms": hold * 1000,
        "lender_has_all_slots_ms": {
            "p50": round(waits[rounds // 2], 1),
            "max": round(waits[-1], 1),
        },
    }


async def burst_utilization(bench: PoolBench, statements: int = 400, hold: float = 0.02) -> float:
    """Return the mean slot utilization while one service bursts."""
    sql = f"SELECT SLEEP({hold})"
    work = asyncio.gather(
        *(
            bench.run(BURSTING_SERVICE, sql, StatementKind.READ, wait_ms=60_000)
            for _ in range(statements)
        )
    )
    samples: list[float] = []
    while not work.done():
        await asyncio.sleep(hold / 4)
        status: PoolStatus = await bench.nodes[NodeId("a")].call("pool", PoolStatusRequest())
        samples.extend(report.used / report.limit for report in status.pools)
    await work
    return round(sum(samples) / len(samples), 3)


async def measure_owner_changes(bench: PoolBench, changes: int) -> dict[str, Any]:
    """Measure handover times and refused statements while the owner changes under load."""
    stop = asyncio.Event()
    refused: dict[str, int] = {}

    async def caller(node: str) -> None:
        while not stop.is_set():
            reply = await bench.run(
                GUARANTEED_SERVICE, "SELECT SLEEP(0.002)", StatementKind.READ, node, 500
            )
            if reply.refusal is not None:
                name = f"{reply.refusal.verdict.name}/{reply.refusal.reason.name}"
                refused[name] = refused.get(name, 0) + 1
                await asyncio.sleep(0.005)

    callers = [asyncio.ensure_future(caller(node)) for node in "ab" for _ in range(10)]
    times = sorted([await bench.change_owner("ba"[number % 2]) for number in range(changes)])
    stop.set()
    await asyncio.gather(*callers)
    return {
        "changes": changes,
        "handover_ms": {
            "p50": round(times[changes // 2] * 1000, 1),
            "max": round(times[-1] * 1000, 1),
        },
        "refused": refused,
    }


async def measure(statements: int, changes: int, directory: Path) -> dict[str, Any]:
    """Run all measurements against a database process."""
    async with process_group(directory) as group:
        arguments = ("-m", "bramblebeam.lab.database", "--instance", INSTANCE)
        listen = ("--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0")
        process = await group.start("database", (*arguments, *listen, "--control", "127.0.0.1:0"))
        bench = PoolBench(Address(*process.address("listen")))
        await bench.start()
        await bench.run(GUARANTEED_SERVICE, "CREATE TABLE b (n BIGINT)", StatementKind.WRITE)
        read, write = StatementKind.READ, StatementKind.WRITE
        result = {
            "driver_microseconds_a_statement": await driver_time(bench.address, statements),
            "read": await processor_time(bench, READ, read, statements),
            "write": await processor_time(bench, "INSERT INTO b VALUES (1)", write, statements),
            "burst": await burst(bench),
            "slots_used_in_a_burst": await burst_utilization(bench),
            "churn": await measure_owner_changes(bench, changes),
            "highest_connections": await highest_connections(process.address("control")),
            "slots": 2 * SLOTS,
        }
        await bench.stop()
        return result


async def highest_connections(control: tuple[str, int]) -> int:
    """Return the peak number of slot connections at the database."""
    import aiohttp

    host, port = control
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"http://{host}:{port}/statistics") as response,
    ):
        statistics = await response.json()
    highest: int = statistics["highest_connections_of_user"]["bramblebeam"]
    return highest


@application.command()
def main(
    statements: Annotated[int, typer.Option(help="Statements of each kind.")] = 10_000,
    changes: Annotated[int, typer.Option(help="Number of owner changes.")] = 100,
) -> None:
    """Run the benchmark and print its result as one JSON object."""
    with tempfile.TemporaryDirectory() as directory:
        result = uvloop.run(measure(statements, changes, Path(directory)))
    typer.echo(json.dumps(result, indent=2))


if __name__ == "__main__":
    application()
