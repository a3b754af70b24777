"""Makes every clock and random source of this process deterministic, based on one seed.

Only for a process that runs one simulation and then exits: the replacements are not undone.
"""

import os
import random
import time
from collections.abc import Sequence
from typing import Any

import aiohttp.connector

from bramblebeam.lab.simulator.loop import VirtualLoop
from bramblebeam.lab.simulator.transports import SocketInfo

START_TIMESTAMP = 1_700_000_000.0
"""Wall-clock time at the start of a simulation (seconds since 1970)."""
NANOSECONDS = 1_000_000_000


def make_deterministic(loop: VirtualLoop, seed: int) -> None:
    """Replace the clocks, the random sources and aiohttp's creation of sockets."""
    _replace_clocks(loop)
    _replace_random(seed)
    connector: Any = aiohttp.connector
    connector.aiohappyeyeballs.start_connection = _start_connection


def _replace_clocks(loop: VirtualLoop) -> None:
    time.monotonic = loop.time
    time.time = lambda: START_TIMESTAMP + loop.now
    time.time_ns = lambda: int((START_TIMESTAMP + loop.now) * NANOSECONDS)


def _replace_random(seed: int) -> None:
    source = random.Random(seed)
    original_seed = random.Random.seed

    def seed_from_source(self: random.Random, a: Any = None, version: int = 2) -> None:
        original_seed(self, source.getrandbits(64) if a is None else a, version)

    random.Random.seed = seed_from_source  # type: ignore[method-assign]
    os.urandom = source.randbytes
    random._urandom = source.randbytes  # type: ignore[attr-defined]


async def _start_connection(addr_infos: Sequence[Any], **options: Any) -> SocketInfo:
    """Return a placeholder for the socket that aiohttp would open; `connect` opens the stream."""
    host, port = addr_infos[0][4][:2]
    return SocketInfo((host, port))
