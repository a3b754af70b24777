"""Questions to one database: does it lead its group, and what does it say of itself?"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from bramblebeam.core.gateway.state import NO_STATE
from bramblebeam.core.gateway.statements import BEGIN, BEGIN_READ, ROLLBACK
from bramblebeam.core.identity import InstanceId, Position
from bramblebeam.core.verdict import Reason
from bramblebeam.services.gateway.placement import Placement
from bramblebeam.services.gateway.pool import PooledConnection
from bramblebeam.services.gateway.ports import (
    Command,
    ConnectError,
    ConnectionLostError,
    MemberStatus,
)


class ProbeFailedError(Exception):
    """The database could not be asked, or gave no answer in time."""


class MemberAnswer(NamedTuple):
    """What a database answered. `asked_at`: steady clock, seconds.

    `leads`: it took a BEGIN that may write, or says that it is the primary. `position`: of the
    state that it serves from. `status`: None where it was too busy to tell.
    """

    instance: InstanceId
    asked_at: float
    leads: bool
    position: Position
    status: MemberStatus | None = None


class MemberProbes:
    """Asks databases on the connections of their pools."""

    def __init__(self, placement: Placement) -> None:
        self._placement = placement

    async def prove(self, instance: InstanceId, timeout: float) -> MemberAnswer | None:
        """Ask for a BEGIN, which takes no slot. None: no news. Raises ProbeFailedError."""
        lent = await self._lend(instance, timeout)
        if lent is None:
            return None
        asked_at = _now()
        try:
            return await _begin(lent, asked_at, timeout)
        except ConnectionLostError as error:
            raise _failed(lent, asked_at, timeout, error) from error
        finally:
            lent.give_back()

    async def find(self, instance: InstanceId, timeout: float) -> MemberAnswer | None:
        """Ask for a BEGIN, and one that takes it for its status too.

        None: no news. Raises ProbeFailedError.
        """
        answer = await self.prove(instance, timeout)
        if answer is None or not answer.leads:
            return answer
        return await self.ask(instance, timeout)

    async def glance(self, instance: InstanceId, timeout: float) -> MemberAnswer | None:
        """Ask a replica how far it is. None: no news. Raises ProbeFailedError."""
        lent = await self._lend(instance, timeout)
        if lent is None:
            return None
        asked_at = _now()
        commands = [Command(BEGIN_READ), Command(ROLLBACK)]
        try:
            begin, _ = await lent.connection.run(commands, timeout)
        except ConnectionLostError as error:
            raise _failed(lent, asked_at, timeout, error) from error
        finally:
            lent.give_back()
        _heard(lent)
        return MemberAnswer(instance, asked_at, False, begin.position)

    async def ask(self, instance: InstanceId, timeout: float) -> MemberAnswer | None:
        """Ask for the status, or for a BEGIN where the database is too busy for that.

        None: no news. Raises ProbeFailedError.
        """
        lent = await self._lend(instance, timeout)
        if lent is None:
            return None
        asked_at = _now()
        try:
            status = await lent.connection.status(timeout)
            if status is None:
                return await _begin(lent, asked_at, timeout)
        except ConnectionLostError as error:
            raise _failed(lent, asked_at, timeout, error) from error
        finally:
            lent.give_back()
        _heard(lent)
        return MemberAnswer(instance, asked_at, status.is_primary, status.received, status)

    async def _lend(self, instance: InstanceId, timeout: float) -> PooledConnection | None:
        """Return a connection, or None where all are in use at a database that is well."""
        pool = self._placement.pools.get(instance)
        if pool is None:
            raise ProbeFailedError("it is not registered")
        try:
            return await pool.acquire(NO_STATE, timeout, is_urgent=True)
        except TimeoutError:
            if _now() - pool.heard_at > timeout:
                pool.was_silent()
                raise ProbeFailedError("no connection came in time") from None
        except ConnectError as error:
            if error.reason is not Reason.TOO_MANY_CONNECTIONS:
                raise ProbeFailedError(str(error)) from error
        return None


async def _begin(lent: PooledConnection, asked_at: float, timeout: float) -> MemberAnswer | None:
    begin, _ = await lent.connection.run([Command(BEGIN), Command(ROLLBACK)], timeout)
    _heard(lent)
    refusal = begin.refusal
    if refusal is not None and refusal.reason is not Reason.STALE_TERM:
        return None
    return MemberAnswer(lent.instance, asked_at, refusal is None, begin.position)


def _heard(lent: PooledConnection) -> None:
    lent.pool.heard_at = _now()
    lent.pool.silent_since = None


def _failed(
    lent: PooledConnection, asked_at: float, timeout: float, error: ConnectionLostError
) -> ProbeFailedError:
    if _now() - asked_at >= timeout:
        lent.pool.was_silent()
    return ProbeFailedError(str(error))


def _now() -> float:
    return asyncio.get_running_loop().time()
