"""Tenants in the soak: the load of a tenant far above its rate limit, and checks of the limit."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from bisect import bisect_right
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Iterator
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any, NamedTuple

from bramblebeam.core.tenants import RateLimit
from platform_standins.records import RunRecord
from platform_standins.world import LineClient
from quota_search import SPAN, allowed

if TYPE_CHECKING:
    from soak.deployment import Deployment

USUAL_KEY = "tester"
"""Name and API key of the tenant of all other callers; its limit is never reached."""
HOT, HOT_KEY = "hot", "f3k9q2"
"""Name and API key of the tenant that exceeds its limit."""
LIMITS = (RateLimit(30.0, 30.0), RateLimit(60.0, 15.0), RateLimit(12.0, 12.0))
CALLERS_PER_NODE = 3
PAUSE = 0.02
"""Delay between two operations of a caller (seconds)."""
ANSWER_SECONDS = 10.0
WRITE_SHARE = 0.3
ROUTES = ("session", "latest", "bounded")
TENANT_RULE = "TENANT"


def listed(name: str, key: str, limit: RateLimit) -> dict[str, Any]:
    """Return a tenant's entry of the configuration."""
    return {
        "name": name,
        "api_keys": [key],
        "rate_per_s": limit.rate,
        "burst_size": limit.burst,
    }


def tenants_of(limit: RateLimit) -> list[dict[str, Any]]:
    """Return the tenants section of the configuration; `limit`: that of the hot tenant."""
    return [listed(USUAL_KEY, USUAL_KEY, RateLimit(1e6, 1e6)), listed(HOT, HOT_KEY, limit)]


class HotCallers:
    """Callers of the hot tenant, which retry immediately after any refusal.

    `sent`: when each operation was sent (monotonic clock, seconds), by its identifier.
    """

    def __init__(self, world: Deployment, rng: random.Random) -> None:
        self.sent: dict[str, float] = {}
        self._world = world
        self._rng = rng
        self._number = 0

    async def call(self, until: Callable[[], bool]) -> None:
        """Send operations to all nodes until `until` returns true."""
        node_indexes = [
            index for index in range(len(self._world.nodes)) for _ in range(CALLERS_PER_NODE)
        ]
        await asyncio.gather(*(self._call(index, until) for index in node_indexes))

    async def _call(self, index: int, until: Callable[[], bool]) -> None:
        while not until():
            client = await self._open_session(index)
            if client is not None:
                await self._use(client, until)
                client.close()
            await asyncio.sleep(PAUSE)

    async def _use(self, client: LineClient, until: Callable[[], bool]) -> None:
        while not until():
            if not await self._run(client):
                return
            await asyncio.sleep(PAUSE)

    async def _open_session(self, index: int) -> LineClient | None:
        client: LineClient | None = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ANSWER_SECONDS):
                client = await LineClient.connect(self._world.nodes[index].callers.port)
                if (await client.start(self._rng.choice(ROUTES), HOT_KEY)).state == "I":
                    return client
        if client is not None:
            client.close()
        return None

    async def _run(self, client: LineClient) -> bool:
        """Send one operation; return whether the session is still usable."""
        self._number += 1
        writes = self._rng.random() < WRITE_SHARE
        text = f"WRITE {HOT} {self._number}" if writes else f"READ {HOT}"
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(ANSWER_SECONDS):
                return (await client.run(text)).state == "I"
        except (OSError, TimeoutError):
            return False
        finally:
            self.sent[client.last_identifier] = sent_at


class Span(NamedTuple):
    """Operations of a tenant in an interval of SPAN seconds. `begin`: monotonic clock, seconds."""

    begin: float
    operations: int


def worst_span(sent: dict[str, float], runs: Iterable[RunRecord]) -> Span:
    """Return the interval with the most operations sent and run in it, counting repeated runs."""
    found = sorted((sent[run.identifier], run.time) for run in runs if run.identifier in sent)
    worst = Span(0.0, 0)
    for index, (begin, _) in enumerate(found):
        end = bisect_right(found, begin + SPAN, key=lambda pair: pair[0])
        ran = sum(time <= begin + SPAN for _, time in found[index:end])
        worst = max(worst, Span(begin, ran), key=lambda span: span.operations)
    return worst


def limit_summary(sent: dict[str, float], runs: list[RunRecord], limit: RateLimit) -> str:
    """Return a one-line summary of the maximum that the tenant got in an interval."""
    worst = worst_span(sent, runs).operations
    return f"limit {limit.rate:.0f}/{limit.burst:.0f}: {worst} of {allowed(limit):.0f} in {SPAN} s"


def problems(sent: dict[str, float], runs: list[RunRecord], limit: RateLimit) -> Iterator[str]:
    """Yield the problems: a limit exceeded, or an operation on another tenant's connection."""
    worst = worst_span(sent, runs)
    if worst.operations > allowed(limit):
        yield f"QUOTA: {worst.operations} in {SPAN} s where {allowed(limit):.0f} are allowed"
    for run in runs:
        tenant = HOT if run.identifier in sent else USUAL_KEY
        if run.tenant != tenant and run.identifier != "-":
            yield f"{TENANT_RULE}: {run.identifier} of {tenant} ran for {run.tenant}"


async def run_hot_callers_during(callers: HotCallers, sequence: Awaitable[list[str]]) -> list[str]:
    """Run the hot tenant's callers until the faults are over; return the names of the faults."""
    is_over = False
    calling = asyncio.ensure_future(callers.call(lambda: is_over))
    try:
        return await sequence
    finally:
        is_over = True
        await calling


@asynccontextmanager
async def changed_limit(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The hot tenant's limit is lowered and raised again."""
    usual = world.limit
    assert usual is not None
    lower = RateLimit(usual.rate * rng.choice((0.0, 0.3, 0.7)), usual.burst)
    world.limit = lower
    world.configure(world.routes)
    yield
    world.limit = usual
    world.configure(world.routes)


TENANT_FAULTS: dict[str, Any] = {changed_limit.__name__: changed_limit}
"""Played only with tenants, so that a seed's choice among the other faults does not change."""
