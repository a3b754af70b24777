"""A scale run on real sockets: hollow nodes in worker processes beside a stand-in platform."""

from __future__ import annotations

import asyncio
import json
import sys
import time
import uuid
from collections.abc import Awaitable, Callable, Sequence
from contextlib import AsyncExitStack
from dataclasses import asdict
from typing import Any

from expression import Result

from bramblebeam.core.configuration.edit import StoreRow
from bramblebeam.core.configuration.rows import Row, RowKey, WeightSpec
from bramblebeam.core.identity import InstanceId
from bramblebeam.edges.object_store.client import PlatformClient
from bramblebeam.lab.scale.layout import Place, places
from bramblebeam.lab.scale.measures import ScaleMeasures, measure_window

SEEDS = 5
START_BOUND_SECONDS = 240.0
EVENT_BOUND_SECONDS = 60.0
POLL_SECONDS = 0.25


class ScaleRunError(Exception):
    """The run did not come to the state that it waited for."""


class WorkerProcess:
    """One child process of hollow nodes."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.nodes: list[str] = []

    async def ask(self, command: str, **arguments: Any) -> Any:
        """Send a command; return its answer."""
        assert self.process.stdin is not None
        assert self.process.stdout is not None
        self.process.stdin.write(json.dumps({"command": command, **arguments}).encode() + b"\n")
        line = await self.process.stdout.readline()
        if not line:
            raise ScaleRunError("a worker ended")
        return json.loads(line)

    async def end(self) -> None:
        """End the process."""
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


class ScaleRun:
    """Starts the processes, watches what happens, and ends them."""

    def __init__(
        self, nodes: int, workers: int, window: float, edits: int = 5, deaths: int = 3
    ) -> None:
        self._places = places(nodes)
        self._worker_count = min(workers, nodes)
        self._window = window
        self._edits = edits
        self._deaths = deaths
        self._workers: list[WorkerProcess] = []
        self._url = ""

    async def run(self) -> ScaleMeasures:
        """Run it all. Raises ScaleRunError."""
        async with AsyncExitStack() as stack:
            await self._start_platform(stack)
            await self._start_workers(stack)
            began = time.time()
            await self._start_nodes()
            await self._until_present(len(self._places))
            joined = time.time() - began
            await self._edit()
            before = await self._usage()
            await asyncio.sleep(self._window)
            after = await self._usage()
            edits = [await self._time_edit() for _ in range(self._edits)]
            deaths = [await self._time_death(number) for number in range(self._deaths)]
            return measure_window(before, after, joined, edits, deaths)

    async def _start_platform(self, stack: AsyncExitStack) -> None:
        module = "bramblebeam.lab.platform"
        process = await _python(stack, module, "--listen", "127.0.0.1:0")
        assert process.stdout is not None
        host, port = json.loads(await process.stdout.readline())["listen"]
        self._url = f"http://{host}:{port}"

    async def _start_workers(self, stack: AsyncExitStack) -> None:
        for _number in range(self._worker_count):
            module = "bramblebeam.lab.scale.worker"
            process = await _python(stack, module)
            self._workers.append(WorkerProcess(process))

    async def _start_nodes(self) -> None:
        first = await self._start_on(self._workers[0], self._places[:1], [])
        seeds = [self._seed(self._places[0], first)]
        second = await self._start_on(self._workers[0], self._places[1:SEEDS], seeds)
        seeds += [self._seed(place, second) for place in self._places[1:SEEDS]]
        rest = self._places[SEEDS:]
        count = self._worker_count
        shares = [rest[number::count] for number in range(count)]
        starts = [
            self._start_on(worker, share, seeds)
            for worker, share in zip(self._workers, shares, strict=True)
        ]
        await asyncio.gather(*starts)

    async def _start_on(
        self, worker: WorkerProcess, chosen: Sequence[Place], seeds: list[dict[str, Any]]
    ) -> dict[str, Any]:
        settings = [
            {
                "node": place.node,
                "zone": place.zone,
                "region": place.region,
                "platform": {"url": self._url},
                "seeds": seeds,
            }
            for place in chosen
        ]
        worker.nodes += [place.node for place in chosen]
        addresses: dict[str, Any] = await worker.ask("start", settings=settings)
        return addresses

    @staticmethod
    def _seed(place: Place, addresses: dict[str, Any]) -> dict[str, Any]:
        return {"node": place.node, "zone": place.zone, "address": addresses[place.node]}

    async def _until_present(self, count: int) -> None:
        async def present() -> bool:
            progress = await self._ask_all("progress")
            return bool(min(one["present"] for one in progress) == count)

        await _until(present, START_BOUND_SECONDS, f"{count} members everywhere")

    async def _usage(self) -> list[dict[str, Any]]:
        return await self._ask_all("usage")

    async def _ask_all(self, command: str, **arguments: Any) -> list[Any]:
        return await asyncio.gather(*(w.ask(command, **arguments) for w in self._workers))

    async def _edit(self) -> int:
        client = PlatformClient(self._url, timeout=10.0)
        try:
            return await write_row(client)
        finally:
            await client.close()

    async def _time_edit(self) -> float:
        began = time.time()
        version = await self._edit()
        return await self._last_seen("in_force", version=version) - began

    async def _time_death(self, number: int) -> float:
        worker = self._workers[-1 - number % self._worker_count]
        victim = worker.nodes.pop()
        began = await worker.ask("kill", node=victim)
        last = await self._last_seen("dead", node=victim)
        return last - float(began)

    async def _last_seen(self, command: str, **arguments: Any) -> float:
        seen: list[float | None] = []

        async def everywhere() -> bool:
            answers = await self._ask_all(command, **arguments)
            seen[:] = [at for answer in answers for at in answer]
            return None not in seen

        await _until(everywhere, EVENT_BOUND_SECONDS, f"{command} {arguments} everywhere")
        return max(at for at in seen if at is not None)


async def write_row(client: PlatformClient) -> int:
    """Create a row of its own name in the store; return its version."""
    name = f"instance-{uuid.uuid4().hex}"
    spec = json.dumps(asdict(WeightSpec(instance=InstanceId(name))))
    written = await client.write_row(StoreRow(Row(RowKey("weight", name), 0, spec)))
    match written:
        case Result(tag="ok", ok=stored):
            return stored.row.version
        case Result(error=error):
            raise ScaleRunError(f"the platform refused a row: {error}")


async def _until(done: Callable[[], Awaitable[bool]], bound: float, wanted: str) -> None:
    end = time.time() + bound
    while not await done():
        if time.time() > end:
            raise ScaleRunError(f"not seen within {bound:.0f} s: {wanted}")
        await asyncio.sleep(POLL_SECONDS)


async def _python(
    stack: AsyncExitStack, module: str, *arguments: str
) -> asyncio.subprocess.Process:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=256 * 1024 * 1024,
    )
    stack.push_async_callback(WorkerProcess(process).end)
    return process
