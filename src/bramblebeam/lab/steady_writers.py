"""Clients that write through the nodes at a constant rate and record the response times."""

import asyncio
import itertools
import time
from collections import Counter

from bramblebeam.lab.cluster import Cluster
from bramblebeam.lab.load.client import CallerClient

WRITE_INTERVAL_SECONDS = 0.01
MAX_CLIENTS = 400


class Writers:
    """Writes at a constant rate without retries and records when writes were acknowledged."""

    def __init__(self, cluster: Cluster, service: str, group: str) -> None:
        self.acknowledged: list[float] = []
        self.waits: list[tuple[float, float]] = []
        """Time of each write's answer, successful or not, and its latency (seconds)."""
        self.keys: list[int] = []
        self.errors: Counter[str] = Counter()
        self._cluster = cluster
        self._service = service
        self._group = group
        self._numbers = itertools.count(1)
        self._idle: list[CallerClient] = []
        self._client_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            client = self._acquire_client()
            if client is not None:
                task = asyncio.create_task(self._write(client))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(WRITE_INTERVAL_SECONDS)

    def _acquire_client(self) -> CallerClient | None:
        """Return an idle client, or None at the maximum; a hanging write must not delay others."""
        if self._idle:
            return self._idle.pop()
        if self._client_count == MAX_CLIENTS:
            return None
        self._client_count += 1
        return CallerClient(f"w{self._client_count}", self._service, self._group, False)

    async def close(self) -> None:
        """Wait for writes in flight and close the clients."""
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
            started = time.monotonic()
            sql = f"INSERT INTO entries (k, v) VALUES ('w{number}', '{number}')"
            answer = await client.execute(sql)
            now = time.monotonic()
            self.waits.append((now, now - started))
            if answer.ok:
                self.acknowledged.append(now)
                self.keys.append(number)
            else:
                outcome = answer.outcome
                self.errors[f"{outcome.outcome} {outcome.reason}".strip()] += 1
        finally:
            self._idle.append(client)

    def longest_wait(self, since: float) -> float:
        """Return the maximum latency of writes answered after `since` (seconds)."""
        return max((wait for at, wait in self.waits if at > since), default=0.0)

    def longest_silence(self, since: float) -> float:
        """Return the longest time between two acknowledgements after `since` (seconds)."""
        times = [since, *(at for at in self.acknowledged if at > since)]
        return max(later - earlier for earlier, later in itertools.pairwise(times))
