"""The control connection of an instance: ownership lock, status queries and KILL."""

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
"""Prefix of a second lock with a unique name: connection ids repeat when a back end restarts."""
OWNER_PREFIX = "bramblebeam-owner/"
SLOT_PREFIX = "bramblebeam/"
CONNECT_TIMEOUT = 2.0
SWEEP_PAUSES = (0.002, 0.004, 0.008, 0.016, 0.032, *(0.05,) * 40)
"""Pauses between reads of the process list while connections end (seconds)."""
ERROR_NO_SUCH_THREAD = 1094


class ControlConnection:
    """Runs control statements one at a time, in call order.

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
        self._statement_lock = asyncio.Lock()

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
        """The ownership epoch, if this connection holds the lock."""
        return self.connection.id

    async def execute(self, sql: str) -> BackendResult:
        """Run one control statement after the statements queued before it.

        Cancelling the caller does not break the connection: the statement runs to its end.
        """
        statement = asyncio.ensure_future(self._execute(sql))
        statement.add_done_callback(_retrieve_exception)
        return await asyncio.shield(statement)

    async def _execute(self, sql: str) -> BackendResult:
        async with self._statement_lock:
            return await self.connection.execute(sql)

    async def try_lock(self) -> LockTaken | LockHeld:
        """Take the ownership lock if it is free; otherwise report its holder.

        A slot connection that holds the lock (a caller's statement took it) has no right to it, so
        it is reported as unresponsive for an infinite time.
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

    async def still_owner_on(self, connection: BackendConnection) -> bool:
        """Check on a slot connection whether this epoch owns the instance."""
        return self._owns(await connection.execute(self._locks_query))

    async def still_owner(self) -> bool:
        """Check on the control connection whether this epoch owns the instance.

        If the connection was ended while this process was paused, the query fails at once.
        """
        return self._owns(await self.execute(self._locks_query))

    def _owns(self, locks: BackendResult) -> bool:
        owner, epoch = locks.rows[0]
        return owner is not None and int(owner) == self.epoch and epoch == owner

    async def kill_and_wait(self, connection_id: int) -> None:
        """Kill a connection at the back end and wait until it is gone."""
        await self._kill(connection_id)
        await self._wait_gone({connection_id})

    async def sweep(self, keep: frozenset[int]) -> frozenset[int]:
        """Kill every slot connection except `keep`; return those of `keep` that still exist."""
        for pause in SWEEP_PAUSES:
            present = await self.slot_connections()
            others = present - keep
            if not others:
                return present & keep
            for connection_id in others:
                await self._kill(connection_id)
            await asyncio.sleep(pause)
        raise TimeoutError(f"connections {sorted(others)} did not end in time")

    async def slot_connections(self) -> frozenset[int]:
        """Return the ids of all connections of the slot account."""
        return frozenset(
            int(process["Id"])
            for process in await self.processes()
            if process["User"] == self.slot_user
        )

    async def processes(self) -> list[dict[str, Any]]:
        """Return the rows of the process list, each as a dict by column name."""
        result = await self.execute("SHOW PROCESSLIST")
        names = [column.name for column in result.columns]
        return [dict(zip(names, row, strict=True)) for row in result.rows]

    async def status(self, group: GroupId) -> InstanceStatus:
        """Query the instance's status."""
        status = parse_status(await self.execute(STATUS_QUERY))
        self.primary_contact_ms = status.primary_contact_ms
        return instance_status(status, self.spec.instance, group, self.node, self.epoch)

    def abort(self) -> None:
        """Close immediately. The back end frees the lock when it detects the disconnection."""
        self.connection.abort()

    async def release(self) -> None:
        """Release the lock and close the connection."""
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
        raise TimeoutError(f"connections {sorted(connection_ids)} did not end in time")


def instance_status(
    status: MemberStatus, instance: InstanceId, group: GroupId, owner: NodeId, epoch: int
) -> InstanceStatus:
    """Build an instance's status from a member's status reply.

    The lag is at least the time since the member's last contact with its primary (on a primary,
    with its majority), because the member cannot know what has happened since.
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


def _retrieve_exception(statement: asyncio.Future[BackendResult]) -> None:
    if not statement.cancelled():
        statement.exception()


def _number(result: BackendResult) -> int:
    value = result.rows[0][0]
    return 0 if value is None else int(value)


def _owner_node(process: dict[str, Any]) -> NodeId:
    name = str(process["Info"] or "")
    return NodeId(name.removeprefix(OWNER_PREFIX)) if name.startswith(OWNER_PREFIX) else NodeId("")
