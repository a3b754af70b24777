"""Open-loop load generator: work arrives on schedule, whether or not earlier work has finished.

Latency is measured from the scheduled time of a work item, so that a stall is counted in full
(no coordinated omission).
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from random import Random

from hdrh.histogram import HdrHistogram

from bramblebeam.lab.history import History
from bramblebeam.lab.load.client import Answer, CallerClient, NodeAddresses
from bramblebeam.lab.load.session import LoadOperation, LoadSession, SessionPlan
from bramblebeam.lab.scenario import Load, Service

MAX_LATENCY_US = 120_000_000
MAX_SESSIONS_PER_SERVICE = 16
SCAN_SHARE = 0.02
STATEMENTS_PER_TRANSACTION = 5
DRAIN_SECONDS = 25.0


class LoadGenerator:
    """Generates the load of every service of a scenario and records the outcomes."""

    def __init__(self, load: Load, nodes: NodeAddresses, history: History, seed: int) -> None:
        self.load = load
        self.latency = HdrHistogram(1, MAX_LATENCY_US, 3)
        self.samples: list[tuple[float, float]] = []
        """(scheduled time, latency in milliseconds) of each work item."""
        self.outcomes: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self.statements = 0
        self.rate_factor = 1.0
        self._nodes = nodes
        self._history = history
        self._random = Random(seed)
        self._sessions: list[LoadSession] = []
        self._queues: list[asyncio.Queue[tuple[float, LoadOperation]]] = []

    @property
    def moves(self) -> int:
        """Number of moves of sessions between nodes."""
        return sum(session.moves for session in self._sessions)

    async def run(self, stop: Callable[[], bool] | None = None) -> None:
        """Generate the load for its duration or until `stop`, then wait for outstanding work."""
        end = time.monotonic() + self.load.duration_seconds
        workers: list[asyncio.Task[None]] = []
        schedules = []
        for service in self.load.services:
            queues = self._open_sessions(service, workers)
            schedules.append(asyncio.create_task(self._schedule_arrivals(queues, end, stop)))
        await asyncio.gather(*schedules)
        await self._drain(workers)

    def _open_sessions(
        self, service: Service, workers: list[asyncio.Task[None]]
    ) -> list[asyncio.Queue[tuple[float, LoadOperation]]]:
        queues = []
        for number in range(min(service.connections, MAX_SESSIONS_PER_SERVICE)):
            name = f"{service.name}-{number}"
            client = CallerClient(name, service.name, service.group, carries_token=number % 4 != 0)
            plan = SessionPlan(self.load.keys, self.load.roaming)
            random = Random(self._random.getrandbits(64))
            session = LoadSession(client, self._nodes, plan, self._history, random)
            queue: asyncio.Queue[tuple[float, LoadOperation]] = asyncio.Queue()
            self._sessions.append(session)
            queues.append(queue)
            workers.append(asyncio.create_task(self._run_worker(session, queue)))
        self._queues.extend(queues)
        return queues

    async def _schedule_arrivals(
        self,
        queues: list[asyncio.Queue[tuple[float, LoadOperation]]],
        end: float,
        stop: Callable[[], bool] | None,
    ) -> None:
        random = Random(self._random.getrandbits(64))
        scheduled = time.monotonic()
        while scheduled < end and not (stop is not None and stop()):
            work = self._choose_work(random)
            queue = random.choice(queues)
            await asyncio.sleep(max(0.0, scheduled - time.monotonic()))
            queue.put_nowait((scheduled, work))
            scheduled += random.expovariate(self._arrivals_per_second())

    def _arrivals_per_second(self) -> float:
        """Return the arrival rate of work items per service; a transaction is one item."""
        load = self.load
        transactions = (1 - load.read_share) * load.transaction_share
        statements_per_arrival = 1 + transactions * (STATEMENTS_PER_TRANSACTION - 1)
        rate = load.statements_per_second * self.rate_factor / len(load.services)
        return rate / statements_per_arrival

    def _choose_work(self, random: Random) -> LoadOperation:
        if random.random() < self.load.read_share:
            return "scan" if random.random() < SCAN_SHARE else "read"
        if random.random() < self.load.transaction_share:
            return "transaction"
        return "write_with_id" if random.random() < self.load.request_id_share else "write"

    async def _run_worker(
        self, session: LoadSession, queue: asyncio.Queue[tuple[float, LoadOperation]]
    ) -> None:
        while True:
            scheduled, work = await queue.get()
            answers = await session.run(work)
            latency = time.monotonic() - scheduled
            self.latency.record_value(max(1, int(latency * 1_000_000)))
            self.samples.append((scheduled, latency * 1000))
            for _, answer in answers:
                self._count(answer)
            queue.task_done()

    def _count(self, answer: Answer) -> None:
        self.statements += 1
        self.outcomes[answer.outcome.outcome] += 1
        if not answer.ok:
            self.reasons[answer.outcome.reason or answer.outcome.text[:80]] += 1

    async def _drain(self, workers: list[asyncio.Task[None]]) -> None:
        try:
            async with asyncio.timeout(DRAIN_SECONDS):
                await asyncio.gather(*(queue.join() for queue in self._queues))
        except TimeoutError:
            self.reasons["load not finished in time"] += 1
        for worker in workers:
            worker.cancel()
        results = await asyncio.gather(*workers, return_exceptions=True)
        for session in self._sessions:
            await session.client.close()
        for result in results:
            if isinstance(result, Exception):
                raise result
