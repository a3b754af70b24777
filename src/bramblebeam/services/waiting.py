"""The steady clock, and waits of loops that look again after a while or when something happened."""

from __future__ import annotations

import asyncio


def loop_time() -> float:
    """Return the steady clock of the running loop (seconds)."""
    return asyncio.get_running_loop().time()


async def wait_at_most(event: asyncio.Event, seconds: float) -> bool:
    """Wait until `event` is set, for at most `seconds`; return whether it was. It stays set."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        # The time is over, which is what the caller asked to be told.
        return False
    return True


async def pause(event: asyncio.Event, seconds: float) -> None:
    """Wait as `wait_at_most`, and clear the event for the next pause."""
    await wait_at_most(event, seconds)
    event.clear()
