"""Virtual time, and a network that delays, loses and cuts."""

import heapq
import random
from collections.abc import Callable
from itertools import count

SHORTEST_DELAY = 0.0005


class VirtualClock:
    """Carries calls out in the order of their times (seconds)."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def at(self, delay: float, call: Callable[[], None]) -> None:
        """Carry `call` out after `delay`."""
        heapq.heappush(self._queue, (self.now + delay, next(self._order), call))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end


class Network:
    """What happens to messages; all of it is drawn from `source`."""

    def __init__(self, source: random.Random) -> None:
        self.healed = False
        self.cut: set[frozenset[str]] = set()
        self._random = source
        self._drop = source.choice((0.0, 0.0, 0.05, 0.2))
        self._lose_answer = source.choice((0.0, 0.1, 0.3))
        self._slowest = source.choice((0.002, 0.02))

    def delay(self) -> float:
        """Return the time that the next message takes (seconds)."""
        return self._random.uniform(SHORTEST_DELAY, self._slowest)

    def command_delay(self) -> float:
        """Return the time that a command takes; some come seconds late."""
        late = not self.healed and self._random.random() < 0.02
        return self._random.uniform(0.5, 4.0) if late else self.delay()

    def loses(self, one: str, other: str) -> bool:
        """Whether the next message between the two is lost."""
        if frozenset((one, other)) in self.cut:
            return True
        return not self.healed and self._random.random() < self._drop

    def loses_answer(self) -> bool:
        """Whether the answer to a command that was carried out is lost."""
        return not self.healed and self._random.random() < self._lose_answer

    def heal(self) -> None:
        """Lose nothing more."""
        self.healed = True
        self.cut.clear()
