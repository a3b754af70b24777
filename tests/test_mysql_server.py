"""The MySQL protocol adapter for callers, with real drivers and with malformed input."""

import asyncio
import contextlib
import random
import ssl
import struct
from collections import Counter
from collections.abc import AsyncIterator
from datetime import UTC, date, datetime, timedelta
from pathlib import Path
from typing import Any

import asyncmy
import pymysql
import pytest
import uvloop
from asyncmy.auth import scramble_native_password
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from hypothesis import given, settings
from hypothesis import strategies as st
from pymysql.constants import CLIENT

from bramblebeam.core.statement import ColumnSpec
from bramblebeam.edges.mysql.parameters import split_at_placeholders
from bramblebeam.edges.mysql.server import (
    CallerError,
    CallerSession,
    ConnectionInfo,
    MysqlServer,
    OkResult,
    RowsResult,
)

LONGLONG, VAR_STRING, BLOB, DATETIME, TIME, DOUBLE, TINY = 8, 253, 252, 12, 11, 5, 1


class RecordingSession(CallerSession):
    """Returns fixed results for a few statements and records every call."""

    def __init__(self, log: list[Any]) -> None:
        self.log = log
        self.started = asyncio.Event()

    async def opened(self, connection: ConnectionInfo) -> None:
        self.log.append(connection)
        if connection.user == "crowd":
            raise CallerError(1040, "08004", "Too many connections")

    async def execute(self, sql: str, attributes: dict[str, Any]) -> OkResult | RowsResult:
        self.log.append(sql)
        if attributes:
            self.log.append(attributes)
        if sql == "SELECT wait":
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                self.log.append("cancelled")
                raise
        if sql == "SELECT fail":
            raise CallerError(1213, "40001", "Deadlock found")
        if sql == "SELECT bug":
            raise RuntimeError("not expected")
        if sql.startswith("SELECT many"):
            return RowsResult(
                (ColumnSpec("n", LONGLONG), ColumnSpec("t", VAR_STRING)), self.many_rows()
            )
        if sql.startswith("SELECT types"):
            columns = (
                ColumnSpec("i", LONGLONG),
                ColumnSpec("s", VAR_STRING),
                ColumnSpec("b", BLOB),
                ColumnSpec("d", DATETIME),
                ColumnSpec("t", TIME),
                ColumnSpec("f", DOUBLE),
                ColumnSpec("y", TINY),
                ColumnSpec("z", VAR_STRING),
            )
            return RowsResult(columns, [TYPES_ROW], in_transaction=True, autocommit=False)
        return OkResult(3, 17, "position=4:9", in_transaction=sql == "BEGIN")

    async def many_rows(self) -> AsyncIterator[tuple[int, str]]:
        for number in range(20_000):
            yield number, "x" * 20

    async def use(self, database: str) -> None:
        self.log.append(("use", database))

    async def reset(self) -> None:
        self.log.append("reset")

    async def closed(self) -> None:
        self.log.append("closed")


TYPES_ROW = (
    -5,
    "țară",
    b"\xff\x00",
    datetime(2026, 3, 1, 2, 3, 4),
    timedelta(hours=30, seconds=5),
    1.5,
    -3,
    None,
)


@contextlib.asynccontextmanager
async def running_server(
    context: ssl.SSLContext | None = None, users: dict[str, str] | None = None
) -> AsyncIterator[tuple[MysqlServer, list[Any]]]:
    log: list[Any] = []
    server = MysqlServer(lambda: RecordingSession(log), "127.0.0.1", 0, context, users)
    await server.start()
    try:
        yield server, log
    finally:
        await server.stop()


async def connect(server: MysqlServer, **options: Any) -> Any:
    host, port = server.address
    return await asyncmy.connect(host=host, port=port, user="svc", autocommit=None, **options)


async def wait_until(check: Any) -> None:
    for _ in range(2_500):
        if check():
            return
        await asyncio.sleep(0.002)
    raise AssertionError("the condition was not met in time")


async def test_asyncmy_sees_counts_info_flags_and_attributes() -> None:
    async with running_server() as (server, log):
        connection = await connect(server, database="depot", program_name="epoch-4")
        await connection.query("INSERT INTO t VALUES (1)")
        result = connection._result
        assert (result.affected_rows, result.insert_id) == (3, 17)
        assert result.message == b"position=4:9"
        assert not connection.get_transaction_status()
        await connection.query("BEGIN")
        assert connection.get_transaction_status()
        assert log[0].database == "depot"
        assert log[0].attributes["program_name"] == "epoch-4"
        await connection.select_db("other")
        assert ("use", "other") in log
        await connection._execute_command(0x1F, b"")
        await connection._read_ok_packet()
        assert log[-1] == "reset"
        await connection.ensure_closed()
        await wait_until(lambda: server.connections == 0)
        assert log[-1] == "closed"


async def test_values_in_text_and_binary_protocol() -> None:
    async with running_server() as (server, _):
        connection = await connect(server)
        await connection.query("SELECT types")
        assert tuple(connection._result.rows[0]) == TYPES_ROW
        assert connection.get_transaction_status()
        assert not connection.get_autocommit()
        statement = await connection.prepare("SELECT types, ?")
        cursor = connection.cursor()
        result = await statement.execute((1,))
        assert tuple(result.rows[0]) == TYPES_ROW
        await cursor.close()
        connection.close()


async def test_prepared_parameters_become_literals() -> None:
    async with running_server() as (server, log):
        connection = await connect(server)
        statement = await connection.prepare("UPDATE t SET a=?, b='?' /* ? */ WHERE c=? AND d=?")
        assert statement.parameter_count == 3
        await statement.execute(("it's \\ ?", None, 7))
        text = log[-1]
        assert text == "UPDATE t SET a='it''s \\\\ ?', b='?' /* ? */ WHERE c=NULL AND d=7"
        await statement.execute((b"\xff\xfe", 1.5, date(2026, 3, 1)))
        assert "a=X'fffe'" in log[-1]
        assert "c=1.5 AND d='2026-03-01" in log[-1]
        connection.close()


@pytest.mark.parametrize(
    ("sql", "count"),
    [
        ("SELECT ?", 1),
        ("SELECT '?', \"?\", `?`, ?", 1),
        ("SELECT 'it\\'s ?', ? -- ?\n, ?", 2),
        ("SELECT 'open ?", 0),
        ("SELECT 5 # ?", 0),
        ("SELECT /* ? */ ?", 1),
    ],
)
def test_placeholders_outside_quotes_and_comments(sql: str, count: int) -> None:
    assert len(split_at_placeholders(sql)) - 1 == count


async def test_errors_leave_the_connection_usable(caplog: pytest.LogCaptureFixture) -> None:
    async with running_server() as (server, _):
        connection = await connect(server)
        with pytest.raises(asyncmy.errors.OperationalError) as failure:
            await connection.query("SELECT fail")
        assert failure.value.args[0] == 1213
        with pytest.raises(asyncmy.errors.MySQLError) as bug:
            await connection.query("SELECT bug")
        assert bug.value.args[0] == 1105
        await connection.query("UPDATE t")
        connection.close()


async def test_large_result_by_asynchronous_rows() -> None:
    async with running_server() as (server, _):
        connection = await connect(server)
        await connection.query("SELECT many")
        rows = connection._result.rows
        assert len(rows) == 20_000
        assert rows[-1] == (19_999, "x" * 20)
        connection.close()


async def test_lost_client_cancels_the_statement_and_closes_the_session() -> None:
    async with running_server() as (server, log):
        connection = await connect(server)
        query = asyncio.create_task(connection.query("SELECT wait"))
        await wait_until(lambda: "SELECT wait" in log)
        connection._transport.abort()
        await wait_until(lambda: server.connections == 0)
        assert log[-2:] == ["cancelled", "closed"]
        await asyncio.gather(query, return_exceptions=True)


async def test_kill_query_keeps_the_connection_and_kill_closes_it() -> None:
    async with running_server() as (server, log):
        connection = await connect(server)
        connection_id = log[0].id
        query = asyncio.create_task(connection.query("SELECT wait"))
        await wait_until(lambda: "SELECT wait" in log)
        assert server.kill(connection_id, query_only=True)
        with pytest.raises(asyncmy.errors.MySQLError) as failure:
            await query
        assert failure.value.args[0] == 1317
        await connection.query("UPDATE t")
        server.kill(connection_id, query_only=True)
        await connection.query("UPDATE t")
        assert server.kill(connection_id, query_only=False)
        await wait_until(lambda: server.connections == 0)
        assert log[-1] == "closed"
        assert not server.kill(connection_id, query_only=False)


def event_counts(caplog: pytest.LogCaptureFixture) -> Counter[int]:
    return Counter(getattr(record, "event_number", 0) for record in caplog.records)


async def test_passwords_and_refusal_at_open(caplog: pytest.LogCaptureFixture) -> None:
    async with running_server(users={"svc": "secret", "crowd": "", "open": ""}) as (server, log):
        connection = await connect(server, password="secret")
        connection.close()
        for options in ({"password": "wrong"}, {"password": ""}):
            with pytest.raises(asyncmy.errors.OperationalError) as failure:
                await connect(server, **options)
            assert failure.value.args[0] == 1045
        host, port = server.address
        with pytest.raises(asyncmy.errors.OperationalError) as failure:
            await asyncmy.connect(host=host, port=port, user="nobody", password="secret")
        assert failure.value.args[0] == 1045
        with pytest.raises(asyncmy.errors.OperationalError) as failure:
            await asyncmy.connect(host=host, port=port, user="crowd")
        assert failure.value.args[0] == 1040
        await wait_until(lambda: server.connections == 0)
        assert sum(1 for entry in log if entry == "closed") == 2
        assert event_counts(caplog) == {1191: 3}


async def test_pymysql_with_text_protocol() -> None:
    async with running_server(users={"svc": "secret"}) as (server, _):
        host, port = server.address

        def use() -> tuple[int, tuple[Any, ...], int]:
            connection = pymysql.connect(
                host=host, port=port, user="svc", password="secret", client_flag=CLIENT.FOUND_ROWS
            )
            with connection.cursor() as cursor:
                affected = cursor.execute("UPDATE t SET a=1")
                last_id = cursor.lastrowid
                cursor.execute("SELECT types")
                row = cursor.fetchone()
            connection.close()
            return affected, row, last_id

        affected, row, last_id = await asyncio.to_thread(use)
        assert (affected, last_id) == (3, 17)
        assert row == TYPES_ROW


HANDSHAKE = struct.pack("<IIB23x", 0x0008A20D, 1 << 24, 45) + b"svc\0\0"


def frame(sequence: int, payload: bytes) -> bytes:
    return struct.pack("<I", len(payload) | sequence << 24) + payload


@pytest.mark.parametrize(
    "hostile",
    [
        b"",
        b"\x01",
        frame(1, b""),
        frame(1, b"\xff" * 31),
        frame(1, b"\xff" * 40),
        frame(1, HANDSHAKE[:36]),
        frame(7, HANDSHAKE),
        b"\xff\xff\xff\x01",
        frame(1, HANDSHAKE) + frame(0, b""),
        frame(1, HANDSHAKE) + frame(0, b"\x17\x01"),
        frame(1, HANDSHAKE) + frame(0, b"\x03\xff\xfe\xfd"),
        frame(1, HANDSHAKE) + frame(0, b"\x16SELECT ?") + frame(0, b"\x17\x01\0\0\0\0\1\0\0\0\0\1"),
        frame(1, HANDSHAKE) + frame(0, b"\x18\x01\0\0\0\0\0abc"),
        frame(1, HANDSHAKE) + frame(0, b"\x11\0"),
        frame(1, HANDSHAKE) + b"\xff\xff\xff\x00" + b"a" * 100,
        frame(1, HANDSHAKE) + frame(5, b"\x0e"),
        frame(1, HANDSHAKE) + frame(0, b"\x63"),
    ],
)
async def test_malformed_input_ends_in_an_error_or_a_close(
    hostile: bytes, caplog: pytest.LogCaptureFixture
) -> None:
    async with running_server() as (server, log):
        reader, writer = await asyncio.open_connection(*server.address)
        await reader.readexactly(4)
        writer.write(hostile)
        writer.write_eof()
        async with asyncio.timeout(5):
            await reader.read()
        writer.close()
        await wait_until(lambda: server.connections == 0)
        opened = sum(1 for entry in log if isinstance(entry, ConnectionInfo))
        assert opened == sum(1 for entry in log if entry == "closed")
        assert not [record for record in caplog.records if record.levelname == "ERROR"]
        assert set(event_counts(caplog)) <= {1192}


async def test_query_attributes_of_text_and_prepared_statements() -> None:
    with_attributes = struct.pack("<IIB23x", 0x0008A20D | 1 << 27, 1 << 24, 45) + b"svc\0\0"
    names = b"\xfd\0" + b"\x07request" + b"\x08\0" + b"\x05limit"
    values = b"\x02r1" + struct.pack("<q", -4)
    async with running_server() as (server, log):
        reader, writer = await asyncio.open_connection(*server.address)
        await read_packet(reader)
        writer.write(frame(1, with_attributes))
        assert (await read_packet(reader))[0] == 0x00
        writer.write(frame(0, b"\x03\x02\x01\0\x01" + names + values + b"UPDATE t"))
        assert (await read_packet(reader))[0] == 0x00
        assert log[-2:] == ["UPDATE t", {"request": "r1", "limit": -4}]
        writer.write(frame(0, b"\x16UPDATE t SET a = ?"))
        for _ in range(3):
            await read_packet(reader)
        head = b"\x17" + struct.pack("<IBI", 1, 8, 1)
        names = b"\xfd\0" + b"\0" + b"\xfd\0" + b"\x07request"
        writer.write(frame(0, head + b"\x02\0\x01" + names + b"\x01x" + b"\x02r2"))
        assert (await read_packet(reader))[0] == 0x00
        assert log[-2:] == ["UPDATE t SET a = 'x'", {"request": "r2"}]
        writer.close()


async def test_packets_out_of_order_are_logged(caplog: pytest.LogCaptureFixture) -> None:
    async with running_server() as (server, _):
        _, writer = await asyncio.open_connection(*server.address)
        writer.write(frame(7, HANDSHAKE))
        await wait_until(lambda: event_counts(caplog) == {1192: 1})
        writer.close()


def server_tls_context(directory: Path) -> ssl.SSLContext:
    """Return a server's TLS context with a self-signed certificate."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, "localhost")])
    begin = datetime(2026, 1, 1, tzinfo=UTC)
    signed = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(begin)
        .not_valid_after(begin + timedelta(days=36_500))
        .sign(key, hashes.SHA256())
    )
    private = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    file = directory / "server.pem"
    file.write_bytes(private + signed.public_bytes(serialization.Encoding.PEM))
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(file)
    return context


@pytest.mark.parametrize("loop_factory", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_tls_with_both_drivers_and_both_loops(loop_factory: Any, tmp_path: Path) -> None:
    async def use() -> None:
        context = server_tls_context(tmp_path)
        async with running_server(context, users={"svc": "secret"}) as (server, log):
            host, port = server.address
            client_context = ssl.create_default_context()
            client_context.check_hostname = False
            client_context.verify_mode = ssl.CERT_NONE
            for _ in range(20):
                connection = await connect(server, password="secret", ssl=client_context)
                await connection.query("SELECT types")
                assert tuple(connection._result.rows[0]) == TYPES_ROW
                connection.close()
            query = await asyncio.to_thread(pymysql_over_tls, host, port)
            assert query == TYPES_ROW
            plain = await connect(server, password="secret")
            await plain.query("UPDATE t")
            plain.close()
            connection = await connect(server, password="secret", ssl=client_context)
            waiting = asyncio.create_task(connection.query("SELECT wait"))
            await wait_until(lambda: "SELECT wait" in log)
            connection._transport.abort()
            await wait_until(lambda: server.connections == 0)
            assert "cancelled" in log
            await asyncio.gather(waiting, return_exceptions=True)

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(use())


def pymysql_over_tls(host: str, port: int) -> Any:
    connection = pymysql.connect(
        host=host, port=port, user="svc", password="secret", ssl={"verify_mode": False}
    )
    with connection.cursor() as cursor:
        cursor.execute("SELECT types")
        row = cursor.fetchone()
    connection.close()
    return row


async def read_packet(reader: asyncio.StreamReader) -> bytes:
    header = await reader.readexactly(4)
    return await reader.readexactly(header[0] | header[1] << 8 | header[2] << 16)


@pytest.mark.parametrize(("password", "first_byte"), [("secret", 0x00), ("wrong", 0xFF)])
async def test_client_with_another_auth_plugin_is_switched(password: str, first_byte: int) -> None:
    async with running_server(users={"svc": "secret"}) as (server, log):
        reader, writer = await asyncio.open_connection(*server.address)
        await read_packet(reader)
        capabilities = struct.pack("<IIB23x", 0x0008A200 | 1 << 19, 1 << 24, 45)
        writer.write(frame(1, capabilities + b"svc\0\x03abccaching_sha2_password\0"))
        request = await read_packet(reader)
        name, nonce = request[1:].split(b"\0")[:2]
        assert (request[0], name) == (0xFE, b"mysql_native_password")
        writer.write(frame(3, scramble_native_password(password.encode(), nonce)))
        assert (await read_packet(reader))[0] == first_byte
        opened = sum(1 for entry in log if isinstance(entry, ConnectionInfo))
        assert opened == (first_byte == 0x00)
        writer.close()


async def test_change_of_user_opens_a_new_session_or_ends_the_connection() -> None:
    async with running_server(users={"svc": "", "crowd": ""}) as (server, log):
        connection = await connect(server)
        await connection._execute_command(0x11, b"svc\0\0depot\0\x2d\0mysql_native_password\0")
        await connection._read_ok_packet()
        opened = [entry for entry in log if isinstance(entry, ConnectionInfo)]
        assert [entry.database for entry in opened] == ["", "depot"]
        await connection.query("UPDATE t")
        await connection._execute_command(0x11, b"nobody\0\0\0")
        with pytest.raises(asyncmy.errors.OperationalError) as failure:
            await connection._read_ok_packet()
        assert failure.value.args[0] == 1045
        await wait_until(lambda: server.connections == 0)
        assert sum(1 for entry in log if entry == "closed") == 2


@settings(max_examples=150, deadline=None)
@given(st.lists(st.binary(max_size=60), max_size=6), st.booleans())
def test_arbitrary_packets_cause_no_internal_error(payloads: list[bytes], handshake: bool) -> None:
    async def send() -> None:
        errors: list[Any] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        async with running_server() as (server, log):
            reader, writer = await asyncio.open_connection(*server.address)
            if handshake:
                writer.write(frame(1, HANDSHAKE))
            for sequence, payload in enumerate(payloads, 0 if handshake else 1):
                writer.write(frame(0 if handshake else sequence, payload))
            writer.write_eof()
            with contextlib.suppress(ConnectionResetError):
                async with asyncio.timeout(5):
                    await reader.read()
            writer.close()
            await wait_until(lambda: server.connections == 0)
            opened = sum(1 for entry in log if isinstance(entry, ConnectionInfo))
            assert opened == sum(1 for entry in log if entry == "closed")
        assert not errors

    asyncio.run(send())


class EchoSession(RecordingSession):
    """Returns rows with the statement itself, after several iterations of the event loop."""

    async def execute(self, sql: str, attributes: dict[str, Any]) -> OkResult | RowsResult:
        for _ in range(len(sql) % 4):
            await asyncio.sleep(0)
        return RowsResult((ColumnSpec("sql", VAR_STRING),), self.echo(sql))

    async def echo(self, sql: str) -> AsyncIterator[tuple[str]]:
        for _ in range(3):
            await asyncio.sleep(0)
            yield (sql,)


async def test_killed_queries_never_shift_responses() -> None:
    log: list[Any] = []
    server = MysqlServer(lambda: EchoSession(log), "127.0.0.1", 0)
    await server.start()
    connection = await connect(server)
    rng = random.Random(7)
    stopped = asyncio.Event()

    async def kill() -> None:
        while not stopped.is_set():
            for _ in range(rng.randrange(12)):
                await asyncio.sleep(0)
            server.kill(log[0].id, query_only=True)

    killer = asyncio.create_task(kill())
    outcomes = Counter[str]()
    for number in range(1_500):
        sql = f"SELECT {number} {'x' * rng.randrange(5)}"
        try:
            await connection.query(sql)
        except asyncmy.errors.MySQLError as error:
            assert error.args[0] == 1317
            outcomes["killed"] += 1
        else:
            assert connection._result.rows == ((sql,),) * 3
            outcomes["answered"] += 1
    stopped.set()
    await killer
    assert min(outcomes["killed"], outcomes["answered"]) > 100
    connection.close()
    await server.stop()
