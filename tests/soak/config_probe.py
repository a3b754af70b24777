"""Asks each node for routes that only one version of the configuration has, all the while."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from platform_standins.world import Answer, LineClient
from soak.callers import START_SECONDS
from soak.deployment import DeployedNode, Deployment

PROBE_SECONDS = 0.1
"""Between two questions to a node."""
PROBED = 8
"""So many nodes are asked, however many there are."""
ASKED = 2
"""So many of the last versions are asked for."""
REVERT_SLACK = 2.0
"""A node that served a newer version may serve an older one for so long (seconds): the users' pages
give 0.25 s, and eight times as much where a machine is slowed down."""


class Served(NamedTuple):
    """A node served the route of one version. Times: steady clock, seconds.

    `life`: which of the node's processes that was.
    """

    node: str
    life: int
    version: int
    sent_at: float
    answered_at: float


async def started(node: DeployedNode, route: str) -> Answer | None:
    """Return the answer to the start of a session, None where there is none."""
    try:
        async with asyncio.timeout(START_SECONDS):
            client = await LineClient.connect(node.callers.port)
            try:
                answer = await client.start(route)
            finally:
                client.close()
    except (OSError, TimeoutError):
        return None
    # An error is followed by a close; a close alone says nothing.
    return answer if answer.state == "I" or answer.code else None


class ConfigurationProbe:
    """Notes which versions nodes serve."""

    def __init__(self, world: Deployment) -> None:
        self._world = world
        self._served: list[Served] = []

    async def run(self) -> None:
        """Ask until cancelled."""
        await asyncio.gather(*(self._ask(node) for node in self._world.nodes[:PROBED]))

    def regressions(self) -> Iterator[str]:
        """Yield what nodes served although they had served something newer."""
        for node in {found.node for found in self._served}:
            yield from regressions([found for found in self._served if found.node == node])

    async def _ask(self, node: DeployedNode) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            for version in self._world.marked_versions[-ASKED:]:
                life, sent_at = node.process.lives, loop.time()
                answer = await started(node, marked_route(version))
                is_served = answer is not None and answer.state == "I"
                if is_served and node.process.lives == life:
                    found = Served(node.process.name, life, version, sent_at, loop.time())
                    self._served.append(found)


def marked_route(version: int) -> str:
    """Return the route that only one version has."""
    return f"extra{version}"


def regressions(served: Sequence[Served]) -> Iterator[str]:
    """Yield what one node served of an older version, in one life, after a newer one."""
    for older in served:
        for newer in served:
            is_regression = newer.life == older.life and newer.version > older.version
            if is_regression and older.sent_at > newer.answered_at + REVERT_SLACK:
                yield f"CONFIG: {older.node} served version {older.version} after {newer.version}"
                break
