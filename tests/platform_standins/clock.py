"""A clock of the event loop that stands still, as a coarse one does between two steps."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def standing_clock() -> Iterator[None]:
    """Let every reading of the running loop's clock be the same. No timer fires meanwhile."""
    loop = asyncio.get_running_loop()
    reading = loop.time()
    loop.time = lambda: reading  # type: ignore[method-assign]
    try:
        yield
    finally:
        del loop.time
