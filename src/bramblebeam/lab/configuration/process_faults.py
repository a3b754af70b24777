"""Fault injection for runs on real processes, and a check of the rows in force at the nodes."""

import asyncio
from random import Random
from typing import Any, Protocol

import aiohttp

from bramblebeam.lab.processes import LabProcess

CHECK_INTERVAL_SECONDS = 0.3
FAULT_INTERVAL_SECONDS = 2.0
NODE_PAUSE_SECONDS = 2.0
NODE_DOWN_SECONDS = 3.0
STORE_DOWN_SECONDS = 6.0
STORE_SLOW_SECONDS = 4.0
STORE_DELAY_MS = 2_500
"""Longer than a node's request timeout, so that writes take effect after the node gave up."""


class FaultyBench(Protocol):
    """The parts of a run that fault injection and the judge use."""

    http: aiohttp.ClientSession
    platform: str
    nodes: dict[str, LabProcess]
    admins: dict[str, str]
    accepted: dict[str, int]

    async def start_node(self, number: int) -> None:
        """Start or restart a node."""

    async def versions(self, admin: str) -> dict[str, int]:
        """Return the version of each row in force at a node."""


class VersionJudge:
    """Polls the rows in force at every node and counts versions that decreased."""

    def __init__(self, bench: FaultyBench) -> None:
        self.reverted = 0
        self.checks = 0
        self._bench = bench
        self._latest_versions: dict[tuple[str, str], int] = {}

    async def run(self) -> None:
        """Poll until cancelled. A restarted node has a new address and counts as a new node."""
        while True:
            for admin in list(self._bench.admins.values()):
                try:
                    versions = await self._bench.versions(admin)
                except (aiohttp.ClientError, TimeoutError, KeyError):
                    continue
                self._compare(admin, versions)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def count_outdated_rows(self) -> int:
        """Count the rows that are older at a node than the last accepted version."""
        outdated = 0
        for admin in self._bench.admins.values():
            versions = await self._bench.versions(admin)
            self._compare(admin, versions)
            accepted = self._bench.accepted.items()
            outdated += sum(versions.get(key, 0) < version for key, version in accepted)
        return outdated

    def _compare(self, admin: str, versions: dict[str, int]) -> None:
        self.checks += 1
        for key, version in versions.items():
            if version < self._latest_versions.get((admin, key), 0):
                self.reverted += 1
            self._latest_versions[admin, key] = version


async def inject_faults(bench: FaultyBench, random: Random, ended: asyncio.Event) -> None:
    """Inject random faults one after another until `ended` is set, healing each."""
    faults = (_store_down, _store_slow, _lose_answers, _cut_watches, _compact, _pause, _restart)
    while not ended.is_set():
        await random.choice(faults)(bench, random)
        await asyncio.sleep(FAULT_INTERVAL_SECONDS)


async def _set_faults(bench: FaultyBench, **faults: Any) -> None:
    url = f"{bench.platform}/control/faults"
    async with bench.http.put(url, json=faults) as response:
        response.raise_for_status()


async def _store_down(bench: FaultyBench, _: Random) -> None:
    await _set_faults(bench, down=True)
    await asyncio.sleep(STORE_DOWN_SECONDS)
    await _set_faults(bench)


async def _store_slow(bench: FaultyBench, _: Random) -> None:
    await _set_faults(bench, slow_ms=STORE_DELAY_MS)
    await asyncio.sleep(STORE_SLOW_SECONDS)
    await _set_faults(bench)


async def _lose_answers(bench: FaultyBench, _: Random) -> None:
    await _set_faults(bench, lose_answers=5)


async def _cut_watches(bench: FaultyBench, _: Random) -> None:
    async with bench.http.post(f"{bench.platform}/control/cut-watches") as response:
        response.raise_for_status()


async def _compact(bench: FaultyBench, random: Random) -> None:
    async with bench.http.post(f"{bench.platform}/control/compact") as response:
        response.raise_for_status()
    await _cut_watches(bench, random)


async def _pause(bench: FaultyBench, random: Random) -> None:
    process = random.choice([found for found in bench.nodes.values() if found.running])
    process.pause()
    await asyncio.sleep(NODE_PAUSE_SECONDS)
    process.resume()


async def _restart(bench: FaultyBench, random: Random) -> None:
    number = random.randrange(len(bench.nodes))
    process = bench.nodes[f"node-{number}"]
    process.kill()
    await process.wait()
    await asyncio.sleep(NODE_DOWN_SECONDS)
    await bench.start_node(number)
