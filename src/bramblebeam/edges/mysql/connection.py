"""A client connection: the handshake, then one command after another."""

import asyncio
import logging
import ssl
from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Any

from mysql_mimic import packets
from mysql_mimic.types import Commands

from bramblebeam.edges.mysql import handshake
from bramblebeam.edges.mysql.answers import ResponseWriter
from bramblebeam.edges.mysql.parameters import read_parameters
from bramblebeam.edges.mysql.prepared import PreparedStatements, prepare_ok
from bramblebeam.edges.mysql.reader import MalformedPacketError, PacketReader
from bramblebeam.edges.mysql.results import CallerError, ConnectionInfo, OkResult
from bramblebeam.edges.mysql.session import SERVER_SHUTDOWN, CallerSession
from bramblebeam.edges.mysql.stream import (
    MAX_COMMAND_PACKET_BYTES,
    PACKET_TOO_LARGE,
    PACKETS_OUT_OF_ORDER,
    PacketStream,
    StreamClosedError,
)
from bramblebeam.events.catalogue import (
    CALLER_DENIED,
    CALLER_PROTOCOL_ERROR,
    STATEMENT_FAILED_INTERNALLY,
)
from bramblebeam.events.log import log_event

logger = logging.getLogger(__name__)

HANDSHAKE_TIMEOUT_SECONDS = 10.0

ACCESS_DENIED = 1045
UNKNOWN_COMMAND = 1047
UNKNOWN_ERROR = 1105
INTERRUPTED = 1317
MALFORMED_PACKET = 1835


class Interruption(Enum):
    """Why a running statement is interrupted."""

    QUERY_KILLED = 1
    CONNECTION_KILLED = 2
    CLIENT_LOST = 3
    SERVER_STOPPED = 4


class CommandState(Enum):
    """How far the connection is with its present command."""

    NONE = 1
    """No command was received, or the connection is in its handshake."""
    RUNNING = 2
    """A command was received and has no complete response yet."""
    ANSWERED = 3
    """The response is complete and is being sent."""


class CallerConnection:
    """Serves one client with one session. A single task runs it."""

    __slots__ = (
        "_accounts",
        "_capabilities",
        "_codec",
        "_command",
        "_interruptible",
        "_interruption",
        "_nonce",
        "_responses",
        "_session",
        "_session_opened",
        "_statements",
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
        self._responses = ResponseWriter(stream)
        self._statements: PreparedStatements | None = None
        self._session_opened = False
        self._command = CommandState.NONE
        self._interruptible = False
        self._interruption: Interruption | None = None
        self._task: asyncio.Task[Any] | None = None

    # Lifecycle

    async def run(self) -> None:
        """Serve the client until it disconnects. The session and the stream are always closed."""
        self._task = asyncio.current_task()
        self._stream.on_lost = self._client_lost
        try:
            await self._serve()
        except ssl.SSLError as error:
            self._log_protocol_error(error)
        except (StreamClosedError, OSError):
            pass
        except CallerError as error:
            self._responses.error(error)
            if error.code in (PACKET_TOO_LARGE, PACKETS_OUT_OF_ORDER):
                self._log_protocol_error(error)
        except MalformedPacketError as error:
            self._responses.error(CallerError(MALFORMED_PACKET, "HY000", str(error)))
            self._log_protocol_error(error)
        except asyncio.CancelledError:
            if self._interruption is None:
                raise
            self._write_shutdown_error()
        finally:
            self._interruptible = False
            self._stream.close()
            if self._session_opened:
                await self._session.closed()

    async def _serve(self) -> None:
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_SECONDS):
                await self._perform_handshake()
        except TimeoutError:
            return
        self._stream.maximum_packet = MAX_COMMAND_PACKET_BYTES
        self._stream.exact_reads = False
        while True:
            self._command = CommandState.NONE
            self._stream.reset_sequence()
            packet = await self._stream.read()
            if packet[:1] == _QUIT:
                return
            self._command = CommandState.RUNNING
            await self._run_command(packet)
            self._session.answered()

    @property
    def has_unsent(self) -> bool:
        """Whether a part of a response is still in this process."""
        return self._stream.has_unsent

    def interrupt(self, interruption: Interruption) -> None:
        """Cancel the running command. Anything but a killed query also ends the connection."""
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

    def _log_protocol_error(self, error: Exception) -> None:
        log_event(logger, CALLER_PROTOCOL_ERROR, remote=self._stream.remote(), error=error)

    def _write_shutdown_error(self) -> None:
        if self._interruption is Interruption.CONNECTION_KILLED:
            self._responses.error(CallerError(SERVER_SHUTDOWN, "08S01", "Connection was killed"))
        if self._interruption is Interruption.SERVER_STOPPED:
            self._write_stop_error()

    def _write_stop_error(self) -> None:
        """Write the session's error, unless the client has its complete response.

        A command that was received and not begun gets it as its response.
        """
        if self._command is CommandState.ANSWERED:
            return
        if self._command is CommandState.NONE:
            self._stream.skip_packet()
        self._responses.error(self._session.stopped())

    # Connection phase

    async def _perform_handshake(self) -> None:
        stream = self._stream
        self._nonce = handshake.new_nonce()
        stream.write(handshake.greeting(self.id, self._nonce, self._tls is not None))
        await stream.drain()
        packet = await stream.read()
        self._capabilities, self._codec = handshake.read_capabilities(packet)
        if self._capabilities & handshake.CLIENT_SSL and self._tls is not None:
            await stream.start_tls(self._tls)
            packet = await stream.read()
            self._capabilities, self._codec = handshake.read_capabilities(packet)
        self._responses.capabilities = self._capabilities
        credentials = handshake.read_credentials(packet, self._capabilities, self._codec)
        await self._authenticate(credentials)

    async def _authenticate(self, credentials: handshake.Credentials) -> None:
        """Check the password, open the session and send OK. Raises CallerError."""
        stream = self._stream
        scramble = credentials.scramble
        if credentials.plugin not in ("", handshake.PLUGIN_NAME):
            stream.write(handshake.auth_switch_request(self._nonce))
            await stream.drain()
            scramble = await stream.read()
        if not self._accounts.verify(credentials.user, scramble, self._nonce):
            log_event(logger, CALLER_DENIED, user=credentials.user, remote=stream.remote())
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
        self._responses.ok(OkResult())
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
            self._responses.error(error)
        except MalformedPacketError as error:
            self._responses.error(CallerError(MALFORMED_PACKET, "HY000", str(error)))
        except asyncio.CancelledError:
            if self._interruption is not Interruption.QUERY_KILLED or self._task is None:
                raise
            self._responses.error(
                CallerError(INTERRUPTED, "70100", "Query execution was interrupted")
            )
        except (StreamClosedError, OSError):
            raise
        except Exception as error:
            log_event(logger, STATEMENT_FAILED_INTERNALLY, error=f"{type(error).__name__}: {error}")
            self._responses.error(CallerError(UNKNOWN_ERROR, "HY000", "Internal error"))
        finally:
            self._interruptible = False
        self._command = CommandState.ANSWERED
        self._finish_interruption()
        await self._stream.drain()

    def _finish_interruption(self) -> None:
        """Handle an interruption after the session has already produced a response.

        A killed query leaves the connection open; any other interruption closes it.
        """
        if self._interruption is None or self._task is None:
            return
        self._task.uncancel()
        if self._interruption is Interruption.QUERY_KILLED:
            self._interruption = None
            return
        self._write_shutdown_error()
        raise StreamClosedError

    async def _query(self, packet: bytes) -> None:
        attributes: dict[str, Any] = {}
        if self._capabilities & handshake.CLIENT_QUERY_ATTRIBUTES:
            reader = PacketReader(packet)
            reader.integer(1)
            count = reader.length_encoded_integer()
            reader.length_encoded_integer()
            attributes = dict(read_parameters(reader, count, self._codec, True, None))
            body = reader.rest()
        else:
            body = packet[1:]
        sql = handshake.decode_text(body, self._codec)
        result = await self._session.execute(sql, attributes)
        await self._responses.result(result, binary=False)

    async def _prepare(self, packet: bytes) -> None:
        statement = self._prepared_statements().prepare(
            handshake.decode_text(packet[1:], self._codec)
        )
        self._stream.write(prepare_ok(statement))
        for _ in range(statement.parameter_count):
            self._stream.write(_PARAMETER_DEFINITION)
        if statement.parameter_count:
            self._responses.end_column_definitions()

    async def _execute(self, packet: bytes) -> None:
        named = bool(self._capabilities & handshake.CLIENT_QUERY_ATTRIBUTES)
        sql, attributes = self._prepared_statements().bind(packet, self._codec, named)
        result = await self._session.execute(sql, attributes)
        await self._responses.result(result, binary=True)

    async def _long_data(self, packet: bytes) -> None:
        if not self._prepared_statements().add_long_data(packet):
            raise StreamClosedError

    async def _statement_reset(self, packet: bytes) -> None:
        self._prepared_statements().reset(packet)
        self._responses.acknowledge()

    async def _statement_close(self, packet: bytes) -> None:
        self._prepared_statements().close(packet)

    def _prepared_statements(self) -> PreparedStatements:
        if self._statements is None:
            self._statements = PreparedStatements()
        return self._statements

    async def _ping(self, packet: bytes) -> None:
        self._responses.acknowledge()

    async def _use(self, packet: bytes) -> None:
        await self._session.use(handshake.decode_text(packet[1:], self._codec))
        self._responses.acknowledge()

    async def _reset(self, packet: bytes) -> None:
        await self._session.reset()
        self._statements = None
        self._responses.reset_status()
        self._responses.acknowledge()

    async def _kill(self, packet: bytes) -> None:
        connection_id = PacketReader(packet, 1).integer(4)
        result = await self._session.execute(f"KILL {connection_id}", {})
        await self._responses.result(result, binary=False)

    async def _change_user(self, packet: bytes) -> None:
        credentials = handshake.read_change_user(packet[1:], self._capabilities, self._codec)
        self._session_opened = False
        await self._session.closed()
        self._statements = None
        self._responses.reset_status()
        try:
            await self._authenticate(credentials)
        except CallerError as error:
            self._responses.error(error)
            await self._stream.drain()
            raise StreamClosedError from error


Handler = Callable[[CallerConnection, bytes], Awaitable[None]]


def _command_byte(command: Commands) -> bytes:
    return int(command).to_bytes(1, "little")


_QUIT = _command_byte(Commands.COM_QUIT)
_HANDLERS: dict[bytes, Handler] = {
    _command_byte(Commands.COM_QUERY): CallerConnection._query,
    _command_byte(Commands.COM_STMT_PREPARE): CallerConnection._prepare,
    _command_byte(Commands.COM_STMT_EXECUTE): CallerConnection._execute,
    _command_byte(Commands.COM_STMT_SEND_LONG_DATA): CallerConnection._long_data,
    _command_byte(Commands.COM_STMT_RESET): CallerConnection._statement_reset,
    _command_byte(Commands.COM_STMT_CLOSE): CallerConnection._statement_close,
    _command_byte(Commands.COM_PING): CallerConnection._ping,
    _command_byte(Commands.COM_INIT_DB): CallerConnection._use,
    _command_byte(Commands.COM_RESET_CONNECTION): CallerConnection._reset,
    _command_byte(Commands.COM_PROCESS_KILL): CallerConnection._kill,
    _command_byte(Commands.COM_CHANGE_USER): CallerConnection._change_user,
}
_PARAMETER_DEFINITION: bytes = packets.make_column_definition_41(
    server_charset=packets.CharacterSet.utf8mb4, name="?"
)
