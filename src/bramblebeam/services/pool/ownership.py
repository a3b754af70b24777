"""Runs one instance's claim: performs the effects of the claim state machine."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from bramblebeam.core.identity import InstanceSpec, NodeId
from bramblebeam.core.machine import Wakeup
from bramblebeam.core.ownership.claim import LEASE_SECONDS, ClaimMachine
from bramblebeam.core.ownership.events import (
    AnswerRelease,
    CloseControl,
    CloseSlots,
    ControlLost,
    ControlOpened,
    CutSlots,
    Evict,
    Evicted,
    LockReleased,
    OpenControl,
    OpenSlots,
    ReleaseAnswered,
    ReleaseLock,
    ReleaseRequested,
    ReleaseUnanswered,
    RequestRelease,
    SlotsClosed,
    Stopping,
    Sweep,
    Swept,
    TryLock,
    WantedChanged,
)
from bramblebeam.core.ownership.messages import ReleaseReply, ReleaseRequest
from bramblebeam.edges.backend import BackendError
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    POOL_HOLDER_EVICTED,
    POOL_OWNERSHIP_LOST,
    POOL_OWNERSHIP_RELEASED,
    POOL_OWNERSHIP_TAKEN,
    POOL_REQUEST_FAILED,
)
from bramblebeam.services.pool.control import ControlConnection
from bramblebeam.services.transport.messages import PeerFailure
from bramblebeam.settings.model import BackendSettings

logger = logging.getLogger(__name__)

RETAINED_GRACE_MS = 30_000
"""How long a new owner leaves retained connections open (milliseconds)."""


class SlotOwner(Protocol):
    """The claim's operations on the instance's slots."""

    def open_slots(self, control: ControlConnection, opened: OpenSlots) -> None:
        """Open slots under this epoch."""

    async def close_slots(self) -> frozenset[int]:
        """Accept no new work; return the ids of the connections still in use."""

    def cut_slots(self) -> None:
        """Close every connection immediately."""

    def record_owner(self, owner: NodeId) -> None:
        """Record that another node owns the instance, after a handover or a refused release."""


RequestPeer = Callable[[NodeId, Any, float], Awaitable[Any]]


class OwnershipClaim:
    """Runs one instance's claim; `run` is its task."""

    def __init__(
        self,
        spec: InstanceSpec,
        node: NodeId,
        settings: BackendSettings,
        slots: SlotOwner,
        request_peer: RequestPeer,
    ) -> None:
        self.spec = spec
        self.machine = ClaimMachine(node, spec.instance)
        self._node = node
        self._settings = settings
        self._slots = slots
        self._request_peer = request_peer
        self._control: ControlConnection | None = None
        self._events: asyncio.Queue[object] = asyncio.Queue()
        self._requester = node
        self._release_waiters: list[asyncio.Future[ReleaseReply]] = []
        self._operations: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()

    def taking_over(self) -> bool:
        """Whether the back end responds, so that a wanted instance will soon be owned."""
        return not self.machine.control_failed

    def set_wanted(self, wanted: bool) -> None:
        """Set whether the member table assigns the instance to this node."""
        self._events.put_nowait(WantedChanged(wanted))

    def stop_claiming(self) -> None:
        """Stop claiming the instance, and hand it over on request."""
        self._events.put_nowait(Stopping())

    def notify_control_lost(self) -> None:
        """Report that the control connection is lost."""
        self._events.put_nowait(ControlLost())

    def release_unrequested(self) -> None:
        """Release the instance without a request from a peer."""
        self._events.put_nowait(WantedChanged(False))
        self._events.put_nowait(ReleaseRequested(self._node, 0))

    async def release(self, request: ReleaseRequest) -> ReleaseReply:
        """Hand the instance over if this node holds it and the requester should own it."""
        waiter: asyncio.Future[ReleaseReply] = self._loop.create_future()
        self._release_waiters.append(waiter)
        self._requester = request.requester
        self._events.put_nowait(ReleaseRequested(request.requester, request.epoch))
        return await waiter

    async def run(self) -> None:
        """Process events until cancelled; then cut all connections."""
        try:
            while True:
                event = await self._next_event()
                for effect in self.machine.handle(event, self._loop.time()):
                    self._perform(effect)
        finally:
            for operation in self._operations:
                operation.cancel()
            self._slots.cut_slots()
            self._close_control()

    async def _next_event(self) -> object:
        wakeup = self.machine.next_wakeup()
        if wakeup is None:
            return await self._events.get()
        try:
            async with asyncio.timeout_at(wakeup):
                return await self._events.get()
        except TimeoutError:
            return Wakeup()

    def _perform(self, effect: object) -> None:
        match effect:
            case OpenSlots():
                assert self._control is not None
                log_event(
                    logger,
                    POOL_OWNERSHIP_TAKEN,
                    instance=self.spec.instance,
                    epoch=effect.epoch,
                    retained=len(effect.retained),
                )
                self._slots.open_slots(self._control, effect)
            case CutSlots():
                log_event(logger, POOL_OWNERSHIP_LOST, instance=self.spec.instance)
                self._slots.cut_slots()
                self._close_control()
            case CloseControl():
                self._close_control()
            case AnswerRelease():
                self._answer_release(effect)
            case _:
                self._start(self._operate(effect))

    def _start(self, operation: Awaitable[object]) -> None:
        task = asyncio.ensure_future(self._finish(operation))
        self._operations.add(task)
        task.add_done_callback(self._operations.discard)

    async def _finish(self, operation: Awaitable[object]) -> None:
        """Queue the single event in which the operation results."""
        try:
            self._events.put_nowait(await operation)
        except (BackendError, TimeoutError, OSError):
            self._operation_failed()
        except Exception as error:
            log_event(logger, POOL_REQUEST_FAILED, instance=self.spec.instance, error=repr(error))
            self._operation_failed()

    def _operation_failed(self) -> None:
        self._close_control()
        self._events.put_nowait(ControlLost())

    async def _operate(self, effect: object) -> object:
        match effect:
            case OpenControl():
                self._control = await ControlConnection.open(self.spec, self._settings, self._node)
                return ControlOpened(self._control.epoch)
            case RequestRelease():
                return await self._request_release(effect)
            case CloseSlots():
                return SlotsClosed(tuple(sorted(await self._slots.close_slots())))
            case ReleaseLock():
                return await self._release_lock()
        return await self._operate_by_control(effect)

    async def _operate_by_control(self, effect: object) -> object:
        control = self._control
        if control is None:
            return ControlLost()
        match effect:
            case TryLock():
                return await control.try_lock()
            case Evict():
                await control.kill_and_wait(effect.connection_id)
                log_event(
                    logger,
                    POOL_HOLDER_EVICTED,
                    instance=self.spec.instance,
                    epoch=effect.connection_id,
                )
                return Evicted()
            case Sweep():
                return Swept(tuple(sorted(await control.sweep(frozenset(effect.keep)))))
        raise TypeError(f"unknown effect {effect!r}")

    async def _request_release(self, effect: RequestRelease) -> object:
        request = ReleaseRequest(self.spec.instance, effect.epoch, self._node)
        reply = await self._request_peer(effect.node, request, LEASE_SECONDS)
        if isinstance(reply, PeerFailure):
            return ReleaseUnanswered()
        if not reply.granted:
            self._slots.record_owner(effect.node)
        return ReleaseAnswered(reply.granted, tuple(reply.retained), reply.grace_ms / 1000)

    async def _release_lock(self) -> object:
        control, self._control = self._control, None
        if control is not None:
            try:
                await control.release()
            except (BackendError, TimeoutError, OSError):
                control.abort()
        log_event(logger, POOL_OWNERSHIP_RELEASED, instance=self.spec.instance)
        return LockReleased()

    def _answer_release(self, effect: AnswerRelease) -> None:
        grace = RETAINED_GRACE_MS if effect.granted else 0
        reply = ReleaseReply(self.spec.instance, effect.granted, effect.retained, grace)
        waiters, self._release_waiters = self._release_waiters, []
        if effect.granted and waiters:
            self._slots.record_owner(self._requester)
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(reply)

    def _close_control(self) -> None:
        if self._control is not None:
            self._control.abort()
            self._control = None
