"""Edits through the HTTP API of real node processes on loopback, with the stand-in platform.

Prints as JSON the time from acceptance of an edit to confirmation that it is in force at every
node, and the number of watches that the store counted.
"""

import asyncio
import json
import time
import uuid
from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Annotated, Any

import aiohttp
import typer

from bramblebeam.lab.configuration.process_faults import VersionJudge, inject_faults
from bramblebeam.lab.configuration.trial import percentiles
from bramblebeam.lab.ports import free_port
from bramblebeam.lab.processes import LabProcess, ProcessGroup, process_group

ROWS = 20
READY_TIMEOUT_SECONDS = 30.0
CONFIRM_TIMEOUT_SECONDS = 20.0
POLL_INTERVAL_SECONDS = 0.01
REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=12.0)
SEEDS = 3
SETTLE_SECONDS = 6.0
"""Wait before counting the watches; longer than a reader's backoff after a store outage."""

HOST = "127.0.0.1"


class NotReadyError(Exception):
    """The nodes did not become ready in time."""


class Bench:
    """A platform and nodes in zones, with edits of random rows at random nodes."""

    def __init__(
        self, http: aiohttp.ClientSession, processes: ProcessGroup, nodes: int, zones: int
    ) -> None:
        self.http = http
        self.processes = processes
        self.platform = ""
        self.nodes: dict[str, LabProcess] = {}
        self.admins: dict[str, str] = {}
        self.delays: list[float] = []
        self.outcomes: dict[int, int] = {}
        self.accepted: dict[str, int] = {}
        self._peers = [f"{HOST}:{free_port()}" for _ in range(nodes)]
        self._zones = zones

    async def start(self) -> None:
        """Start all processes and wait until every node is ready and has all nodes in its view."""
        rows = [
            {"kind": "weight", "name": f"row-{number}", "spec": {"instance": f"row-{number}"}}
            for number in range(ROWS)
        ]
        rows_file = self.processes.directory / "rows.json"
        rows_file.write_text(json.dumps(rows))
        arguments = ["-m", "bramblebeam.lab.platform", "--listen", f"{HOST}:0"]
        platform = await self.processes.start("platform", [*arguments, "--rows", str(rows_file)])
        self.platform = _url(platform.address("listen"))
        for number in range(len(self._peers)):
            await self.start_node(number)
        await self.wait_all_ready()

    async def start_node(self, number: int) -> None:
        """Start or restart a node at its fixed peer address."""
        name = f"node-{number}"
        others = [index for index in range(len(self._peers)) if index != number][:SEEDS]
        seeds = [
            {"node": f"node-{index}", "zone": self._zone(index), "address": address.split(":")}
            for index in others
            if (address := self._peers[index])
        ]
        arguments = ["-m", "bramblebeam", "node", "--node", name, "--zone", self._zone(number)]
        arguments += ["--region", "r", "--peer", self._peers[number]]
        arguments += ["--platform-url", self.platform, "--set", f"seeds={json.dumps(seeds)}"]
        started = await self.processes.start(name, arguments)
        self.nodes[name] = started
        self.admins[name] = _url(started.address("admin"))

    async def wait_all_ready(self) -> None:
        """Wait until each node has its rows and sees that all other nodes have them.

        Raises NotReadyError with the status of the last node queried.
        """
        until = time.monotonic() + READY_TIMEOUT_SECONDS
        for admin in self.admins.values():
            while not self._is_ready(status := await self.get(f"{admin}/api/v1/status")):
                if time.monotonic() > until:
                    raise NotReadyError(json.dumps(status))
                await asyncio.sleep(0.1)

    def _is_ready(self, status: dict[str, Any]) -> bool:
        if not status.get("ready"):
            return False
        nodes = sum(zone["nodes"] for zone in status["zones"])
        return nodes == len(self._peers) and not any(zone["behind"] for zone in status["zones"])

    async def edit(self, random: Random) -> None:
        """Edit a random row at a random node and wait until the edit is in force everywhere."""
        key = f"weight/row-{random.randrange(ROWS)}"
        admin = self.admins[random.choice(sorted(self.admins))]
        value = random.randrange(1, 1000)
        try:
            row = await self.get(f"{admin}/api/v1/rows/{key}")
            if "version" in row:
                await self._write(admin, key, row, value)
        except (aiohttp.ClientError, TimeoutError):
            self.outcomes[0] = self.outcomes.get(0, 0) + 1

    async def _write(self, admin: str, key: str, row: dict[str, Any], value: int) -> None:
        body = {
            "expected_version": row["version"],
            "spec": {**row["spec"], "read_weight": value},
            "change_id": uuid.uuid4().hex,
        }
        async with self.http.put(f"{admin}/api/v1/rows/{key}", json=body) as response:
            result = await response.json()
        self.outcomes[response.status] = self.outcomes.get(response.status, 0) + 1
        if response.status == 200:
            version = result["version"]
            self.accepted[key] = max(version, self.accepted.get(key, 0))
            await self._confirm(version)

    async def _confirm(self, version: int) -> None:
        """Poll a responding node until the version is in force everywhere, and record the delay."""
        began = time.monotonic()
        while time.monotonic() - began < CONFIRM_TIMEOUT_SECONDS:
            for admin in list(self.admins.values()):
                try:
                    found = await self.get(f"{admin}/api/v1/in-force?version={version}")
                except (aiohttp.ClientError, TimeoutError):
                    continue
                if found.get("everywhere"):
                    self.delays.append((time.monotonic() - began) * 1000)
                    return
                break
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
        self.delays.append(CONFIRM_TIMEOUT_SECONDS * 1000)

    async def versions(self, admin: str) -> dict[str, int]:
        """Return the version of each row in force at a node."""
        page = await self.get(f"{admin}/api/v1/rows?limit=1000")
        return {f"{row['kind']}/{row['name']}": row["version"] for row in page["rows"]}

    async def get(self, url: str) -> Any:
        """Return the JSON body at `url`."""
        async with self.http.get(url, timeout=REQUEST_TIMEOUT) as response:
            return await response.json()

    def _zone(self, number: int) -> str:
        return f"zone-{number % self._zones}"


async def run(
    nodes: int, zones: int, edits: int, rate: float, faults: bool, seed: int
) -> dict[str, Any]:
    """Run the edits at `rate` per second and return the results."""
    random = Random(seed)
    with TemporaryDirectory() as name:
        async with process_group(Path(name)) as processes, aiohttp.ClientSession() as http:
            bench = Bench(http, processes, nodes, zones)
            await bench.start()
            judge = VersionJudge(bench)
            judging = asyncio.create_task(judge.run())
            ended = asyncio.Event()
            tasks = []
            if faults:
                tasks.append(asyncio.create_task(inject_faults(bench, Random(seed), ended)))
            for _ in range(edits):
                tasks.append(asyncio.create_task(bench.edit(random)))
                await asyncio.sleep(random.expovariate(rate))
            ended.set()
            await asyncio.gather(*tasks)
            judging.cancel()
            await bench.wait_all_ready()
            await asyncio.sleep(SETTLE_SECONDS)
            statistics = await bench.get(f"{bench.platform}/control/statistics")
            outdated = await judge.count_outdated_rows()
    return {
        "nodes": nodes,
        "zones": zones,
        "edits": edits,
        "faults": faults,
        "answers_by_status": bench.outcomes,
        "confirmed_in_force_ms": percentiles(sorted(bench.delays)),
        "reverted": judge.reverted,
        "checks": judge.checks,
        "accepted_rows_lacking_at_end": outdated,
        "store_watches_open": statistics["watches_open"],
        "store_watches_peak": statistics["watches_open_peak"],
        "store_lists": statistics["lists"],
    }


def _url(address: tuple[str, int]) -> str:
    return f"http://{address[0]}:{address[1]}"


def main(
    nodes: Annotated[int, typer.Option(help="Node processes.")] = 9,
    zones: Annotated[int, typer.Option(help="Zones.")] = 3,
    edits: Annotated[int, typer.Option(help="Total number of edits.")] = 200,
    rate: Annotated[float, typer.Option(help="Edits per second.")] = 10.0,
    faults: Annotated[
        bool, typer.Option(help="Inject node pauses, kills and store faults.")
    ] = False,
    seed: Annotated[int, typer.Option(help="Seed of all random choices.")] = 1,
) -> None:
    """Run the edits on real processes; print the results as JSON. Exit code 1: rows reverted."""
    result = asyncio.run(run(nodes, zones, edits, rate, faults, seed))
    typer.echo(json.dumps(result))
    if result["reverted"] or result["accepted_rows_lacking_at_end"]:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
