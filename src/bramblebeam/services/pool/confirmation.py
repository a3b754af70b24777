"""Obtains majority-confirmed positions from the primary; concurrent requests share a round."""

from __future__ import annotations

import asyncio

from expression import Error, Ok, Result

from bramblebeam.core.identity import InstanceSpec, Position
from bramblebeam.core.pool.admission import not_run
from bramblebeam.core.verdict import Reason, Refusal
from bramblebeam.edges.backend import BackendConnection, BackendError, ConnectError, StatementError
from bramblebeam.settings.model import BackendSettings

ROUND_TIMEOUT = 2.0
RETRY_MS = 100

Confirmed = Result[Position, Refusal]


class PositionConfirmer:
    """Runs confirmation rounds one at a time, on a control connection of its own.

    A request that arrives during a round waits for the next one: a round's result is valid only
    for requests made before the round began.
    """

    def __init__(self, spec: InstanceSpec, settings: BackendSettings) -> None:
        self._spec = spec
        self._settings = settings
        self._connection: BackendConnection | None = None
        self._next: asyncio.Future[Confirmed] | None = None
        self._runner: asyncio.Task[None] | None = None

    async def confirm(self) -> Confirmed:
        """Return a position confirmed in a round that begins after this call, or a refusal."""
        if self._next is None:
            self._next = asyncio.get_running_loop().create_future()
        answer = self._next
        if self._runner is None or self._runner.done():
            self._runner = asyncio.ensure_future(self._run_rounds())
        return await asyncio.shield(answer)

    def close(self) -> None:
        """Close the connection and cancel the round in progress."""
        if self._runner is not None:
            self._runner.cancel()
        self._disconnect()

    async def _run_rounds(self) -> None:
        while self._next is not None:
            answer, self._next = self._next, None
            try:
                answer.set_result(await self._round())
            except BaseException:
                answer.cancel()
                raise

    async def _round(self) -> Confirmed:
        try:
            async with asyncio.timeout(ROUND_TIMEOUT):
                connection = await self._get_connection()
                result = await connection.execute("CALL bramblebeam.confirm()")
        except TimeoutError:
            self._disconnect()
            return Error(
                not_run(Reason.UNREACHABLE, "no majority confirmed the position in time", RETRY_MS)
            )
        except StatementError as error:
            return Error(not_run(Reason.NO_PRIMARY, error.message, RETRY_MS))
        except (ConnectError, BackendError) as error:
            self._disconnect()
            return Error(not_run(Reason.UNREACHABLE, str(error), RETRY_MS))
        term, offset = result.rows[0][:2]
        return Ok(Position(int(term), int(offset)))

    async def _get_connection(self) -> BackendConnection:
        if self._connection is None or self._connection.broken:
            self._connection = await BackendConnection.connect(
                self._spec.address,
                self._settings.control_user,
                self._settings.control_password,
                "bramblebeam-confirm",
                ROUND_TIMEOUT,
            )
        return self._connection

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
