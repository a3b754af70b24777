"""Tenants in the soak: one that asks for far more than its limit, and what databases ran of it."""

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
"""That of all other callers, whose tenant has a limit that it never meets."""
HOT, HOT_KEY = "hot", "f3k9q2"
LIMITS = (RateLimit(30.0, 30.0), RateLimit(60.0, 15.0), RateLimit(12.0, 12.0))
CALLERS_A_NODE = 3
PAUSE = 0.02
ANSWER_SECONDS = 10.0
WRITE_SHARE = 0.3
ROUTES = ("session", "latest", "bounded")
NOT_ITS_OWN = "TENANT"


def listed(name: str, key: str, limit: RateLimit) -> dict[str, Any]:
    """Return a tenant as the configuration holds it."""
    return {
        "name": name,
        "api_keys": [key],
        "rate_per_s": limit.rate,
        "burst_size": limit.burst,
    }


def tenants_of(limit: RateLimit) -> list[dict[str, Any]]:
    """Return the tenants of a configuration."""
    return [listed(USUAL_KEY, USUAL_KEY, RateLimit(1e6, 1e6)), listed(HOT, HOT_KEY, limit)]


class HotCallers:
    """Callers of one tenant that come back at once, whatever they were told.

    `sent`: when each operation was sent (steady clock, seconds).
    """

    def __init__(self, world: Deployment, rng: random.Random) -> None:
        self.sent: dict[str, float] = {}
        self._world = world
        self._rng = rng
        self._number = 0

    async def call(self, until: Callable[[], bool]) -> None:
        """Call from all nodes until something is over."""
        places = [place for place in range(len(self._world.nodes)) for _ in range(CALLERS_A_NODE)]
        await asyncio.gather(*(self._call(place, until) for place in places))

    async def _call(self, place: int, until: Callable[[], bool]) -> None:
        while not until():
            client = await self._started(place)
            if client is not None:
                await self._use(client, until)
                client.close()
            await asyncio.sleep(PAUSE)

    async def _use(self, client: LineClient, until: Callable[[], bool]) -> None:
        while not until():
            if not await self._run(client):
                return
            await asyncio.sleep(PAUSE)

    async def _started(self, place: int) -> LineClient | None:
        client: LineClient | None = None
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(ANSWER_SECONDS):
                client = await LineClient.connect(self._world.nodes[place].callers.port)
                if (await client.start(self._rng.choice(ROUTES), HOT_KEY)).state == "I":
                    return client
        if client is not None:
            client.close()
        return None

    async def _run(self, client: LineClient) -> bool:
        """Send one operation; return whether the session is of further use."""
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
    """The worst span of a tenant. `begin`: steady clock, seconds."""

    begin: float
    operations: int


def worst_span(sent: dict[str, float], runs: Iterable[RunRecord]) -> Span:
    """Return the span in which most operations were both sent and run, further runs included."""
    found = sorted((sent[run.identifier], run.time) for run in runs if run.identifier in sent)
    worst = Span(0.0, 0)
    for place, (begin, _) in enumerate(found):
        end = bisect_right(found, begin + SPAN, key=lambda pair: pair[0])
        ran = sum(time <= begin + SPAN for _, time in found[place:end])
        worst = max(worst, Span(begin, ran), key=lambda span: span.operations)
    return worst


def told(sent: dict[str, float], runs: list[RunRecord], limit: RateLimit) -> str:
    """Return in a line what the tenant got at most, for the reader of a run."""
    worst = worst_span(sent, runs).operations
    return f"limit {limit.rate:.0f}/{limit.burst:.0f}: {worst} of {allowed(limit):.0f} in {SPAN} s"


def problems(sent: dict[str, float], runs: list[RunRecord], limit: RateLimit) -> Iterator[str]:
    """Yield what broke: more than the limit, or a connection of another tenant's."""
    worst = worst_span(sent, runs)
    if worst.operations > allowed(limit):
        yield f"QUOTA: {worst.operations} in {SPAN} s where {allowed(limit):.0f} are allowed"
    for run in runs:
        tenant = HOT if run.identifier in sent else USUAL_KEY
        if run.tenant != tenant and run.identifier != "-":
            yield f"{NOT_ITS_OWN}: {run.identifier} of {tenant} ran for {run.tenant}"


async def call_beside(callers: HotCallers, series: Awaitable[list[str]]) -> list[str]:
    """Let the hot tenant's callers call until the faults are over; return what was played."""
    is_over = False
    calling = asyncio.ensure_future(callers.call(lambda: is_over))
    try:
        return await series
    finally:
        is_over = True
        await calling


@asynccontextmanager
async def changed_limit(world: Deployment, rng: random.Random) -> AsyncIterator[None]:
    """The hot tenant's limit falls, and rises again."""
    usual = world.limit
    assert usual is not None
    lower = RateLimit(usual.rate * rng.choice((0.0, 0.3, 0.7)), usual.burst)
    world.limit = lower
    world.configure(world.routes)
    yield
    world.limit = usual
    world.configure(world.routes)


TENANT_FAULTS: dict[str, Any] = {changed_limit.__name__: changed_limit}
"""Played only where there are tenants: what a seed chooses else stays as it is."""
