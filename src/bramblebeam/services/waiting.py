"""The event loop's monotonic clock, and timed waits for an event."""

from __future__ import annotations

import asyncio


def loop_time() -> float:
    """Return the time of the running loop's monotonic clock (seconds)."""
    return asyncio.get_running_loop().time()


async def wait_at_most(event: asyncio.Event, seconds: float) -> bool:
    """Wait for `event` for at most `seconds`; return whether it was set. Does not clear it."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        # The return value reports the timeout.
        return False
    return True


async def pause(event: asyncio.Event, seconds: float) -> None:
    """Wait like `wait_at_most`, then clear the event for the next pause."""
    await wait_at_most(event, seconds)
    event.clear()
