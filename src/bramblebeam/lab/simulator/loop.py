"""An asyncio event loop in virtual time: its clock jumps to the next timer instead of waiting."""

from __future__ import annotations

import asyncio
import contextvars
import heapq
import selectors
from collections import Counter
from collections.abc import Callable, Coroutine, Iterable, Sequence
from typing import TYPE_CHECKING, Any

from bramblebeam.lab.simulator.hosts import CURRENT_HOST, Host

if TYPE_CHECKING:
    from bramblebeam.lab.simulator.network import Network

START_TIME = 1_000.0
"""Value of the loop's clock at the start of a simulation (seconds)."""
CLOCK_RESOLUTION = 1e-9
STALL_SAMPLE_ITERATIONS = 500
"""Iterations whose callbacks are counted before a stall is reported."""
MAX_ITERATIONS_PER_SECOND = 60_000
"""Loop iterations per second of virtual time above which a simulation counts as stalled."""


class SimulationStalledError(Exception):
    """Virtual time no longer advances: all tasks are blocked, or callbacks run in a busy loop."""


class _Selector(selectors.SelectSelector):
    """Selector that never reports I/O events; it advances virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.advance: Callable[[float], None] = lambda seconds: None
        self._iterations = 0
        self._second = 0.0
        self._callback_counts: Counter[str] = Counter()
        self.ready: Callable[[], Iterable[asyncio.Handle]] = tuple

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise SimulationStalledError("deadlock: no timer is scheduled and no callback is ready")
        self._second += timeout
        self._iterations += 1
        if self._iterations > MAX_ITERATIONS_PER_SECOND:
            self._sample_callbacks()
        if self._second >= 1.0:
            self._second = 0.0
            self._iterations = 0
        self.advance(timeout)
        return []

    def _sample_callbacks(self) -> None:
        """Count the callbacks that run, then raise SimulationStalledError with the most common."""
        self._callback_counts.update(_description(handle) for handle in self.ready())
        if self._iterations > MAX_ITERATIONS_PER_SECOND + STALL_SAMPLE_ITERATIONS:
            most_common = ", ".join(
                f"{name} {count}" for name, count in self._callback_counts.most_common(4)
            )
            raise SimulationStalledError(f"busy loop without progress of time: {most_common}")


def _description(handle: asyncio.Handle) -> str:
    """Return a handle's host and callback; for a task, the innermost functions of its stack."""
    callback: Any = handle._callback  # type: ignore[attr-defined]
    host = handle._context.get(CURRENT_HOST)  # type: ignore[attr-defined]
    location = host.name if host else "network"
    task = getattr(callback, "__self__", None)
    if not isinstance(task, asyncio.Task):
        return f"{location} {getattr(callback, '__qualname__', repr(callback))}"
    names = []
    work: Any = task.get_coro()
    while hasattr(work, "cr_code"):
        names.append(work.cr_code.co_qualname)
        work = work.cr_await
    return f"{location} {' > '.join(names[-3:])}"


def _is_suspended(handle: asyncio.Handle) -> bool:
    """Whether a handle must not run now: its host is dead, or paused and defers the handle."""
    context: contextvars.Context = handle._context  # type: ignore[attr-defined]
    host = context.get(CURRENT_HOST)
    if host is None or (host.alive and not host.paused):
        return False
    if host.alive:
        host.deferred.append(handle)
    return True


class _Handle(asyncio.Handle):
    def _run(self) -> None:
        if not _is_suspended(self):
            super()._run()


class _TimerHandle(asyncio.TimerHandle):
    def _run(self) -> None:
        if not _is_suspended(self):
            super()._run()


class VirtualLoop(asyncio.SelectorEventLoop):
    """The event loop of a simulation.

    Code that runs as a host reads that host's clock. Connections and sockets are opened on
    `network`.
    """

    def __init__(self) -> None:
        selector = _Selector()
        super().__init__(selector)
        selector.advance = self._advance
        selector.ready = lambda: self._ready  # type: ignore[attr-defined]
        self.network: Network | None = None
        self.now = START_TIME
        self._clock_resolution = CLOCK_RESOLUTION
        self.set_task_factory(_make_task)  # type: ignore[arg-type]
        self.set_exception_handler(lambda loop, context: None)

    def _advance(self, seconds: float) -> None:
        """Advance the clock to the next timer, or by `seconds` if the timers were cancelled."""
        self.now += seconds
        timers = self._scheduled  # type: ignore[attr-defined]
        if timers and seconds > 0:
            self.now = max(self.now, min(timers[0]._when, self.now + CLOCK_RESOLUTION))

    def time(self) -> float:
        """Return the current host's clock (seconds)."""
        host = CURRENT_HOST.get()
        return self.now if host is None else host.clock(self.now)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a call at a time of the current host's clock."""
        host = CURRENT_HOST.get()
        moment = when if host is None else host.timer(when, self.now)
        timer = _TimerHandle(moment, callback, args, self, context)
        heapq.heappush(self._scheduled, timer)  # type: ignore[attr-defined]
        timer._scheduled = True  # type: ignore[attr-defined]
        return timer

    def call_later(  # type: ignore[override]
        self,
        delay: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a call after `delay` seconds of the current host's clock."""
        return self.call_at(self.time() + delay, callback, *args, context=context)

    def _call_soon(
        self,
        callback: Callable[..., Any],
        args: Sequence[Any],
        context: contextvars.Context | None,
    ) -> asyncio.Handle:
        handle = _Handle(callback, args, self, context)
        self._ready.append(handle)  # type: ignore[attr-defined]
        return handle

    def resume(self, host: Host) -> None:
        """Resume a paused host and run the callbacks that were deferred."""
        host.paused = False
        deferred, host.deferred = host.deferred, []
        self._ready.extend(deferred)  # type: ignore[attr-defined]

    async def create_connection(self, *args: Any, **options: Any) -> Any:
        """Open a stream over the simulated network."""
        assert self.network is not None
        return await self.network.connect(*args, **options)

    async def create_server(self, *args: Any, **options: Any) -> Any:
        """Listen on the simulated network."""
        assert self.network is not None
        return self.network.listen(*args, **options)

    async def create_datagram_endpoint(self, *args: Any, **options: Any) -> Any:
        """Open a datagram socket on the simulated network."""
        assert self.network is not None
        return self.network.open_datagrams(*args, **options)

    def run_in_executor(  # type: ignore[override]
        self, executor: Any, func: Callable[..., Any], *args: Any
    ) -> Any:
        """Call the function synchronously: the simulation has no threads."""
        future = self.create_future()
        future.set_result(func(*args))
        return future


def _make_task(
    loop: asyncio.AbstractEventLoop,
    work: Coroutine[Any, Any, Any],
    context: contextvars.Context | None = None,
) -> asyncio.Task[Any]:
    """Create a task and keep a reference to it in its host.

    The garbage collector would otherwise close the coroutines of a dead host and run their cleanup.
    """
    task: asyncio.Task[Any] = asyncio.Task(work, loop=loop, context=context)
    host = CURRENT_HOST.get()
    if host is not None:
        host.tasks.add(task)
        task.add_done_callback(lambda done: host.tasks.discard(done) if host.alive else None)
    return task
