"""Grants the slots of one instance to the statements that request them.

A slot is the right to use one database connection. Each service has its own slots, and may borrow
idle ones up to its burst limit. A free slot goes first to a service that holds fewer than its own
slots, so a service gets a borrowed slot back as soon as one is free. Among services in the same
position, the one with the lowest utilization comes first.
"""

from bramblebeam.core.identity import ServiceId
from bramblebeam.core.pool.events import (
    Arrived,
    Closed,
    Finished,
    Grant,
    LimitsChanged,
    OccupiedChanged,
    Opened,
    Refuse,
    Withdrawn,
)
from bramblebeam.core.pool.limits import InstanceLimits, ServiceLimit
from bramblebeam.core.pool.queue import ServiceQueue, WaitingStatement
from bramblebeam.core.verdict import Reason

NO_LIMIT = ServiceLimit(slots=0, burst=0, queue=0, queue_wait=0.0, deadline=0.0)
MIN_RETRY_MS = 50
MAX_RETRY_MS = 10_000
CONFIGURATION_RETRY_MS = 1_000
HOLD_SMOOTHING = 0.1
INITIAL_HOLD_ESTIMATE = 0.01
"""Assumed time that a statement holds its slot, before any was measured (seconds)."""

Effect = Grant | Refuse


class SlotMachine:
    """The slots of one instance, as a pure state machine (see `core/machine.py`)."""

    def __init__(self, limits: InstanceLimits | None = None) -> None:
        self.limits = limits or InstanceLimits()
        self.is_open = False
        self.in_use = 0
        self.occupied = 0
        self._total = self.limits.total
        self._closed_reason = Reason.NOT_OWNER
        self._queues: dict[ServiceId, ServiceQueue] = {}
        self._granted: dict[int, tuple[ServiceQueue, float]] = {}
        self._hold_estimate = INITIAL_HOLD_ESTIMATE

    @property
    def total(self) -> int:
        """Number of slots that the configuration gives to the instance."""
        return self._total

    @property
    def free(self) -> int:
        """Number of unused slots (negative if the limits shrank below current use)."""
        return self._total - self.in_use - self.occupied

    def used_by(self, service: ServiceId) -> int:
        """Return how many slots the service holds, including borrowed ones."""
        queue = self._queues.get(service)
        return queue.used if queue else 0

    def waiting_of(self, service: ServiceId) -> int:
        """Return how many statements of the service wait for a slot."""
        queue = self._queues.get(service)
        return len(queue) if queue else 0

    @property
    def borrowed(self) -> int:
        """Number of slots that services hold beyond their own."""
        return sum(max(0, queue.used - queue.limit.slots) for queue in self._queues.values())

    def handle(self, event: object, now: float) -> list[Effect]:
        """Process one event at `now` (seconds); return grants and refusals."""
        match event:
            case Arrived():
                return self._arrived(event, now)
            case Finished():
                return self._finished(event, now)
            case Withdrawn():
                return self._withdrawn(event, now)
            case LimitsChanged():
                return self._limits_changed(event, now)
            case Closed():
                return self._closed(event)
            case OccupiedChanged():
                self.occupied = event.connections
            case Opened():
                self.is_open = True
        return self._expire(now) + self._grant_free(now)

    def next_wakeup(self) -> float | None:
        """Return when the next queued statement gives up (seconds), or None."""
        times = [queue.next_expiry for queue in self._queues.values() if len(queue)]
        return min(times, default=None)

    def _arrived(self, event: Arrived, now: float) -> list[Effect]:
        if not self.is_open:
            return [Refuse(event.ticket, self._closed_reason, MIN_RETRY_MS)]
        queue = self._queue(event.service)
        if queue.limit.max_slots == 0:
            return [Refuse(event.ticket, Reason.NO_CONFIGURATION, CONFIGURATION_RETRY_MS)]
        if self.free > 0 and not len(queue) and queue.used < queue.limit.max_slots:
            return [self._grant(queue, event.ticket, now)]
        expired = self._expire(now)
        if len(queue) >= queue.limit.queue:
            return [*expired, Refuse(event.ticket, Reason.QUEUE_FULL, self._retry_ms(queue))]
        if event.wait_until <= now:
            return [*expired, Refuse(event.ticket, Reason.QUEUE_TIMEOUT, self._retry_ms(queue))]
        queue.add(WaitingStatement(event.ticket, event.wait_until))
        return expired

    def _finished(self, event: Finished, now: float) -> list[Effect]:
        self._release(event.ticket, now)
        if not self._any_waiting():
            return []
        return self._expire(now) + self._grant_free(now)

    def _withdrawn(self, event: Withdrawn, now: float) -> list[Effect]:
        if event.ticket in self._granted:
            return self._finished(Finished(event.ticket), now)
        for queue in self._queues.values():
            if queue.remove(event.ticket):
                break
        return []

    def _limits_changed(self, event: LimitsChanged, now: float) -> list[Effect]:
        self.limits = event.limits
        self._total = event.limits.total
        refused: list[Effect] = []
        for service, queue in list(self._queues.items()):
            queue.limit = event.limits.services.get(service, NO_LIMIT)
            refused.extend(self._refuse_excess(queue))
            if not queue.used and not len(queue):
                del self._queues[service]
        return refused + self._expire(now) + self._grant_free(now)

    def _refuse_excess(self, queue: ServiceQueue) -> list[Effect]:
        """Refuse the newest statements that exceed the queue's new limit."""
        refused: list[Effect] = []
        while len(queue) > queue.limit.queue:
            newest = queue.pop_newest()
            refused.append(Refuse(newest.ticket, Reason.QUEUE_FULL, self._retry_ms(queue)))
        return refused

    def _closed(self, event: Closed) -> list[Effect]:
        self.is_open = False
        self._closed_reason = event.reason
        refused: list[Effect] = []
        for queue in self._queues.values():
            while len(queue):
                refused.append(Refuse(queue.pop().ticket, event.reason, MIN_RETRY_MS))
        return refused

    def _queue(self, service: ServiceId) -> ServiceQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = ServiceQueue(self.limits.services.get(service, NO_LIMIT))
            if queue.limit.max_slots:
                self._queues[service] = queue
        return queue

    def _grant(self, queue: ServiceQueue, ticket: int, now: float) -> Grant:
        queue.used += 1
        self.in_use += 1
        self._granted[ticket] = (queue, now)
        return Grant(ticket)

    def _release(self, ticket: int, now: float) -> None:
        granted = self._granted.pop(ticket, None)
        if granted is None:
            return
        queue, since = granted
        queue.used -= 1
        self.in_use -= 1
        self._hold_estimate += HOLD_SMOOTHING * (now - since - self._hold_estimate)

    def _grant_free(self, now: float) -> list[Effect]:
        granted: list[Effect] = []
        while self.is_open and self.free > 0:
            queue = self._next_queue()
            if queue is None:
                break
            granted.append(self._grant(queue, queue.pop().ticket, now))
        return granted

    def _next_queue(self) -> ServiceQueue | None:
        """Return the queue whose oldest statement gets the next free slot."""
        eligible = [
            queue
            for queue in self._queues.values()
            if len(queue) and queue.used < queue.limit.max_slots
        ]
        return min(eligible, key=ServiceQueue.precedence, default=None)

    def _any_waiting(self) -> bool:
        return any(len(queue) for queue in self._queues.values())

    def _expire(self, now: float) -> list[Effect]:
        refused: list[Effect] = []
        for queue in self._queues.values():
            if len(queue) and queue.next_expiry <= now:
                refused.extend(
                    Refuse(statement.ticket, Reason.QUEUE_TIMEOUT, self._retry_ms(queue))
                    for statement in queue.pop_expired(now)
                )
        return refused

    def _retry_ms(self, queue: ServiceQueue) -> int:
        """Estimate when the currently queued statements will have been served (milliseconds)."""
        rounds = (len(queue) + 1) / max(1, queue.limit.slots)
        estimate = int(rounds * self._hold_estimate * 1000)
        return min(MAX_RETRY_MS, max(MIN_RETRY_MS, estimate))
