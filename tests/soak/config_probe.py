"""Continuous probe of the configuration version that each node serves.

Every marked version has a route that no other version has: a node that accepts a session for it
serves that version.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from platform_standins.world import Answer, LineClient
from soak.callers import START_SECONDS
from soak.deployment import DeployedNode, Deployment

PROBE_SECONDS = 0.1
"""Interval between two probes of a node (seconds)."""
MAX_PROBED_NODES = 8
"""Maximum number of nodes that are probed."""
PROBED_VERSIONS = 2
"""Number of newest marked versions that are probed."""
REVERT_SLACK = 2.0
"""How long a node may serve an older version after a newer one (seconds).

The documented limit is 0.25 s; the factor of 8 allows for a slowed-down machine.
"""


class Served(NamedTuple):
    """Observation that a node served one version. Times: event loop's clock, seconds.

    `start_number`: start number of the node's process.
    """

    node: str
    start_number: int
    version: int
    sent_at: float
    answered_at: float


async def answer_to_start(node: DeployedNode, route: str) -> Answer | None:
    """Try to open a session on `route`; return the answer, or None without a definite one."""
    try:
        async with asyncio.timeout(START_SECONDS):
            client = await LineClient.connect(node.callers.port)
            try:
                answer = await client.start(route)
            finally:
                client.close()
    except (OSError, TimeoutError):
        return None
    # A close without an error does not tell whether the route is served.
    return answer if answer.state == "I" or answer.code else None


class ConfigurationProbe:
    """Records which configuration versions the nodes serve."""

    def __init__(self, world: Deployment) -> None:
        self._world = world
        self._served: list[Served] = []

    async def run(self) -> None:
        """Probe the nodes until cancelled."""
        await asyncio.gather(*(self._probe(node) for node in self._world.nodes[:MAX_PROBED_NODES]))

    def regressions(self) -> Iterator[str]:
        """Yield a problem for each node and version served after a newer one."""
        for node in {found.node for found in self._served}:
            yield from regressions([found for found in self._served if found.node == node])

    async def _probe(self, node: DeployedNode) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            for version in self._world.marked_versions[-PROBED_VERSIONS:]:
                start_number, sent_at = node.process.start_count, loop.time()
                answer = await answer_to_start(node, marked_route(version))
                is_served = answer is not None and answer.state == "I"
                if is_served and node.process.start_count == start_number:
                    found = Served(node.process.name, start_number, version, sent_at, loop.time())
                    self._served.append(found)


def marked_route(version: int) -> str:
    """Return the name of the route that only this version has."""
    return f"extra{version}"


def regressions(served: Sequence[Served]) -> Iterator[str]:
    """Yield the cases where one process of a node served an older version after a newer one."""
    for older in served:
        for newer in served:
            is_regression = (
                newer.start_number == older.start_number and newer.version > older.version
            )
            if is_regression and older.sent_at > newer.answered_at + REVERT_SLACK:
                yield f"CONFIG: {older.node} served version {older.version} after {newer.version}"
                break
