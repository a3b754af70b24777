"""Probes of one database: whether it leads its group, its position and its status."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.statements import BEGIN, BEGIN_READ, ROLLBACK
from bramblebeam.core.identity import InstanceId, Position
from bramblebeam.core.tenants import NO_TENANT
from bramblebeam.core.verdict import Reason
from bramblebeam.services.gateway.placement import Placement
from bramblebeam.services.gateway.pooled import CLOCK_STEP, PooledConnection
from bramblebeam.services.gateway.ports import (
    Command,
    ConnectError,
    ConnectionLostError,
    MemberStatus,
)
from bramblebeam.services.waiting import loop_time

SECOND_PROBE_SHARE = 0.4
"""Part of the timeout after which a probe without a reply is repeated on another connection."""


class ProbeFailedError(Exception):
    """The database could not be queried, or did not reply in time.

    `is_gone`: nothing listens at its address, or another database does.
    """

    def __init__(self, detail: str, is_gone: bool = False) -> None:
        super().__init__(detail)
        self.is_gone = is_gone


class MemberAnswer(NamedTuple):
    """A database's reply to a probe (times: monotonic clock, seconds).

    `opened_at`: when the connection was opened. `queried_at`: when the probe was sent. `leads`: the
    database accepted a BEGIN that may write, or reports that it is the primary. `position`: that of
    the state it serves from. `status`: None if it was too busy to report it.
    """

    instance: InstanceId
    opened_at: float
    queried_at: float
    leads: bool
    position: Position
    status: MemberStatus | None = None


Probe = Callable[[PooledConnection, float, float], Awaitable[MemberAnswer | None]]
"""Probes a database: on a connection, from a time (monotonic clock), with a timeout (seconds)."""


class MemberProbes:
    """Probes databases on the connections of their pools."""

    def __init__(self, placement: Placement) -> None:
        self._placement = placement

    async def prove(self, instance: InstanceId, timeout: float) -> MemberAnswer | None:
        """Send a BEGIN that may write, which takes no slot.

        Returns None if the result is inconclusive. Raises ProbeFailedError.
        """
        return await self._run(instance, timeout, _begin)

    async def find(self, instance: InstanceId, timeout: float) -> MemberAnswer | None:
        """Send a BEGIN that may write; if the database accepts it, query its status too.

        Returns None if the result is inconclusive. Raises ProbeFailedError.
        """
        answer = await self.prove(instance, timeout)
        if answer is None or not answer.leads:
            return answer
        return await self.query_status(instance, timeout)

    async def query_position(self, instance: InstanceId, timeout: float) -> MemberAnswer | None:
        """Query a replica's position, by a read-only BEGIN.

        Returns None if the result is inconclusive. Raises ProbeFailedError.
        """
        return await self._run(instance, timeout, _query_position)

    async def query_status(self, instance: InstanceId, timeout: float) -> MemberAnswer | None:
        """Query the status, or send a BEGIN if the database is too busy for that.

        Returns None if the result is inconclusive. Raises ProbeFailedError.
        """
        return await self._run(instance, timeout, _query_status)

    async def reach(self, entry: DatabaseEntry, timeout: float) -> None:
        """Connect to a database that left the list, to see whether it has ended.

        Raises ProbeFailedError, with `is_gone` if nothing listens at its address.
        """
        try:
            connection = await self._placement.connector.connect(entry, NO_TENANT, timeout)
        except ConnectError as error:
            raise ProbeFailedError(str(error), error.is_gone) from error
        connection.close()

    async def _run(self, instance: InstanceId, timeout: float, probe: Probe) -> MemberAnswer | None:
        """Probe on a pooled connection; if its reply is late, repeat the probe on another one.

        A connection may be unresponsive although the database is healthy.
        """
        pooled = await self._acquire(instance, timeout)
        if pooled is None:
            return None
        is_fresh, queried_at = pooled.is_fresh, loop_time()
        first = asyncio.ensure_future(_run_on(pooled, timeout, probe))
        attempts = {first}
        try:
            await asyncio.wait(attempts, timeout=timeout * SECOND_PROBE_SHARE)
            if not first.done() and not is_fresh:
                pooled.pool.expire_connections(queried_at)
                remaining = timeout * (1 - SECOND_PROBE_SHARE)
                attempts.add(asyncio.ensure_future(self._repeat(instance, remaining, probe)))
            answer = await _first_success(attempts)
            if answer is not None and not first.done():
                pooled.pool.suspect_connections(queried_at)
            return answer
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def _repeat(
        self, instance: InstanceId, timeout: float, probe: Probe
    ) -> MemberAnswer | None:
        pooled = await self._acquire(instance, timeout)
        return None if pooled is None else await _run_on(pooled, timeout, probe)

    async def _acquire(self, instance: InstanceId, timeout: float) -> PooledConnection | None:
        """Return a connection, or None if all are in use at a healthy database."""
        pool = self._placement.pools.get(instance)
        if pool is None:
            raise ProbeFailedError("it is not registered")
        try:
            return await pool.acquire_any(timeout)
        except TimeoutError:
            if loop_time() - pool.received_at > timeout:
                pool.record_unresponsive()
                raise ProbeFailedError("no connection came in time") from None
        except ConnectError as error:
            if error.reason is not Reason.TOO_MANY_CONNECTIONS:
                raise ProbeFailedError(str(error), error.is_gone) from error
        return None


async def _run_on(pooled: PooledConnection, timeout: float, probe: Probe) -> MemberAnswer | None:
    """Probe on a connection, and release it."""
    queried_at = loop_time()
    try:
        answer = await probe(pooled, queried_at, timeout)
    except ConnectionLostError as error:
        if loop_time() - queried_at >= timeout - CLOCK_STEP:
            pooled.pool.record_unresponsive()
        raise ProbeFailedError(str(error)) from error
    finally:
        pooled.release()
    _record_received(pooled)
    return answer


async def _first_success(attempts: set[asyncio.Task[MemberAnswer | None]]) -> MemberAnswer | None:
    """Return the first reply; raise ProbeFailedError if every attempt failed."""
    pending = attempts
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for attempt in done:
            if attempt.exception() is None and attempt.result() is not None:
                return attempt.result()
        if not pending:
            return done.pop().result()


async def _begin(
    pooled: PooledConnection, queried_at: float, timeout: float
) -> MemberAnswer | None:
    begin, _ = await pooled.run_at_once([Command(BEGIN), Command(ROLLBACK)], timeout)
    refusal = begin.refusal
    if refusal is not None and refusal.reason is not Reason.STALE_TERM:
        return None
    return MemberAnswer(
        pooled.instance, pooled.opened_at, queried_at, refusal is None, begin.position
    )


async def _query_position(
    pooled: PooledConnection, queried_at: float, timeout: float
) -> MemberAnswer | None:
    begin, _ = await pooled.run_at_once([Command(BEGIN_READ), Command(ROLLBACK)], timeout)
    return MemberAnswer(pooled.instance, pooled.opened_at, queried_at, False, begin.position)


async def _query_status(
    pooled: PooledConnection, queried_at: float, timeout: float
) -> MemberAnswer | None:
    status = await pooled.query(lambda connection: connection.status(timeout))
    if status is None:
        return await _begin(pooled, queried_at, timeout)
    return MemberAnswer(
        pooled.instance, pooled.opened_at, queried_at, status.is_primary, status.received, status
    )


def _record_received(pooled: PooledConnection) -> None:
    pooled.pool.received_at = loop_time()
    pooled.pool.unresponsive_since = None
