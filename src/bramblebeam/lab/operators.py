"""Simulated operators that edit weight and limit rows through the administration API."""

import asyncio
import time
import uuid
from collections.abc import Callable
from random import Random
from typing import Any

import aiohttp

from bramblebeam.lab.cluster import Cluster
from bramblebeam.lab.history import History
from bramblebeam.lab.history.records import EditAccepted
from bramblebeam.lab.rows import OPERATOR_TOKEN

EDIT_TIMEOUT_SECONDS = 15.0
CONFLICT = 409

Change = Callable[[dict[str, Any]], dict[str, Any]]


class Operators:
    """Edits rows at random times and concurrently; records each accepted edit."""

    def __init__(
        self, cluster: Cluster, http: aiohttp.ClientSession, history: History, seed: int
    ) -> None:
        self.conflicts = 0
        self.sent_at: dict[tuple[str, int], float] = {}
        """When each accepted edit was sent, by row key and resulting version."""
        self.failures = 0
        self._cluster = cluster
        self._http = http
        self._history = history
        self._random = Random(seed)

    async def run(self, edits_per_second: float, end: float) -> None:
        """Edit the weights of random instances until `end` (monotonic time)."""
        instances = sorted(self._cluster.scenario.topology.instances)
        while edits_per_second > 0:
            await asyncio.sleep(self._random.expovariate(edits_per_second))
            if time.monotonic() >= end:
                return
            weight = self._random.randrange(50, 200)
            await self.edit(
                "weight", self._random.choice(instances), _set_field("read_weight", weight)
            )

    async def race(self, service: str) -> None:
        """Edit the limit row of a service from the same version through two nodes at once."""
        name = next(
            f"{row.name}.{row.group}"
            for row in self._cluster.scenario.load.services
            if not service or row.name == service
        )
        nodes = self._random.sample(sorted(self._cluster.clients), 2)
        row = await self._row(nodes[0], "limit", name)
        if row is None:
            self.failures += 1
            return
        edits = (
            self._write(node, "limit", name, row, _set_field("queue", 100 + number))
            for number, node in enumerate(nodes)
        )
        await asyncio.gather(*edits)

    async def edit(self, kind: str, name: str, change: Change) -> int | None:
        """Change a row through a random node; return the accepted version, or None."""
        if not self._cluster.clients:
            return None
        node = self._random.choice(sorted(self._cluster.clients))
        row = await self._row(node, kind, name)
        if row is None:
            self.failures += 1
            return None
        return await self._write(node, kind, name, row, change)

    async def _row(self, node: str, kind: str, name: str) -> dict[str, Any] | None:
        status, body = await self._request("GET", node, kind, name, None)
        return body if status == 200 else None

    async def _write(
        self, node: str, kind: str, name: str, row: dict[str, Any], change: Change
    ) -> int | None:
        edit = {
            "expected_version": row["version"],
            "spec": change(row["spec"]),
            "change_id": uuid.uuid4().hex,
        }
        sent_at = time.monotonic()
        status, body = await self._request("PUT", node, kind, name, edit)
        if status == 200:
            version = int(body["version"])
            self.sent_at[f"{kind}/{name}", version] = sent_at
            self._history.add(EditAccepted(time.monotonic(), f"{kind}/{name}", version))
            return version
        if status == CONFLICT:
            self.conflicts += 1
        else:
            self.failures += 1
        return None

    async def _request(
        self, method: str, node: str, kind: str, name: str, body: dict[str, Any] | None
    ) -> tuple[int, dict[str, Any]]:
        url = f"{self._cluster.admin_url(node)}/api/v1/rows/{kind}/{name}"
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        timeout = aiohttp.ClientTimeout(total=EDIT_TIMEOUT_SECONDS)
        try:
            async with self._http.request(
                method, url, json=body, headers=headers, timeout=timeout
            ) as response:
                return response.status, await response.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return 0, {}


def _set_field(field: str, value: int) -> Change:
    return lambda spec: {**spec, field: value}
