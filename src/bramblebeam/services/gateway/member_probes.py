"""Questions to one database: does it lead its group, and what does it say of itself?"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from bramblebeam.core.gateway.statements import BEGIN, BEGIN_READ, ROLLBACK
from bramblebeam.core.identity import InstanceId, Position
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

SECOND_ASK_SHARE = 0.4
"""After this part of the time without an answer the question is put on another connection too."""


class ProbeFailedError(Exception):
    """The database could not be asked, or gave no answer in time.

    `is_gone`: nothing listens at its address, or another database does.
    """

    def __init__(self, detail: str, is_gone: bool = False) -> None:
        super().__init__(detail)
        self.is_gone = is_gone


class MemberAnswer(NamedTuple):
    """What a database answered, asked at `asked_at` on a connection that was open at `opened_at`.

    Times are seconds of the steady clock.

    `leads`: it took a BEGIN that may write, or says that it is the primary. `position`: of the
    state that it serves from. `status`: None where it was too busy to tell.
    """

    instance: InstanceId
    opened_at: float
    queried_at: float
    leads: bool
    position: Position
    status: MemberStatus | None = None


Question = Callable[[PooledConnection, float, float], Awaitable[MemberAnswer | None]]
"""Asks on a connection, at a time (steady clock), for so many seconds at most."""


class MemberProbes:
    """Asks databases on the connections of their pools."""

    def __init__(self, placement: Placement) -> None:
        self._placement = placement

    async def prove(self, instance: InstanceId, timeout: float) -> MemberAnswer | None:
        """Ask for a BEGIN, which takes no slot. None: no news. Raises ProbeFailedError."""
        return await self._ask(instance, timeout, _begin)

    async def find(self, instance: InstanceId, timeout: float) -> MemberAnswer | None:
        """Ask for a BEGIN, and one that takes it for its status too.

        None: no news. Raises ProbeFailedError.
        """
        answer = await self.prove(instance, timeout)
        if answer is None or not answer.leads:
            return answer
        return await self.query_status(instance, timeout)

    async def glance(self, instance: InstanceId, timeout: float) -> MemberAnswer | None:
        """Ask a replica how far it is. None: no news. Raises ProbeFailedError."""
        return await self._ask(instance, timeout, _glance)

    async def query_status(self, instance: InstanceId, timeout: float) -> MemberAnswer | None:
        """Ask for the status, or for a BEGIN where the database is too busy for that.

        None: no news. Raises ProbeFailedError.
        """
        return await self._ask(instance, timeout, _status)

    async def _ask(
        self, instance: InstanceId, timeout: float, question: Question
    ) -> MemberAnswer | None:
        """Ask on a pooled connection, and on another one too when that one is silent for long.

        A connection may be silent while the database is well.
        """
        lent = await self._lend(instance, timeout)
        if lent is None:
            return None
        is_fresh, asked_at = lent.is_fresh, loop_time()
        first = asyncio.ensure_future(_on(lent, timeout, question))
        attempts = {first}
        try:
            await asyncio.wait(attempts, timeout=timeout * SECOND_ASK_SHARE)
            if not first.done() and not is_fresh:
                lent.pool.expire_connections(asked_at)
                rest = timeout * (1 - SECOND_ASK_SHARE)
                attempts.add(asyncio.ensure_future(self._again(instance, rest, question)))
            answer = await _first_success(attempts)
            if answer is not None and not first.done():
                lent.pool.suspect_connections(asked_at)
            return answer
        finally:
            for attempt in attempts:
                attempt.cancel()

    async def _again(
        self, instance: InstanceId, timeout: float, question: Question
    ) -> MemberAnswer | None:
        lent = await self._lend(instance, timeout)
        return None if lent is None else await _on(lent, timeout, question)

    async def _lend(self, instance: InstanceId, timeout: float) -> PooledConnection | None:
        """Return a connection, or None where all are in use at a database that is well."""
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


async def _on(lent: PooledConnection, timeout: float, question: Question) -> MemberAnswer | None:
    """Ask on a lent connection, and give it back."""
    asked_at = loop_time()
    try:
        answer = await question(lent, asked_at, timeout)
    except ConnectionLostError as error:
        if loop_time() - asked_at >= timeout - CLOCK_STEP:
            lent.pool.record_unresponsive()
        raise ProbeFailedError(str(error)) from error
    finally:
        lent.release()
    _heard(lent)
    return answer


async def _first_success(attempts: set[asyncio.Task[MemberAnswer | None]]) -> MemberAnswer | None:
    """Return the first answer; raise ProbeFailedError where every attempt was in vain."""
    pending = attempts
    while True:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for attempt in done:
            if attempt.exception() is None and attempt.result() is not None:
                return attempt.result()
        if not pending:
            return done.pop().result()


async def _begin(lent: PooledConnection, asked_at: float, timeout: float) -> MemberAnswer | None:
    begin, _ = await lent.run_at_once([Command(BEGIN), Command(ROLLBACK)], timeout)
    refusal = begin.refusal
    if refusal is not None and refusal.reason is not Reason.STALE_TERM:
        return None
    return MemberAnswer(lent.instance, lent.opened_at, asked_at, refusal is None, begin.position)


async def _glance(lent: PooledConnection, asked_at: float, timeout: float) -> MemberAnswer | None:
    begin, _ = await lent.run_at_once([Command(BEGIN_READ), Command(ROLLBACK)], timeout)
    return MemberAnswer(lent.instance, lent.opened_at, asked_at, False, begin.position)


async def _status(lent: PooledConnection, asked_at: float, timeout: float) -> MemberAnswer | None:
    status = await lent.query(lambda connection: connection.status(timeout))
    if status is None:
        return await _begin(lent, asked_at, timeout)
    return MemberAnswer(
        lent.instance, lent.opened_at, asked_at, status.is_primary, status.received, status
    )


def _heard(lent: PooledConnection) -> None:
    lent.pool.received_at = loop_time()
    lent.pool.unresponsive_since = None
