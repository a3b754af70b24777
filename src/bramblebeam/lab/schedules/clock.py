"""A virtual clock, and a network with delays, loss and cuts."""

import heapq
import random
from collections.abc import Callable
from itertools import count

MIN_DELAY_SECONDS = 0.0005


class VirtualClock:
    """Event queue in virtual time: runs scheduled calls in time order (seconds)."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()

    def call_later(self, delay: float, call: Callable[[], None]) -> None:
        """Schedule `call` after `delay` seconds."""
        heapq.heappush(self._queue, (self.now + delay, next(self._order), call))

    def run(self, seconds: float) -> None:
        """Advance the clock and run the calls that become due."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self._queue)
            call()
        self.now = end


class Network:
    """Delays and losses of messages, all drawn from `source`."""

    def __init__(self, source: random.Random) -> None:
        self.healed = False
        self.cut: set[frozenset[str]] = set()
        self._random = source
        self._loss_rate = source.choice((0.0, 0.0, 0.05, 0.2))
        self._reply_loss_rate = source.choice((0.0, 0.1, 0.3))
        self._max_delay = source.choice((0.002, 0.02))

    def delay(self) -> float:
        """Draw the latency of the next message (seconds)."""
        return self._random.uniform(MIN_DELAY_SECONDS, self._max_delay)

    def command_delay(self) -> float:
        """Draw the latency of a command (seconds); 2% are seconds late until the network heals."""
        late = not self.healed and self._random.random() < 0.02
        return self._random.uniform(0.5, 4.0) if late else self.delay()

    def draw_loss(self, one: str, other: str) -> bool:
        """Draw whether the next message between two participants is lost."""
        if frozenset((one, other)) in self.cut:
            return True
        return not self.healed and self._random.random() < self._loss_rate

    def draw_reply_loss(self) -> bool:
        """Draw whether the reply to an executed command is lost."""
        return not self.healed and self._random.random() < self._reply_loss_rate

    def heal(self) -> None:
        """End all cuts and stop losing messages."""
        self.healed = True
        self.cut.clear()
