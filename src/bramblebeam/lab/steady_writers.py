"""Clients that write through the nodes at a steady pace, and when each write was answered."""

import asyncio
import itertools
import time
from collections import Counter

from bramblebeam.lab.cluster import Cluster
from bramblebeam.lab.load.client import CallerClient

WRITE_INTERVAL = 0.01
MAXIMUM_WRITERS = 400


class Writers:
    """Clients that write at a steady pace, each write once, and note when it was acknowledged."""

    def __init__(self, cluster: Cluster, service: str, group: str) -> None:
        self.acknowledged: list[float] = []
        self.waits: list[tuple[float, float]] = []
        """When each write was answered, with or without success, and how long it took."""
        self.keys: list[int] = []
        self.errors: Counter[str] = Counter()
        self._cluster = cluster
        self._service = service
        self._group = group
        self._numbers = itertools.count(1)
        self._idle: list[CallerClient] = []
        self._count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            client = self._take_client()
            if client is not None:
                task = asyncio.create_task(self._write(client))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(WRITE_INTERVAL)

    def _take_client(self) -> CallerClient | None:
        """Return a client that waits for nothing; writes that hang must not stop the others."""
        if self._idle:
            return self._idle.pop()
        if self._count == MAXIMUM_WRITERS:
            return None
        self._count += 1
        return CallerClient(f"w{self._count}", self._service, self._group, False)

    async def close(self) -> None:
        """Wait for what is under way and close the clients."""
        await asyncio.gather(*list(self._tasks))
        await asyncio.gather(*(client.close() for client in self._idle))

    async def _write(self, client: CallerClient) -> None:
        number = next(self._numbers)
        try:
            if not client.connected:
                nodes = list(self._cluster.clients.items())
                connected = await client.connect(*nodes[number % len(nodes)])
                if connected.outcome != "ok":
                    self.errors[f"connect {connected.reason or connected.outcome}"] += 1
                    return
            begun = time.monotonic()
            sql = f"INSERT INTO entries (k, v) VALUES ('w{number}', '{number}')"
            answer = await client.execute(sql)
            now = time.monotonic()
            self.waits.append((now, now - begun))
            if answer.ok:
                self.acknowledged.append(now)
                self.keys.append(number)
            else:
                outcome = answer.outcome
                self.errors[f"{outcome.outcome} {outcome.reason}".strip()] += 1
        finally:
            self._idle.append(client)

    def longest_wait(self, since: float) -> float:
        """Return the longest that a write answered after `since` took (seconds)."""
        return max((wait for at, wait in self.waits if at > since), default=0.0)

    def longest_silence(self, since: float) -> float:
        """Return the longest time without an acknowledgement after `since` (seconds)."""
        times = [since, *(at for at in self.acknowledged if at > since)]
        return max(later - earlier for earlier, later in itertools.pairwise(times))
