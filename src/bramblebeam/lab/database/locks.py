"""Named locks of one member (GET_LOCK and its kin). They are not replicated."""

import asyncio


class NamedLocks:
    """Which connection holds which lock; a connection may take one lock several times."""

    def __init__(self) -> None:
        self._holders: dict[str, tuple[int, int]] = {}
        self._changed = asyncio.Event()

    def take(self, name: str, connection: int) -> bool:
        """Take a lock if it is free or the connection's own."""
        holder, count = self._holders.get(name, (connection, 0))
        if holder != connection:
            return False
        self._holders[name] = (connection, count + 1)
        return True

    def release(self, name: str, connection: int) -> int | None:
        """Return 1 for a lock that was the connection's, 0 for another's, None for none."""
        if name not in self._holders:
            return None
        holder, count = self._holders[name]
        if holder != connection:
            return 0
        if count > 1:
            self._holders[name] = (holder, count - 1)
        else:
            del self._holders[name]
            self._tell()
        return 1

    def release_all(self, connection: int) -> None:
        """Free every lock of a connection that has ended."""
        for name in [n for n, (holder, _) in self._holders.items() if holder == connection]:
            del self._holders[name]
        self._tell()

    def holder(self, name: str) -> int | None:
        """Return the connection that holds the lock."""
        held = self._holders.get(name)
        return held[0] if held is not None else None

    async def wait_free(self, name: str, connection: int, timeout: float) -> None:
        """Return when the lock is free or the connection's, or after `timeout` seconds."""
        try:
            async with asyncio.timeout(timeout):
                while self.holder(name) not in (None, connection):
                    await self._changed.wait()
        except TimeoutError:
            return

    def _tell(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
