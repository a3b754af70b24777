"""Closed-loop throughput and paced latency of simple statements."""

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import asyncmy
from hdrh.histogram import HdrHistogram

from bramblebeam.lab.bench.cluster import GROUP, ROWS, SERVICE
from bramblebeam.lab.bench.usage import cpu_seconds
from bramblebeam.lab.rows import Address

READ = "SELECT v FROM stops WHERE k = 'k{number}'"
WRITE = "UPDATE stops SET v = 'value {sequence}' WHERE k = 'k{number}'"
WRITE_EVERY = 5
MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True)
class Throughput:
    """Statements run, and CPU time per statement of the measured processes (µs)."""

    statements: int
    seconds: float
    cpu_microseconds: float

    @property
    def rate(self) -> float:
        """Statements per second."""
        return self.statements / self.seconds

    @property
    def per_core(self) -> float:
        """Statements per second and core of the measured processes."""
        return 1e6 / self.cpu_microseconds if self.cpu_microseconds else 0.0


@dataclass(frozen=True, slots=True)
class Latency:
    """Percentiles of the time from the scheduled send to the result (milliseconds).

    `late`: number of statements that were sent after their scheduled time.
    """

    p50: float
    p99: float
    rate: float
    late: int


async def connect(address: Address) -> Any:
    """Open an asyncmy connection to a node or a database."""
    host, port = address
    return await asyncmy.connect(host=host, port=port, user=SERVICE, db=GROUP, autocommit=True)


def statement(number: int, writes: bool) -> str:
    """Return statement `number` of the sequence; with `writes`, every fifth one is a write."""
    if writes and number % WRITE_EVERY == 0:
        return WRITE.format(sequence=number, number=number % ROWS)
    return READ.format(number=number % ROWS)


async def measure_throughput(
    address: Address, connections: int, seconds: float, writes: bool, pids: Sequence[int]
) -> Throughput:
    """Measure closed-loop throughput: each connection sends as soon as it has its result."""
    opened = [await connect(address) for _ in range(connections)]
    end = time.monotonic() + seconds
    used = sum(cpu_seconds(pid) for pid in pids)
    started = time.monotonic()
    counts = await asyncio.gather(
        *(
            _run_closed_loop(connection, index, end, writes)
            for index, connection in enumerate(opened)
        )
    )
    elapsed = time.monotonic() - started
    used = sum(cpu_seconds(pid) for pid in pids) - used
    for connection in opened:
        connection.close()
    total = sum(counts)
    return Throughput(total, elapsed, used / total * 1e6)


async def _run_closed_loop(connection: Any, index: int, end: float, writes: bool) -> int:
    count = 0
    async with connection.cursor() as cursor:
        while time.monotonic() < end:
            await cursor.execute(statement(count + index, writes))
            await cursor.fetchall()
            count += 1
    return count


async def measure_latency(
    address: Address, rate: float, connections: int, seconds: float, writes: bool
) -> Latency:
    """Measure open-loop latency at a constant rate of statements."""
    histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    free: asyncio.Queue[Any] = asyncio.Queue()
    opened = [await connect(address) for _ in range(connections)]
    for connection in opened:
        free.put_nowait(connection)
    total = int(rate * seconds)
    start = time.monotonic() + 0.1
    tasks = []
    late = 0
    for number in range(total):
        due = start + number / rate
        pause = due - time.monotonic()
        if pause > 0:
            await asyncio.sleep(pause)
        else:
            late += 1
        tasks.append(asyncio.create_task(_run_timed(free, due, number, writes, histogram)))
    await asyncio.gather(*tasks)
    for connection in opened:
        connection.close()
    return Latency(
        histogram.get_value_at_percentile(50) / 1_000,
        histogram.get_value_at_percentile(99) / 1_000,
        rate,
        late,
    )


async def _run_timed(
    free: asyncio.Queue[Any], due: float, number: int, writes: bool, histogram: HdrHistogram
) -> None:
    connection = await free.get()
    async with connection.cursor() as cursor:
        await cursor.execute(statement(number, writes))
        await cursor.fetchall()
    histogram.record_value(max(1, int((time.monotonic() - due) * 1e6)))
    free.put_nowait(connection)
