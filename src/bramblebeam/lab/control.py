"""Controls faults of the simulated platform and databases, and reads database status."""

import asyncio
from typing import Any

import aiohttp

from bramblebeam.core.identity import Address
from bramblebeam.edges.backend import BackendConnection
from bramblebeam.edges.backend.errors import BackendError
from bramblebeam.lab.cluster import Cluster

CONTROL_USER = "bramblebeam_control"
STATUS_TIMEOUT_SECONDS = 1.0


class StandInControl:
    """Sets faults at the simulated platform and databases; concurrent faults are combined."""

    def __init__(self, cluster: Cluster, http: aiohttp.ClientSession) -> None:
        self._cluster = cluster
        self._http = http
        self._platform: dict[str, Any] = {}
        self._databases: dict[str, dict[str, Any]] = {}

    async def fault_platform(self, **faults: Any) -> None:
        """Change faults of the platform's store; faults not given are unchanged."""
        self._platform.update(faults)
        url = f"{self._cluster.platform_url}/control/faults"
        async with self._http.put(url, json=self._platform) as response:
            response.raise_for_status()

    async def fault_database(self, instance: str, **faults: Any) -> None:
        """Change faults of a database server; faults not given are unchanged.

        For a server that is down they are only stored; `restore_database` applies them.
        """
        state = self._databases.setdefault(instance, {})
        state.update(faults)
        if not self._cluster.databases[instance].running:
            return
        url = f"{self._cluster.control_url(instance)}/faults"
        async with self._http.post(url, json=state) as response:
            response.raise_for_status()

    async def restore_database(self, instance: str) -> None:
        """Apply the stored faults to a restarted database server."""
        if self._databases.get(instance):
            await self.fault_database(instance)

    async def primary_of(self, group: str) -> str:
        """Return the primary with the highest term, or an empty string if there is none."""
        members = self._members(group)
        statuses = await asyncio.gather(*(self.status(member) for member in members))
        highest = max(
            ((int(row["term"]), name) for name, row in statuses if row.get("role") == "primary"),
            default=(0, ""),
        )
        return highest[1]

    def others(self, instance: str) -> list[str]:
        """Return the other members of the instance's group. Raises KeyError."""
        for group in self._cluster.scenario.topology.groups:
            names = [member.instance for member in group.members]
            if instance in names:
                return [name for name in names if name != instance]
        raise KeyError(instance)

    def _members(self, group: str) -> list[str]:
        for candidate in self._cluster.scenario.topology.groups:
            if candidate.name == group:
                return [member.instance for member in candidate.members]
        raise KeyError(group)

    async def status(self, instance: str) -> tuple[str, dict[str, Any]]:
        """Return the instance and its status row, which is empty if the instance does not reply."""
        address = Address(*self._cluster.database_addresses[instance])
        try:
            connection = await BackendConnection.connect(
                address, CONTROL_USER, "", timeout=STATUS_TIMEOUT_SECONDS
            )
        except BackendError:
            return instance, {}
        try:
            async with asyncio.timeout(STATUS_TIMEOUT_SECONDS):
                result = await connection.execute("SHOW BRAMBLEBEAM STATUS")
        except (BackendError, TimeoutError):
            connection.abort()
            return instance, {}
        await connection.close()
        names = (column.name for column in result.columns)
        return instance, dict(zip(names, result.rows[0], strict=True))
