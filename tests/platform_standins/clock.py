"""A frozen event loop clock, as a coarse clock appears between two ticks."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def frozen_clock() -> Iterator[None]:
    """Freeze the running loop's clock; no timer may fire meanwhile."""
    loop = asyncio.get_running_loop()
    reading = loop.time()
    loop.time = lambda: reading  # type: ignore[method-assign]
    try:
        yield
    finally:
        del loop.time
