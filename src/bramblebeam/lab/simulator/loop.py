"""An asyncio event loop in virtual time: it never waits, and its clock jumps to the next event."""

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

FIRST_TIME = 1_000.0
"""The clock at the start of a simulation (seconds)."""
CLOCK_RESOLUTION = 1e-9
WATCHED_ROUNDS = 500
MOST_ROUNDS_A_SECOND = 60_000
"""Rounds of the loop in one second of its time, above which a simulation counts as stalled."""


class SimulationStalledError(Exception):
    """Time does not go on: nothing can happen any more, or something happens without end."""


class _Selector(selectors.SelectSelector):
    """Has no events ever; time passes in its place."""

    def __init__(self) -> None:
        super().__init__()
        self.advance: Callable[[float], None] = lambda seconds: None
        self._rounds = 0
        self._second = 0.0
        self._seen: Counter[str] = Counter()
        self.ready: Callable[[], Iterable[asyncio.Handle]] = tuple

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise SimulationStalledError("every task waits for another one")
        self._second += timeout
        self._rounds += 1
        if self._rounds > MOST_ROUNDS_A_SECOND:
            self._watch()
        if self._second >= 1.0:
            self._second = 0.0
            self._rounds = 0
        self.advance(timeout)
        return []

    def _watch(self) -> None:
        """See for a while what runs again and again, then give up."""
        self._seen.update(_description(handle) for handle in self.ready())
        if self._rounds > MOST_ROUNDS_A_SECOND + WATCHED_ROUNDS:
            often = ", ".join(f"{name} {count}" for name, count in self._seen.most_common(4))
            raise SimulationStalledError(f"again and again without a pause: {often}")


def _description(handle: asyncio.Handle) -> str:
    """Name a handle's host and code: for a task, the functions that it is in."""
    callback: Any = handle._callback  # type: ignore[attr-defined]
    host = handle._context.get(CURRENT_HOST)  # type: ignore[attr-defined]
    place = host.name if host else "network"
    task = getattr(callback, "__self__", None)
    if not isinstance(task, asyncio.Task):
        return f"{place} {getattr(callback, '__qualname__', repr(callback))}"
    names = []
    work: Any = task.get_coro()
    while hasattr(work, "cr_code"):
        names.append(work.cr_code.co_qualname)
        work = work.cr_await
    return f"{place} {' > '.join(names[-3:])}"


def _is_held(handle: asyncio.Handle) -> bool:
    """Whether the handle's host can't run it: it is dead, or paused, and then takes it later."""
    context: contextvars.Context = handle._context  # type: ignore[attr-defined]
    host = context.get(CURRENT_HOST)
    if host is None or (host.alive and not host.paused):
        return False
    if host.alive:
        host.deferred.append(handle)
    return True


class _Handle(asyncio.Handle):
    def _run(self) -> None:
        if not _is_held(self):
            super()._run()


class _TimerHandle(asyncio.TimerHandle):
    def _run(self) -> None:
        if not _is_held(self):
            super()._run()


class VirtualLoop(asyncio.SelectorEventLoop):
    """The loop. Code of a host sees that host's clock; network calls go to `network`."""

    def __init__(self) -> None:
        selector = _Selector()
        super().__init__(selector)
        selector.advance = self._advance
        selector.ready = lambda: self._ready  # type: ignore[attr-defined]
        self.network: Network | None = None
        self.now = FIRST_TIME
        self._clock_resolution = CLOCK_RESOLUTION
        self.set_task_factory(_make_task)  # type: ignore[arg-type]
        self.set_exception_handler(lambda loop, context: None)

    def _advance(self, seconds: float) -> None:
        """Go to the next timer, or by `seconds` where timers were cancelled meanwhile."""
        self.now += seconds
        timers = self._scheduled  # type: ignore[attr-defined]
        if timers and seconds > 0:
            self.now = max(self.now, min(timers[0]._when, self.now + CLOCK_RESOLUTION))

    def time(self) -> float:
        """Return the running host's clock (seconds)."""
        host = CURRENT_HOST.get()
        return self.now if host is None else host.clock(self.now)

    def call_at(  # type: ignore[override]
        self,
        when: float,
        callback: Callable[..., Any],
        *args: Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Call at a time of the running host's clock."""
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
        """Call after `delay` seconds of the running host's clock."""
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
        """Let a paused host run what came meanwhile."""
        host.paused = False
        deferred, host.deferred = host.deferred, []
        self._ready.extend(deferred)  # type: ignore[attr-defined]

    async def create_connection(self, *args: Any, **options: Any) -> Any:
        """Connect over the simulated network."""
        assert self.network is not None
        return await self.network.connect(*args, **options)

    async def create_server(self, *args: Any, **options: Any) -> Any:
        """Listen on the simulated network."""
        assert self.network is not None
        return self.network.listen(*args, **options)

    async def create_datagram_endpoint(self, *args: Any, **options: Any) -> Any:
        """Open a datagram socket of the simulated network."""
        assert self.network is not None
        return self.network.open_datagrams(*args, **options)

    def run_in_executor(  # type: ignore[override]
        self, executor: Any, func: Callable[..., Any], *args: Any
    ) -> Any:
        """Call at once: there are no threads."""
        future = self.create_future()
        future.set_result(func(*args))
        return future


def _make_task(
    loop: asyncio.AbstractEventLoop,
    work: Coroutine[Any, Any, Any],
    context: contextvars.Context | None = None,
) -> asyncio.Task[Any]:
    """Keep a host's tasks: those of a dead host must not be finished by the garbage collector."""
    task: asyncio.Task[Any] = asyncio.Task(work, loop=loop, context=context)
    host = CURRENT_HOST.get()
    if host is not None:
        host.tasks.add(task)
        task.add_done_callback(lambda done: host.tasks.discard(done) if host.alive else None)
    return task
