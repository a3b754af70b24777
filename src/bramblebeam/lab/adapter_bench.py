"""Benchmarks the MySQL protocol server on its own: `python -m bramblebeam.lab.adapter_bench`.

A child process serves fixed results and this process is the client. Prints one JSON object:
statements per second and server CPU time per statement (microseconds) for the text and the
prepared protocol, the same for connecting, memory per idle connection (KB), and the growth of
server and client memory during a result of a million rows (KB).
"""

import asyncio
import json
import resource
import tempfile
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Annotated, Any

import asyncmy
import typer
import uvloop

from bramblebeam.core.identity import Address
from bramblebeam.core.statement import ColumnSpec
from bramblebeam.edges.backend import BackendConnection
from bramblebeam.edges.mysql.server import (
    CallerSession,
    ConnectionInfo,
    MysqlServer,
    OkResult,
    RowsResult,
)
from bramblebeam.lab.processes import process_group

MICROSECONDS = 1_000_000
LONGLONG, VAR_STRING, DOUBLE = 8, 253, 5
ROW = (17, "Calle Bolívar 12, Quito")
COLUMNS = (ColumnSpec("id", LONGLONG), ColumnSpec("address", VAR_STRING))
USAGE_COLUMNS = (ColumnSpec("cpu", DOUBLE), ColumnSpec("memory", LONGLONG))
LARGE_ROWS = 1_000_000
FETCH_ROWS = 1_000
MAX_CONCURRENT_CONNECTS = 32

app = typer.Typer(add_completion=False)


class FixedSession(CallerSession):
    """Answers each statement immediately with one row, an OK, many rows or the process's usage."""

    async def opened(self, connection: ConnectionInfo) -> None:
        """Accept every connection."""

    async def execute(self, sql: str, attributes: dict[str, Any]) -> OkResult | RowsResult:
        """Choose the result by the prefix of the statement."""
        if sql.startswith("SELECT usage"):
            return RowsResult(USAGE_COLUMNS, [usage()])
        if sql.startswith("SELECT large"):
            return RowsResult(COLUMNS, large_rows())
        if sql.startswith("SELECT"):
            return RowsResult(COLUMNS, [ROW])
        return OkResult(1, 0, "position=1:17")

    async def use(self, database: str) -> None:
        """Accept every database name."""

    async def reset(self) -> None:
        """Do nothing: the session has no state."""

    async def closed(self) -> None:
        """Do nothing: the session has no state."""


async def large_rows() -> AsyncIterator[tuple[int, str]]:
    """Yield `LARGE_ROWS` rows."""
    for number in range(LARGE_ROWS):
        yield number, ROW[1]


def usage() -> tuple[float, int]:
    """Return this process's CPU time (seconds) and resident memory (KB)."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    for line in Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return used.ru_utime + used.ru_stime, int(line.split()[1])
    return used.ru_utime + used.ru_stime, used.ru_maxrss


@app.command()
def serve() -> None:
    """Run the benchmark server until killed."""
    uvloop.run(_serve())


async def _serve() -> None:
    server = MysqlServer(FixedSession, "127.0.0.1", 0)
    await server.start()
    print(json.dumps({"listen": server.address}), flush=True)
    await asyncio.Event().wait()


@app.command()
def measure(
    statements: Annotated[int, typer.Option(help="Statements of each kind.")] = 20_000,
    connections: Annotated[int, typer.Option(help="Connections that send statements.")] = 8,
    idle: Annotated[int, typer.Option(help="Idle connections.")] = 1_000,
) -> None:
    """Run the benchmark and print its result as JSON."""
    print(json.dumps(uvloop.run(_measure(statements, connections, idle))))


async def _measure(statements: int, connections: int, idle: int) -> dict[str, Any]:
    with tempfile.TemporaryDirectory() as directory:
        async with process_group(Path(directory)) as processes:
            arguments = ["-m", "bramblebeam.lab.adapter_bench", "serve"]
            server = await processes.start("adapter", arguments)
            address = Address(*server.address("listen"))
            bench = AdapterBench(address, await _connect(address))
            result: dict[str, Any] = {"statements": statements, "connections": connections}
            for sql in ("SELECT row", "UPDATE row"):
                result[sql] = await bench.text(sql, statements, connections)
            result["SELECT prepared"] = await bench.prepared(statements, connections)
            result["connect"] = await bench.connects(idle)
            result["idle"] = await bench.idle(idle)
            result["large"] = await bench.large()
            server.kill()
            return result


async def _connect(address: Address) -> BackendConnection:
    return await BackendConnection.connect(address, "bench", "")


class AdapterBench:
    """The benchmark's client. `control` is the connection that queries the server's usage."""

    def __init__(self, address: Address, control: BackendConnection) -> None:
        self.address = address
        self.control = control

    async def usage(self) -> tuple[float, int]:
        """Return the server's CPU time (seconds) and memory (KB)."""
        cpu, memory = (await self.control.execute("SELECT usage")).rows[0]
        return cpu, memory

    async def text(self, sql: str, statements: int, connections: int) -> dict[str, float]:
        """Measure a statement sent by the text protocol."""
        clients = [await _connect(self.address) for _ in range(connections)]

        async def work(client: BackendConnection) -> None:
            for _ in range(statements // connections):
                await client.execute(sql)

        result = await self._timed(statements, [work(client) for client in clients])
        for client in clients:
            await client.close()
        return result

    async def prepared(self, statements: int, connections: int) -> dict[str, float]:
        """Measure a prepared statement with two parameters."""
        host, port = self.address
        clients = [
            await asyncmy.connect(host=host, port=port, user="bench", autocommit=None)
            for _ in range(connections)
        ]

        async def work(client: Any) -> None:
            statement = await client.prepare("SELECT row WHERE a = ? AND b = ?")
            for number in range(statements // connections):
                await statement.execute((number, "Iași"))

        result = await self._timed(statements, [work(client) for client in clients])
        for client in clients:
            client.close()
        return result

    async def connects(self, count: int) -> dict[str, float]:
        """Measure connecting and disconnecting, up to `MAX_CONCURRENT_CONNECTS` at a time."""
        limit = asyncio.Semaphore(MAX_CONCURRENT_CONNECTS)

        async def work() -> None:
            async with limit:
                client = await _connect(self.address)
                client.abort()

        return await self._timed(count, [work() for _ in range(count)])

    async def idle(self, count: int) -> dict[str, float]:
        """Measure the server memory per idle connection."""
        _, before = await self.usage()
        connections = [await _connect(self.address) for _ in range(count)]
        _, after = await self.usage()
        for client in connections:
            client.abort()
        return {"connections": count, "kilobytes_each": round((after - before) / count, 2)}

    async def large(self) -> dict[str, float]:
        """Measure throughput and peak memory growth while a large result is fetched in batches."""
        client = await _connect(self.address)
        _, before = await self.usage()
        client_before = usage()[1]
        peak = before
        start = time.perf_counter()
        result = await client.execute("SELECT large", maximum_rows=FETCH_ROWS)
        rows, more, number = len(result.rows), result.more, 0
        while more:
            batch = await client.fetch(FETCH_ROWS)
            rows, more, number = rows + len(batch.rows), batch.more, number + 1
            if number % 50 == 0:
                peak = max(peak, (await self.usage())[1])
        seconds = time.perf_counter() - start
        assert rows == LARGE_ROWS
        return {
            "rows_per_second": round(rows / seconds),
            "server_kilobytes_more": peak - before,
            "client_kilobytes_more": usage()[1] - client_before,
        }

    async def _timed(self, statements: int, work: list[Any]) -> dict[str, float]:
        cpu_before, _ = await self.usage()
        start = time.perf_counter()
        await asyncio.gather(*work)
        seconds = time.perf_counter() - start
        cpu_after, _ = await self.usage()
        return {
            "per_second": round(statements / seconds),
            "server_microseconds": round((cpu_after - cpu_before) / statements * MICROSECONDS, 1),
        }


if __name__ == "__main__":
    app()
