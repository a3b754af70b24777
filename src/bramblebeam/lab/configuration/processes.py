"""Edits through real nodes: real processes on loopback, the stand-in platform, the HTTP API.

Prints, as JSON, the time from an edit's acceptance to its being confirmed in force at every node,
and the store's own count of watches.
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

from bramblebeam.lab.configuration.trial import percentiles
from bramblebeam.lab.ports import free_port
from bramblebeam.lab.processes import ProcessGroup, process_group

ROWS = 20
READY_SECONDS = 30.0
CONFIRM_SECONDS = 20.0
POLL_SECONDS = 0.01
HOST = "127.0.0.1"


class Bench:
    """A platform and nodes in zones, and operators who edit rows at random nodes."""

    def __init__(self, http: aiohttp.ClientSession, nodes: int, zones: int, seed: int) -> None:
        self.http = http
        self.platform = ""
        self.admins: list[str] = []
        self.delays: list[float] = []
        self.outcomes: dict[int, int] = {}
        self.random = Random(seed)
        self._nodes = nodes
        self._zones = zones

    async def start(self, processes: ProcessGroup, directory: Path) -> None:
        """Start everything and wait until every node has every node in its view, and its rows."""
        rows = [
            {"kind": "weight", "name": f"row-{number}", "spec": {"instance": f"row-{number}"}}
            for number in range(ROWS)
        ]
        file = directory / "rows.json"
        file.write_text(json.dumps(rows))
        platform = await processes.start(
            "platform",
            ["-m", "bramblebeam.lab.platform", "--listen", f"{HOST}:0", "--rows", str(file)],
        )
        self.platform = _url(platform.address("listen"))
        peers = [f"{HOST}:{free_port()}" for _ in range(self._nodes)]
        for number, peer in enumerate(peers):
            seeds = [{"node": "node-0", "zone": "zone-0", "address": peers[0].split(":")}]
            arguments = ["-m", "bramblebeam", "node", "--node", f"node-{number}"]
            arguments += ["--zone", f"zone-{number % self._zones}", "--region", "r"]
            arguments += ["--peer", peer, "--platform-url", self.platform]
            if number:
                arguments += ["--set", f"seeds={json.dumps(seeds)}"]
            started = await processes.start(f"node-{number}", arguments)
            self.admins.append(_url(started.address("admin")))
        await self._all_ready()

    async def _all_ready(self) -> None:
        async with asyncio.timeout(READY_SECONDS):
            for admin in self.admins:
                while True:
                    status = await self.get(f"{admin}/api/v1/status")
                    nodes = sum(zone["nodes"] for zone in status["zones"])
                    behind = sum(zone["behind"] for zone in status["zones"])
                    if status["ready"] and nodes == self._nodes and not behind:
                        break
                    await asyncio.sleep(0.1)

    async def edit(self) -> None:
        """Edit a random row at a random node and follow it to its being in force everywhere."""
        key = f"weight/row-{self.random.randrange(ROWS)}"
        admin = self.random.choice(self.admins)
        row = await self.get(f"{admin}/api/v1/rows/{key}")
        body = {
            "expected_version": row["version"],
            "spec": {**row["spec"], "read_weight": self.random.randrange(1, 1000)},
            "change_id": uuid.uuid4().hex,
        }
        async with self.http.put(f"{admin}/api/v1/rows/{key}", json=body) as response:
            result = await response.json()
        self.outcomes[response.status] = self.outcomes.get(response.status, 0) + 1
        if response.status == 200:
            await self._confirm(self.random.choice(self.admins), result["version"])

    async def _confirm(self, admin: str, version: int) -> None:
        began = time.monotonic()
        async with asyncio.timeout(CONFIRM_SECONDS):
            while True:
                found = await self.get(f"{admin}/api/v1/in-force?version={version}")
                if found["everywhere"]:
                    break
                await asyncio.sleep(POLL_SECONDS)
        self.delays.append((time.monotonic() - began) * 1000)

    async def get(self, url: str) -> Any:
        """Return the JSON body at `url`."""
        async with self.http.get(url) as response:
            return await response.json()


async def run(nodes: int, zones: int, edits: int, rate: float, seed: int) -> dict[str, Any]:
    """Run the edits at `rate` a second and return the figures."""
    with TemporaryDirectory() as name:
        directory = Path(name)
        async with process_group(directory) as processes, aiohttp.ClientSession() as http:
            bench = Bench(http, nodes, zones, seed)
            await bench.start(processes, directory)
            tasks = []
            for _ in range(edits):
                tasks.append(asyncio.create_task(bench.edit()))
                await asyncio.sleep(bench.random.expovariate(rate))
            await asyncio.gather(*tasks)
            statistics = await bench.get(f"{bench.platform}/control/statistics")
    return {
        "nodes": nodes,
        "zones": zones,
        "edits": edits,
        "answers_by_status": bench.outcomes,
        "confirmed_in_force_ms": percentiles(sorted(bench.delays)),
        "store_watches_open": statistics["watches_open"],
        "store_watches_peak": statistics["watches_open_peak"],
        "store_lists": statistics["lists"],
    }


def _url(address: tuple[str, int]) -> str:
    return f"http://{address[0]}:{address[1]}"


def main(
    nodes: Annotated[int, typer.Option(help="Node processes.")] = 9,
    zones: Annotated[int, typer.Option(help="Zones.")] = 3,
    edits: Annotated[int, typer.Option(help="Edits in all.")] = 200,
    rate: Annotated[float, typer.Option(help="Edits a second.")] = 10.0,
    seed: Annotated[int, typer.Option(help="Of every random choice.")] = 1,
) -> None:
    """Run the edits on real processes; print the figures as JSON."""
    typer.echo(json.dumps(asyncio.run(run(nodes, zones, edits, rate, seed))))


if __name__ == "__main__":
    typer.run(main)
