"""The control connection of an instance: the ownership lock, the status, and KILL."""

from __future__ import annotations

import asyncio
import secrets
from typing import Any

from bramblebeam.core.group.messages import MemberStatus
from bramblebeam.core.identity import GroupId, InstanceId, InstanceSpec, NodeId
from bramblebeam.core.ownership.events import LockHeld, LockTaken
from bramblebeam.core.statement import InstanceStatus
from bramblebeam.edges.backend import BackendConnection, BackendResult, StatementError
from bramblebeam.edges.backend.status import STATUS_QUERY, parse_status
from bramblebeam.settings.model import BackendSettings

LOCK_NAME = "bramblebeam.owner"
EPOCH_LOCK_PREFIX = "bramblebeam.epoch."
"""A second lock, whose name nobody else has: connection ids start again when a back end does."""
OWNER_PREFIX = "bramblebeam-owner/"
SLOT_PREFIX = "bramblebeam/"
CONNECT_TIMEOUT = 2.0
SWEEP_PAUSES = (0.002, 0.004, 0.008, 0.016, 0.032, *(0.05,) * 40)
"""Waits between looks at the process list while connections end (seconds)."""
ERROR_NO_SUCH_THREAD = 1094


class ControlConnection:
    """Runs one control statement at a time, in the order of the calls.

    Every method raises ConnectionLostError or StatementError.
    """

    def __init__(
        self, connection: BackendConnection, spec: InstanceSpec, node: NodeId, slot_user: str
    ) -> None:
        self.connection = connection
        self.spec = spec
        self.node = node
        self.slot_user = slot_user
        self.epoch_lock = f"{EPOCH_LOCK_PREFIX}{secrets.token_hex(8)}"
        self._locks_query = (
            f"SELECT IS_USED_LOCK('{LOCK_NAME}') AS owner, "
            f"IS_USED_LOCK('{self.epoch_lock}') AS epoch"
        )
        self.primary_contact_ms = 0
        self._turn = asyncio.Lock()

    @classmethod
    async def open(
        cls, spec: InstanceSpec, settings: BackendSettings, node: NodeId
    ) -> ControlConnection:
        """Connect with the control account. Raises ConnectError."""
        connection = await BackendConnection.connect(
            spec.address,
            settings.control_user,
            settings.control_password,
            f"{OWNER_PREFIX}{node}",
            CONNECT_TIMEOUT,
        )
        return cls(connection, spec, node, settings.user)

    @property
    def epoch(self) -> int:
        """The ownership epoch, if the lock is taken on this connection."""
        return self.connection.id

    async def execute(self, sql: str) -> BackendResult:
        """Run one control statement after those before it.

        A cancelled caller does not break the connection: the statement goes on to its end.
        """
        statement = asyncio.ensure_future(self._execute(sql))
        statement.add_done_callback(_take_exception)
        return await asyncio.shield(statement)

    async def _execute(self, sql: str) -> BackendResult:
        async with self._turn:
            return await self.connection.execute(sql)

    async def try_lock(self) -> LockTaken | LockHeld:
        """Take the ownership lock if it is free; else tell who holds it.

        A slot connection has no right to it (a caller's statement took it): it counts as silent.
        """
        taken = await self.execute(f"SELECT GET_LOCK('{LOCK_NAME}', 0)")
        if _number(taken) == 1:
            await self.execute(f"SELECT GET_LOCK('{self.epoch_lock}', 0)")
            return LockTaken()
        holder = _number(await self.execute(f"SELECT IS_USED_LOCK('{LOCK_NAME}')"))
        for process in await self.processes():
            if int(process["Id"]) != holder:
                continue
            if process["User"] == self.slot_user:
                return LockHeld(holder, NodeId(""), float("inf"))
            return LockHeld(holder, _owner_node(process), float(process["Time"] or 0))
        return LockHeld(holder, NodeId(""), 0.0)

    async def vouches_for(self, connection: BackendConnection) -> bool:
        """Tell, by the slot connection's own question, whether this epoch owns the instance."""
        return self._owns(await connection.execute(self._locks_query))

    async def still_owner(self) -> bool:
        """Ask on the control connection: after a pause it tells at once that it was ended."""
        return self._owns(await self.execute(self._locks_query))

    def _owns(self, locks: BackendResult) -> bool:
        owner, epoch = locks.rows[0]
        return owner is not None and int(owner) == self.epoch and epoch == owner

    async def end(self, connection_id: int) -> None:
        """Have the back end end a connection, and wait until it is gone."""
        await self._kill(connection_id)
        await self._wait_gone({connection_id})

    async def sweep(self, keep: frozenset[int]) -> frozenset[int]:
        """End every slot connection but `keep`; return those of `keep` that are still there."""
        for pause in SWEEP_PAUSES:
            present = await self.slot_connections()
            others = present - keep
            if not others:
                return present & keep
            for connection_id in others:
                await self._kill(connection_id)
            await asyncio.sleep(pause)
        raise TimeoutError(f"connections {sorted(others)} do not end")

    async def slot_connections(self) -> frozenset[int]:
        """Return the ids of all connections of the slots' account."""
        return frozenset(
            int(process["Id"])
            for process in await self.processes()
            if process["User"] == self.slot_user
        )

    async def processes(self) -> list[dict[str, Any]]:
        """Return the rows of the process list by column name."""
        result = await self.execute("SHOW PROCESSLIST")
        names = [column.name for column in result.columns]
        return [dict(zip(names, row, strict=True)) for row in result.rows]

    async def status(self, group: GroupId) -> InstanceStatus:
        """Ask for the instance's state."""
        status = parse_status(await self.execute(STATUS_QUERY))
        self.primary_contact_ms = status.primary_contact_ms
        return instance_status(status, self.spec.instance, group, self.node, self.epoch)

    def abort(self) -> None:
        """Close at once. The back end frees the lock when it notices."""
        self.connection.abort()

    async def release(self) -> None:
        """Free the lock and close."""
        await self.execute(f"SELECT RELEASE_LOCK('{LOCK_NAME}')")
        await self.connection.close()

    async def _kill(self, connection_id: int) -> None:
        try:
            await self.execute(f"KILL {connection_id}")
        except StatementError as error:
            if error.code != ERROR_NO_SUCH_THREAD:
                raise

    async def _wait_gone(self, connection_ids: set[int]) -> None:
        for pause in SWEEP_PAUSES:
            present = {int(process["Id"]) for process in await self.processes()}
            if not present & connection_ids:
                return
            await asyncio.sleep(pause)
        raise TimeoutError(f"connections {sorted(connection_ids)} do not end")


def instance_status(
    status: MemberStatus, instance: InstanceId, group: GroupId, owner: NodeId, epoch: int
) -> InstanceStatus:
    """Make an instance's status of a member's answer.

    The lag is at least the time since the member heard of its primary (or, on a primary, of its
    majority): what happened since then it can't know.
    """
    return InstanceStatus(
        instance=instance,
        group=group,
        term=status.term,
        role=status.role,
        last=status.last,
        applied=status.applied,
        lag_ms=max(status.lag_ms, status.primary_contact_ms),
        leaving=status.leaving,
        reachable=True,
        owner=owner,
        epoch=epoch,
    )


def _take_exception(statement: asyncio.Future[BackendResult]) -> None:
    if not statement.cancelled():
        statement.exception()


def _number(result: BackendResult) -> int:
    value = result.rows[0][0]
    return 0 if value is None else int(value)


def _owner_node(process: dict[str, Any]) -> NodeId:
    name = str(process["Info"] or "")
    return NodeId(name.removeprefix(OWNER_PREFIX)) if name.startswith(OWNER_PREFIX) else NodeId("")
