"""Connections to back ends, with the MySQL protocol adapter as the server."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest

from bramblebeam.core.identity import Address
from bramblebeam.core.statement import ColumnSpec
from bramblebeam.core.verdict import Verdict
from bramblebeam.edges.backend import (
    BackendConnection,
    ConnectError,
    ConnectionLostError,
    StatementError,
)
from bramblebeam.edges.mysql.server import (
    CallerError,
    CallerSession,
    ConnectionInfo,
    MysqlServer,
    OkResult,
    RowsResult,
)

ROWS = 50_000


class FakeDatabase(CallerSession):
    """Returns fixed results; `produced[0]` is the number of the last row it has produced."""

    def __init__(self, servers: list[MysqlServer], produced: list[int]) -> None:
        self.servers = servers
        self.produced = produced
        self.connection: ConnectionInfo | None = None

    async def opened(self, connection: ConnectionInfo) -> None:
        self.connection = connection
        if connection.user == "full":
            raise CallerError(1203, "42000", "max_user_connections")

    async def execute(self, sql: str, attributes: dict[str, Any]) -> OkResult | RowsResult:
        if sql == "WAIT":
            await asyncio.Event().wait()
        if sql == "MANY":
            return RowsResult((ColumnSpec("n", 8), ColumnSpec("t", 253)), self.rows())
        if sql == "TYPES":
            columns = (ColumnSpec("d", 246), ColumnSpec("w", 12), ColumnSpec("b", 252))
            return RowsResult(columns, [("1.50", "2026-03-01 00:00:00", b"\xff")])
        if sql == "BROKEN":
            return RowsResult((ColumnSpec("n", 8),), self.failing_rows())
        if sql.startswith("KILL"):
            words = sql.split()
            self.servers[0].kill(int(words[-1]), query_only="QUERY" in words)
            return OkResult()
        if sql.startswith("FAIL"):
            raise CallerError(int(sql.split()[1]), "HY000", "refused")
        return OkResult(2, 5, "position=1:7", in_transaction=sql == "BEGIN")

    async def rows(self) -> AsyncIterator[tuple[int, str]]:
        for number in range(ROWS):
            self.produced[0] = number
            yield number, "x" * 100

    async def failing_rows(self) -> AsyncIterator[tuple[int]]:
        yield (1,)
        raise CallerError(1105, "HY000", "half way")

    async def use(self, database: str) -> None:
        pass

    async def reset(self) -> None:
        pass

    async def closed(self) -> None:
        pass


@contextlib.asynccontextmanager
async def database() -> AsyncIterator[tuple[Address, list[int], MysqlServer]]:
    servers: list[MysqlServer] = []
    produced = [0]
    server = MysqlServer(lambda: FakeDatabase(servers, produced), "127.0.0.1", 0)
    servers.append(server)
    await server.start()
    try:
        yield server.address, produced, server
    finally:
        await server.stop()


async def connect(address: Address, user: str = "bramblebeam") -> BackendConnection:
    return await BackendConnection.connect(address, user, "", "owner-4", 5.0)


async def test_ok_packet_rows_and_flags() -> None:
    async with database() as (address, _, _):
        connection = await connect(address)
        result = await connection.execute("INSERT")
        assert (result.affected_rows, result.last_insert_id) == (2, 5)
        assert result.info == "position=1:7"
        assert not result.in_transaction
        assert (await connection.execute("BEGIN")).in_transaction
        result = await connection.execute("TYPES", maximum_rows=10)
        assert result.rows == (("1.50", "2026-03-01 00:00:00", b"\xff"),)
        assert [column.type_code for column in result.columns] == [246, 12, 252]
        assert not result.more
        await connection.reset()
        await connection.use("depot")
        assert not connection.busy
        await connection.close()
        assert connection.broken


async def test_streamed_rows_are_complete_and_backpressure_stops_the_server() -> None:
    async with database() as (address, produced, _):
        connection = await connect(address)
        result = await connection.execute("MANY", maximum_rows=100)
        assert result.more
        assert connection.busy
        rows = list(result.rows)
        paused_at = -1
        while paused_at != produced[0]:
            paused_at = produced[0]
            await asyncio.sleep(0.05)
        assert paused_at < ROWS - 1
        more = True
        while more:
            batch = await connection.fetch(1_000)
            assert len(batch.rows) <= 1_000
            rows.extend(batch.rows)
            more = batch.more
        assert [row[0] for row in rows] == list(range(ROWS))
        assert not connection.busy
        await connection.close()


async def test_error_packets_leave_the_connection_usable() -> None:
    async with database() as (address, _, _):
        connection = await connect(address)
        with pytest.raises(StatementError) as refused:
            await connection.execute("FAIL 3101")
        assert (refused.value.code, refused.value.verdict) == (3101, Verdict.NOT_RUN)
        for code in (3102, 1180):
            with pytest.raises(StatementError) as uncertain:
                await connection.execute(f"FAIL {code}")
            assert uncertain.value.verdict is Verdict.UNKNOWN
        with pytest.raises(StatementError):
            result = await connection.execute("BROKEN", maximum_rows=1)
            while result.more:
                await connection.fetch(1)
        assert not connection.busy
        assert (await connection.execute("INSERT")).affected_rows == 2
        await connection.close()


async def test_cancelled_statement_breaks_the_connection() -> None:
    async with database() as (address, _, server):
        connection = await connect(address)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await connection.execute("WAIT")
        assert connection.broken
        with pytest.raises(ConnectionLostError) as later:
            await connection.execute("INSERT")
        assert later.value.verdict is Verdict.NOT_RUN
        for _ in range(2_500):
            if not server.connections:
                break
            await asyncio.sleep(0.002)
        assert not server.connections


async def test_kill_and_lost_connection() -> None:
    async with database() as (address, _, _):
        connection = await connect(address)
        control = await connect(address)
        waiting = asyncio.create_task(connection.execute("WAIT"))
        await asyncio.sleep(0.02)
        await control.kill(connection.id, query_only=True)
        with pytest.raises(StatementError) as killed:
            await waiting
        assert killed.value.code == 1317
        waiting = asyncio.create_task(connection.execute("WAIT"))
        await asyncio.sleep(0.02)
        await control.kill(connection.id, query_only=False)
        with pytest.raises((ConnectionLostError, StatementError)):
            await waiting
        await control.close()


async def test_connection_lost_after_sending_has_unknown_outcome() -> None:
    async with database() as (address, _, server):
        connection = await connect(address)
        waiting = asyncio.create_task(connection.execute("WAIT"))
        await asyncio.sleep(0.02)
        for caller in list(server._connections.values()):
            caller._stream.abort()
        with pytest.raises(ConnectionLostError) as lost:
            await waiting
        assert lost.value.verdict is Verdict.UNKNOWN
        assert connection.broken


async def test_connect_errors() -> None:
    async with database() as (address, _, server):
        with pytest.raises(ConnectError) as full:
            await connect(address, "full")
        assert full.value.code == 1203
        await server.stop()
        with pytest.raises(ConnectError) as refused:
            await connect(address)
        assert (refused.value.code, refused.value.verdict) == (0, Verdict.NOT_RUN)

    async def unresponsive(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()

    listener = await asyncio.start_server(unresponsive, "127.0.0.1", 0)
    async with listener:
        address = Address(*listener.sockets[0].getsockname())
        with pytest.raises(ConnectError):
            await BackendConnection.connect(address, "bramblebeam", "", timeout=0.1)
