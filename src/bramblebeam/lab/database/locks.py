"""Named locks of one member (GET_LOCK, RELEASE_LOCK, ...). They are not replicated."""

import asyncio


class NamedLocks:
    """Reentrant named locks, each held by one connection."""

    def __init__(self) -> None:
        self._holders: dict[str, tuple[int, int]] = {}
        self._changed = asyncio.Event()

    def take(self, name: str, connection: int) -> bool:
        """Take a lock if no other connection holds it; return whether it was taken."""
        holder, count = self._holders.get(name, (connection, 0))
        if holder != connection:
            return False
        self._holders[name] = (connection, count + 1)
        return True

    def release(self, name: str, connection: int) -> int | None:
        """Return 1 if the lock was released, 0 if another connection holds it, None if free."""
        if name not in self._holders:
            return None
        holder, count = self._holders[name]
        if holder != connection:
            return 0
        if count > 1:
            self._holders[name] = (holder, count - 1)
        else:
            del self._holders[name]
            self._notify_waiters()
        return 1

    def release_all(self, connection: int) -> None:
        """Release every lock that the connection holds."""
        for name in [n for n, (holder, _) in self._holders.items() if holder == connection]:
            del self._holders[name]
        self._notify_waiters()

    def holder(self, name: str) -> int | None:
        """Return the connection that holds the lock, or None."""
        entry = self._holders.get(name)
        return entry[0] if entry is not None else None

    async def wait_free(self, name: str, connection: int, timeout: float) -> None:
        """Wait until the lock is free or held by the connection, at most `timeout` seconds."""
        try:
            async with asyncio.timeout(timeout):
                while self.holder(name) not in (None, connection):
                    await self._changed.wait()
        except TimeoutError:
            return

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
