"""Virtual clock with a queue of scheduled calls."""

import heapq
from collections.abc import Callable
from itertools import count


class VirtualClock:
    """Runs calls in order of their time (seconds), and calls at equal times in scheduling order."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()

    def after(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule a call after `delay` seconds."""
        heapq.heappush(self._queue, (self.now + delay, next(self._sequence), call))

    def run_until(self, end: float) -> None:
        """Run every call that is due up to `end`."""
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end
