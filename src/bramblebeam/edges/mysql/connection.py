"""One caller's connection: the handshake, then one command after the other."""

import asyncio
import logging
import ssl
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from enum import Enum
from typing import Any

from mysql_mimic import packets
from mysql_mimic.types import Commands, uint_len
from mysql_mimic.utils import nonce as make_nonce

from bramblebeam.edges.mysql import handshake
from bramblebeam.edges.mysql.parameters import (
    PreparedStatement,
    read_parameters,
    split_at_placeholders,
)
from bramblebeam.edges.mysql.reader import MalformedPacketError, PacketReader
from bramblebeam.edges.mysql.results import CallerError, ConnectionInfo, OkResult, RowsResult
from bramblebeam.edges.mysql.rows import binary_encoders, binary_row, column_definition, text_row
from bramblebeam.edges.mysql.session import CallerSession
from bramblebeam.edges.mysql.stream import COMMAND_PACKET_BYTES, PacketStream, StreamClosedError
from bramblebeam.events.catalogue import STATEMENT_FAILED_INSIDE
from bramblebeam.events.log import log_event

logger = logging.getLogger(__name__)

HANDSHAKE_SECONDS = 10.0
NONCE_BYTES = 20
MAXIMUM_PREPARED_STATEMENTS = 16_382
MAXIMUM_LONG_DATA_BYTES = 16 * 1024 * 1024
ROWS_BETWEEN_YIELDS = 2_000

STATUS_IN_TRANSACTION = 0x0001
STATUS_AUTOCOMMIT = 0x0002
OK_HEADER = b"\x00"
END_HEADER = b"\xfe"

ACCESS_DENIED = 1045
UNKNOWN_COMMAND = 1047
UNKNOWN_ERROR = 1105
UNKNOWN_STATEMENT = 1243
INTERRUPTED = 1317
TOO_MANY_STATEMENTS = 1461
MALFORMED_PACKET = 1835

_status = struct.Struct("<HH")
_EXECUTE_HEAD = struct.Struct("<xIxxxxx")
"""Command, statement id, flags and a count that is always 1."""

RowEncoder = Callable[[Sequence[Any]], bytes]


class Interruption(Enum):
    """Why a running statement is to end."""

    QUERY_KILLED = 1
    CONNECTION_KILLED = 2
    CLIENT_LOST = 3
    SERVER_STOPPED = 4


class CallerConnection:
    """Speaks the protocol with one client on behalf of one session. One task runs it."""

    __slots__ = (
        "_accounts",
        "_capabilities",
        "_codec",
        "_interruptible",
        "_interruption",
        "_next_statement",
        "_nonce",
        "_session",
        "_session_opened",
        "_statements",
        "_status",
        "_stream",
        "_task",
        "_tls",
        "id",
    )

    def __init__(
        self,
        connection_id: int,
        stream: PacketStream,
        session: CallerSession,
        accounts: handshake.Accounts,
        tls: ssl.SSLContext | None,
    ) -> None:
        self.id = connection_id
        self._stream = stream
        self._session = session
        self._accounts = accounts
        self._tls = tls
        self._capabilities = 0
        self._codec = "utf-8"
        self._nonce = b""
        self._status = STATUS_AUTOCOMMIT
        self._statements: dict[int, PreparedStatement] | None = None
        self._next_statement = 1
        self._session_opened = False
        self._interruptible = False
        self._interruption: Interruption | None = None
        self._task: asyncio.Task[Any] | None = None

    # Life of the connection

    async def run(self) -> None:
        """Serve the client until it goes. Closes the session and the stream in every case."""
        self._task = asyncio.current_task()
        self._stream.on_lost = self._client_lost
        try:
            await self._serve()
        except (StreamClosedError, OSError, ssl.SSLError):
            pass
        except CallerError as error:
            self._write_error(error)
        except MalformedPacketError as error:
            self._write_error(CallerError(MALFORMED_PACKET, "HY000", str(error)))
        except asyncio.CancelledError:
            if self._interruption is None:
                raise
            self._write_farewell()
        finally:
            self._interruptible = False
            self._stream.close()
            if self._session_opened:
                await self._session.closed()

    async def _serve(self) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_SECONDS):
                await self._shake_hands()
        except TimeoutError:
            return
        self._stream.maximum_packet = COMMAND_PACKET_BYTES
        self._stream.exact = False
        while True:
            self._stream.reset_sequence()
            packet = await self._stream.read()
            if packet[:1] == _QUIT:
                return
            await self._run_command(packet)

    def interrupt(self, interruption: Interruption) -> None:
        """End what runs; a killed query leaves the connection as it is, everything else ends it."""
        if self._task is None or self._task.done():
            return
        if interruption is Interruption.QUERY_KILLED and not self._interruptible:
            return
        if self._interruption in (None, Interruption.QUERY_KILLED):
            self._interruption = interruption
            self._task.cancel()

    def _client_lost(self) -> None:
        if self._interruptible:
            self.interrupt(Interruption.CLIENT_LOST)

    def _write_farewell(self) -> None:
        if self._interruption in (Interruption.CONNECTION_KILLED, Interruption.SERVER_STOPPED):
            text = "Connection was killed"
            if self._interruption is Interruption.SERVER_STOPPED:
                text = "Server shutdown in progress"
            self._write_error(CallerError(1053, "08S01", text))

    # Connection phase

    async def _shake_hands(self) -> None:
        stream = self._stream
        self._nonce = make_nonce(NONCE_BYTES)
        stream.write(handshake.greeting(self.id, self._nonce, self._tls is not None))
        await stream.drain()
        packet = await stream.read()
        self._capabilities, self._codec = handshake.read_capabilities(packet)
        if self._capabilities & handshake.CLIENT_SSL and self._tls is not None:
            await stream.start_tls(self._tls)
            packet = await stream.read()
            self._capabilities, self._codec = handshake.read_capabilities(packet)
        credentials = handshake.read_credentials(packet, self._capabilities, self._codec)
        await self._admit(credentials)

    async def _admit(self, credentials: handshake.Credentials) -> None:
        """Check the password, open the session, say OK. Raises CallerError."""
        stream = self._stream
        scramble = credentials.scramble
        if credentials.plugin not in ("", handshake.PLUGIN_NAME):
            stream.write(handshake.auth_switch_request(self._nonce))
            await stream.drain()
            scramble = await stream.read()
        if not self._accounts.admit(credentials.user, scramble, self._nonce):
            text = f"Access denied for user '{credentials.user}'"
            raise CallerError(ACCESS_DENIED, "28000", text)
        info = ConnectionInfo(
            id=self.id,
            user=credentials.user,
            database=credentials.database,
            attributes=credentials.attributes,
            remote=stream.remote(),
        )
        self._session_opened = True
        await self._session.opened(info)
        self._write_ok(OkResult())
        await stream.drain()

    # Command phase

    async def _run_command(self, packet: bytes) -> None:
        try:
            self._interruptible = True
            if self._stream.closed:
                raise StreamClosedError
            handler = _HANDLERS.get(packet[:1])
            if handler is None:
                raise CallerError(UNKNOWN_COMMAND, "08S01", "Unknown command")
            await handler(self, packet)
        except CallerError as error:
            self._write_error(error)
        except MalformedPacketError as error:
            self._write_error(CallerError(MALFORMED_PACKET, "HY000", str(error)))
        except asyncio.CancelledError:
            if self._interruption is not Interruption.QUERY_KILLED or self._task is None:
                raise
            self._write_error(CallerError(INTERRUPTED, "70100", "Query execution was interrupted"))
        except (StreamClosedError, OSError):
            raise
        except Exception as error:
            log_event(logger, STATEMENT_FAILED_INSIDE, error=f"{type(error).__name__}: {error}")
            self._write_error(CallerError(UNKNOWN_ERROR, "HY000", "Internal error"))
        finally:
            self._interruptible = False
        self._settle_interruption()
        await self._stream.drain()

    def _settle_interruption(self) -> None:
        """Take note of an interruption that the session turned into an answer of its own."""
        if self._interruption is None or self._task is None:
            return
        self._task.uncancel()
        if self._interruption is Interruption.QUERY_KILLED:
            self._interruption = None
            return
        self._write_farewell()
        raise StreamClosedError

    async def _query(self, packet: bytes) -> None:
        attributes: dict[str, Any] = {}
        if self._capabilities & handshake.CLIENT_QUERY_ATTRIBUTES:
            reader = PacketReader(packet)
            reader.integer(1)
            count = reader.length()
            reader.length()
            attributes = dict(read_parameters(reader, count, self._codec, True, None))
            body = reader.rest()
        else:
            body = packet[1:]
        sql = handshake.decode(body, self._codec)
        await self._answer(await self._session.execute(sql, attributes), binary=False)

    async def _prepare(self, packet: bytes) -> None:
        if self._statements is None:
            self._statements = {}
        if len(self._statements) >= MAXIMUM_PREPARED_STATEMENTS:
            raise CallerError(TOO_MANY_STATEMENTS, "42000", "Too many prepared statements")
        parts = split_at_placeholders(handshake.decode(packet[1:], self._codec))
        statement = PreparedStatement(self._next_statement, parts)
        count = statement.parameter_count
        if count > 65_535:
            raise CallerError(1390, "HY000", "Prepared statement contains too many placeholders")
        self._next_statement += 1
        self._statements[statement.id] = statement
        head = struct.pack("<BIHHBH", 0, statement.id, 0, count, 0, 0)
        self._stream.write(head)
        for _ in range(count):
            self._stream.write(_PARAMETER_DEFINITION)
        if count and not self._capabilities & handshake.CLIENT_DEPRECATE_EOF:
            self._write_end()

    async def _execute(self, packet: bytes) -> None:
        if len(packet) < _EXECUTE_HEAD.size:
            raise MalformedPacketError("packet is too short")
        (statement_id,) = _EXECUTE_HEAD.unpack_from(packet)
        statement = self._statement(statement_id)
        reader = PacketReader(packet, _EXECUTE_HEAD.size)
        count = statement.parameter_count
        named = bool(self._capabilities & handshake.CLIENT_QUERY_ATTRIBUTES)
        total = reader.length() if named and reader.remaining else count
        if total < count:
            raise MalformedPacketError("parameters are missing")
        values = read_parameters(reader, total, self._codec, named, statement)
        statement.long_data.clear()
        sql = statement.text([value for _, value in values[:count]])
        attributes = dict(values[count:])
        await self._answer(await self._session.execute(sql, attributes), binary=True)

    async def _long_data(self, packet: bytes) -> None:
        reader = PacketReader(packet)
        reader.integer(1)
        statement = (self._statements or {}).get(reader.integer(4))
        index = reader.integer(2)
        if statement is None or index >= statement.parameter_count:
            return  # This command has no answer; the execution of the statement will fail.
        data = statement.long_data.setdefault(index, bytearray())
        data += reader.rest()
        if len(data) > MAXIMUM_LONG_DATA_BYTES:
            raise StreamClosedError

    async def _statement_reset(self, packet: bytes) -> None:
        reader = PacketReader(packet)
        reader.integer(1)
        self._statement(reader.integer(4)).long_data.clear()
        self._write_ok(OkResult(in_transaction=bool(self._status & STATUS_IN_TRANSACTION)))

    async def _statement_close(self, packet: bytes) -> None:
        if self._statements is not None:
            self._statements.pop(int.from_bytes(packet[1:5], "little"), None)

    def _statement(self, statement_id: int) -> PreparedStatement:
        statement = (self._statements or {}).get(statement_id)
        if statement is None:
            raise CallerError(UNKNOWN_STATEMENT, "HY000", "Unknown prepared statement")
        return statement

    async def _ping(self, packet: bytes) -> None:
        self._write_ok_again()

    async def _use(self, packet: bytes) -> None:
        await self._session.use(handshake.decode(packet[1:], self._codec))
        self._write_ok_again()

    async def _reset(self, packet: bytes) -> None:
        await self._session.reset()
        self._statements = None
        self._status = STATUS_AUTOCOMMIT
        self._write_ok_again()

    async def _kill(self, packet: bytes) -> None:
        reader = PacketReader(packet)
        reader.integer(1)
        await self._answer(await self._session.execute(f"KILL {reader.integer(4)}", {}), False)

    async def _change_user(self, packet: bytes) -> None:
        credentials = handshake.read_change_user(packet[1:], self._capabilities, self._codec)
        self._session_opened = False
        await self._session.closed()
        self._statements = None
        self._status = STATUS_AUTOCOMMIT
        try:
            await self._admit(credentials)
        except CallerError as error:
            self._write_error(error)
            await self._stream.drain()
            raise StreamClosedError from error

    # Answers

    async def _answer(self, result: OkResult | RowsResult, binary: bool) -> None:
        if isinstance(result, OkResult):
            self._write_ok(result)
            return
        self._set_status(result.in_transaction, result.autocommit)
        self._write_columns(result)
        encoder: RowEncoder = text_row
        if binary:
            encoders = binary_encoders(result.columns)

            def encoder(row: Sequence[Any]) -> bytes:
                return binary_row(row, encoders)

        await self._write_rows(result, encoder)
        self._write_end()

    def _write_columns(self, result: RowsResult) -> None:
        self._stream.write(uint_len(len(result.columns)))
        for column in result.columns:
            self._stream.write(column_definition(column))
        if not self._capabilities & handshake.CLIENT_DEPRECATE_EOF:
            self._write_end()

    async def _write_rows(self, result: RowsResult, encoder: RowEncoder) -> None:
        stream = self._stream
        try:
            if isinstance(result.rows, AsyncIterator):
                async for row in result.rows:
                    stream.write(encoder(row))
                    if stream.output_full:
                        await stream.drain()
                return
            for count, row in enumerate(result.rows, 1):
                stream.write(encoder(row))
                if stream.output_full:
                    await stream.drain()
                if count % ROWS_BETWEEN_YIELDS == 0:
                    await asyncio.sleep(0)
        except (struct.error, AttributeError, TypeError, ValueError) as error:
            raise CallerError(1366, "HY000", f"A value does not fit its column: {error}") from error
        finally:
            close = getattr(result.rows, "aclose", None)
            if close is not None:
                await _finish(close())

    def _set_status(self, in_transaction: bool, autocommit: bool) -> None:
        self._status = (STATUS_IN_TRANSACTION if in_transaction else 0) | (
            STATUS_AUTOCOMMIT if autocommit else 0
        )

    def _write_ok(self, result: OkResult) -> None:
        self._set_status(result.in_transaction, result.autocommit)
        self._stream.write(
            OK_HEADER
            + uint_len(result.affected_rows)
            + uint_len(result.last_insert_id)
            + _status.pack(self._status, 0)
            + result.info.encode()
        )

    def _write_ok_again(self) -> None:
        """Say OK with the status of the last answer."""
        self._stream.write(OK_HEADER + b"\x00\x00" + _status.pack(self._status, 0))

    def _write_end(self) -> None:
        """End the column definitions or the rows."""
        if self._capabilities & handshake.CLIENT_DEPRECATE_EOF:
            self._stream.write(END_HEADER + b"\x00\x00" + _status.pack(self._status, 0))
        else:
            self._stream.write(END_HEADER + struct.pack("<HH", 0, self._status))

    def _write_error(self, error: CallerError) -> None:
        state = error.sqlstate.encode()[:5].ljust(5, b"0")
        code = error.code.to_bytes(2, "little")
        self._stream.write(b"\xff" + code + b"#" + state + error.message.encode())


async def _finish(closing: Awaitable[Any]) -> None:
    """Close an iterator of rows; that it fails while it ends is no concern of the client's."""
    try:
        await closing
    except (CallerError, RuntimeError):
        logger.debug("a result's source failed while it was closed", exc_info=True)


Handler = Callable[[CallerConnection, bytes], Awaitable[None]]


def _byte(command: Commands) -> bytes:
    return int(command).to_bytes(1, "little")


_QUIT = _byte(Commands.COM_QUIT)
_HANDLERS: dict[bytes, Handler] = {
    _byte(Commands.COM_QUERY): CallerConnection._query,
    _byte(Commands.COM_STMT_PREPARE): CallerConnection._prepare,
    _byte(Commands.COM_STMT_EXECUTE): CallerConnection._execute,
    _byte(Commands.COM_STMT_SEND_LONG_DATA): CallerConnection._long_data,
    _byte(Commands.COM_STMT_RESET): CallerConnection._statement_reset,
    _byte(Commands.COM_STMT_CLOSE): CallerConnection._statement_close,
    _byte(Commands.COM_PING): CallerConnection._ping,
    _byte(Commands.COM_INIT_DB): CallerConnection._use,
    _byte(Commands.COM_RESET_CONNECTION): CallerConnection._reset,
    _byte(Commands.COM_PROCESS_KILL): CallerConnection._kill,
    _byte(Commands.COM_CHANGE_USER): CallerConnection._change_user,
}
_PARAMETER_DEFINITION: bytes = packets.make_column_definition_41(
    server_charset=packets.CharacterSet.utf8mb4, name="?"
)
