"""A process of hollow nodes: `python -m bramblebeam.lab.scale.worker`.

Commands come as JSON lines on standard input, one answer each goes to standard output.
"""

import asyncio
import json
import logging
import resource
import sys
import time
from typing import Any

import uvloop

from bramblebeam.core.identity import NodeId
from bramblebeam.lab.scale.hollow import HollowNode
from bramblebeam.settings.model import NodeSettings

START_SPACING_SECONDS = 0.2
LATE_SECONDS = 0.1
PACE_ATTEMPTS = 40
KILOBYTE = 1024


class Worker:
    """Carries out the commands."""

    def __init__(self) -> None:
        self.nodes: dict[NodeId, HollowNode] = {}

    async def start(self, settings: list[dict[str, Any]]) -> dict[str, Any]:
        """Start nodes; answer their addresses."""
        addresses: dict[str, Any] = {}
        for one in settings:
            node = HollowNode(NodeSettings.model_validate(one))
            self.nodes[node.settings.node] = node
            addresses[node.settings.node] = await node.start()
            await _pace()
        return addresses

    async def kill(self, node: str) -> float:
        """End one node without a word; answer the wall-clock time."""
        await self.nodes.pop(NodeId(node)).stop()
        return time.time()

    async def progress(self) -> dict[str, Any]:
        """Answer the lowest number of members present and the lowest version in force."""
        recorders = [node.recorder for node in self.nodes.values()]
        return {
            "present": min((recorder.present() for recorder in recorders), default=0),
            "version": min((recorder.version for recorder in recorders), default=0),
        }

    async def dead(self, node: str) -> list[float | None]:
        """Answer when each node saw `node` dead."""
        return [n.recorder.dead_at.get(NodeId(node)) for n in self.nodes.values()]

    async def in_force(self, version: int) -> list[float | None]:
        """Answer when each node had this version, or a later one, in force."""
        return [_first_at(n.recorder.version_at, version) for n in self.nodes.values()]

    async def usage(self) -> dict[str, Any]:
        """Answer the process's time and memory, and each node's traffic by message type."""
        times = resource.getrusage(resource.RUSAGE_SELF)
        return {
            "at": time.time(),
            "cpu_seconds": times.ru_utime + times.ru_stime,
            "rss_bytes": _rss_bytes(),
            "nodes": {name: await _traffic(node) for name, node in self.nodes.items()},
        }

    async def stop(self) -> None:
        """End every node."""
        await asyncio.gather(*(node.stop() for node in self.nodes.values()))


async def _pace() -> None:
    """Wait between two starts; longer while the event loop is late, for a bounded time."""
    loop = asyncio.get_running_loop()
    for _attempt in range(PACE_ATTEMPTS):
        due = loop.time() + START_SPACING_SECONDS
        await asyncio.sleep(START_SPACING_SECONDS)
        if loop.time() - due < LATE_SECONDS:
            return


def _first_at(version_at: dict[int, float], version: int) -> float | None:
    return min((at for seen, at in version_at.items() if seen >= version), default=None)


async def _traffic(node: HollowNode) -> dict[str, Any]:
    traffic = await node.traffic()
    return {
        "sent": {t.__name__: (c.messages, c.octets) for t, c in traffic.sent.items()},
        "received": {t.__name__: (c.messages, c.octets) for t, c in traffic.received.items()},
    }


def _rss_bytes() -> int:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


async def _serve() -> None:
    worker = Worker()
    reader = asyncio.StreamReader(limit=64 * KILOBYTE * KILOBYTE)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        command = json.loads(line)
        result = await getattr(worker, command.pop("command"))(**command)
        print(json.dumps(result), flush=True)
    await worker.stop()


if __name__ == "__main__":
    logging.basicConfig(level=logging.ERROR, stream=sys.stderr)
    uvloop.run(_serve())
