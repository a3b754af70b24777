"""One back-end instance on the node that owns it: its slot connections and its status."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any

from bramblebeam.core.identity import InstanceSpec, NodeId
from bramblebeam.core.ownership.events import OpenSlots
from bramblebeam.core.pool.admission import UNREACHABLE_RETRY_MS, not_run
from bramblebeam.core.pool.limits import InstanceLimits
from bramblebeam.core.pool.positions import SessionPositions
from bramblebeam.core.statement import (
    InstanceStatus,
    StatementKind,
)
from bramblebeam.core.verdict import Reason, Refusal
from bramblebeam.edges.backend import BackendError
from bramblebeam.edges.backend.status import StatusFormatError
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    POOL_BACKEND_LEAVING,
    POOL_BACKEND_REACHABLE,
    POOL_BACKEND_UNREACHABLE,
)
from bramblebeam.services.pool.confirmation import PositionConfirmer
from bramblebeam.services.pool.connector import SlotConnector
from bramblebeam.services.pool.control import ControlConnection
from bramblebeam.services.pool.slots import SlotConnections
from bramblebeam.services.pool.status import StatusMonitor
from bramblebeam.settings.model import BackendSettings

logger = logging.getLogger(__name__)

RETAINED_CHECK_INTERVAL = 0.05
FORWARDING_SECONDS = 10.0
"""How long requests are forwarded to the recorded owner (seconds)."""
TAKEOVER_HOLD = 0.25
"""How long a write may be held while this node takes the instance over (seconds)."""
NOT_OWNER_RETRY_MS = 50
MONITOR_ERRORS = (BackendError, StatusFormatError, TimeoutError, OSError)

StatusChanged = Callable[[InstanceStatus, InstanceStatus | None], None]


class Instance:
    """An instance's slots and status while this node owns it."""

    def __init__(
        self,
        spec: InstanceSpec,
        node: NodeId,
        settings: BackendSettings,
        limits: InstanceLimits,
        status_changed: StatusChanged,
    ) -> None:
        self.spec = spec
        self.limits = limits
        self.drained = False
        self.wanted = False
        self.slots: SlotConnections | None = None
        self.monitor: StatusMonitor | None = None
        self.confirmation = PositionConfirmer(spec, settings)
        self.positions = SessionPositions()
        self.on_ownership_lost: Callable[[], None] = lambda: None
        self.on_unreachable: Callable[[], None] = lambda: None
        self.taking_over: Callable[[], bool] = lambda: False
        self.known_term = 0
        """The highest term of the group known to this node; that term may have no primary yet."""
        self._node = node
        self._settings = settings
        self._status_changed = status_changed
        self._control: ControlConnection | None = None
        self._connector: SlotConnector | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._monitor_tasks: list[asyncio.Task[None]] = []
        self._retired: list[SlotConnections] = []
        self._last_status: InstanceStatus | None = None
        self._foreign: frozenset[int] = frozenset()
        self._successor: NodeId | None = None
        self._successor_until = 0.0
        self._opened = asyncio.Event()
        self._closed = asyncio.Event()
        self._closed.set()
        self._loop = asyncio.get_running_loop()

    @property
    def owned(self) -> bool:
        """Whether this node accepts new work for the instance."""
        return self.slots is not None

    @property
    def status(self) -> InstanceStatus | None:
        """The latest status, or None."""
        return self.monitor.status if self.monitor is not None and self.owned else None

    @property
    def status_age(self) -> float:
        """Time since the latest status was requested (seconds)."""
        return self.monitor.age if self.monitor is not None else 0.0

    @property
    def starting(self) -> bool:
        """Whether this node owns the instance but has not received its status yet."""
        return self.owned and self.status is None

    @property
    def has_foreign_connections(self) -> bool:
        """Whether a former owner may still end transactions on its retained connections."""
        return bool(self._foreign)

    @property
    def successor(self) -> NodeId | None:
        """The node that was recently recorded as the owner, or None."""
        return self._successor if self._loop.time() < self._successor_until else None

    # Operations of the claim (see `SlotOwner`).

    def record_owner(self, owner: NodeId) -> None:
        """Record the owner, to forward requests of edges that do not know it yet."""
        self._successor = owner
        self._successor_until = self._loop.time() + FORWARDING_SECONDS

    def open_slots(self, control: ControlConnection, opened: OpenSlots) -> None:
        """Open slots under a new epoch."""
        self._control = control
        connector = SlotConnector(
            self.spec,
            self._node,
            self._settings,
            control,
            partial(self._handle_ownership_lost, control),
        )
        self._connector = connector
        slots = SlotConnections(opened.epoch, self.limits, connector.open, control.kill_and_wait)
        slots.set_retained(len(opened.retained))
        self.slots = slots
        self.positions = SessionPositions()
        self._foreign = frozenset(opened.retained)
        self._successor_until = 0.0
        self._opened.set()
        self._closed.clear()
        self.monitor = StatusMonitor(control, self.spec.group, self._handle_status)
        self._monitor_tasks.append(self._spawn(self._follow(self.monitor)))
        if opened.retained:
            work = self._follow_retained(slots, control, opened)
            self._monitor_tasks.append(self._spawn(work))

    async def close_slots(self) -> frozenset[int]:
        """Accept no new work; return the ids of the connections still in use."""
        slots = self._end_ownership()
        if slots is None:
            return frozenset()
        self._retired = [retired for retired in self._retired if retired.in_use]
        self._retired.append(slots)
        foreign, self._foreign = self._foreign, frozenset()
        return await slots.retire() | foreign

    def cut_slots(self) -> None:
        """Close every connection immediately."""
        slots = self._end_ownership()
        if slots is not None:
            slots.cut()

    def _end_ownership(self) -> SlotConnections | None:
        slots, self.slots = self.slots, None
        self._opened.clear()
        self._closed.set()
        self._stop_monitoring()
        return slots

    def set_limits(self, limits: InstanceLimits) -> None:
        """Apply new limits from the configuration."""
        self.limits = limits
        if self.slots is not None:
            self.slots.set_limits(limits)

    async def wait_unused(self) -> None:
        """Return once no transaction, stream or statement uses a connection."""
        for slots in list(self._retired):
            await slots.wait_unused()

    async def wait_owned(self, kind: StatementKind, until: float) -> bool:
        """Hold a write while this node takes the instance over; return whether it is owned.

        A read is not held, as another instance can serve it. A write is held only briefly, and not
        at all while the back end is unreachable, as the edge may know a new primary.
        """
        if kind is StatementKind.READ or not (self.wanted and self.taking_over()):
            return False
        try:
            async with asyncio.timeout_at(min(until, self._loop.time() + TAKEOVER_HOLD)):
                await self._opened.wait()
        except TimeoutError:
            return False
        return self.owned

    async def wait_not_owned(self) -> None:
        """Return once this node accepts no new work for the instance."""
        await self._closed.wait()

    def record_use(self) -> None:
        """Record that an edge uses the instance."""
        if self.monitor is not None:
            self.monitor.record_use()

    def refresh(self) -> None:
        """Request the status now."""
        if self.monitor is not None:
            self.monitor.refresh()

    def record_term(self, term: int) -> None:
        """Record a term of the group; if the status is of a lower one, request it again."""
        self.known_term = max(self.known_term, term)
        status = self.status
        if self.monitor is None or status is None or status.term >= term:
            return
        self.monitor.refresh()
        if not status.reachable:
            self.on_unreachable()

    async def next_status(self, until: float) -> bool:
        """Wait for a status requested after this call; False if there is none before `until`."""
        return self.monitor is not None and await self.monitor.next_status(until)

    def not_owner(self) -> Refusal:
        """Return the refusal of new work for an instance that this node does not own."""
        if self.wanted and not self.taking_over():
            detail = f"back end {self.spec.instance} is unreachable"
            return not_run(Reason.UNREACHABLE, detail, UNREACHABLE_RETRY_MS)
        detail = f"this node does not own {self.spec.instance}"
        return not_run(Reason.NOT_OWNER, detail, NOT_OWNER_RETRY_MS)

    # Connections and status.

    async def still_owner(self) -> bool:
        """Check at the back end whether this node still owns the instance."""
        connector = self._connector
        return self.owned and connector is not None and await connector.still_owner()

    def _handle_ownership_lost(self, control: ControlConnection) -> None:
        """Give up ownership, unless it changed after `control` was used."""
        if self._control is control and self.owned:
            self.on_ownership_lost()

    async def _follow(self, monitor: StatusMonitor) -> None:
        try:
            await monitor.follow()
        except MONITOR_ERRORS:
            self.on_ownership_lost()

    async def _follow_retained(
        self, slots: SlotConnections, control: ControlConnection, opened: OpenSlots
    ) -> None:
        """Take over the slots of a former owner's retained connections as these end."""
        retained = frozenset(opened.retained)
        try:
            self._foreign = retained
            while retained and self._loop.time() < opened.retained_until:
                await asyncio.sleep(RETAINED_CHECK_INTERVAL)
                retained &= await control.slot_connections()
                self._foreign = retained
                slots.set_retained(len(retained))
            for connection_id in retained:
                await control.kill_and_wait(connection_id)
            self._foreign = frozenset()
            slots.set_retained(0)
        except MONITOR_ERRORS:
            self.on_ownership_lost()

    def _handle_status(self, status: InstanceStatus) -> None:
        before = self._last_status
        self._last_status = status
        if before is not None and before.reachable and not status.reachable:
            log_event(logger, POOL_BACKEND_UNREACHABLE, instance=self.spec.instance)
            if self.slots is not None:
                self.slots.suspend(Reason.UNREACHABLE)
            self.on_unreachable()
        if before is not None and not before.reachable and status.reachable:
            if self.slots is not None:
                self.slots.resume()
            log_event(logger, POOL_BACKEND_REACHABLE, instance=self.spec.instance, term=status.term)
        if status.leaving and not (before is not None and before.leaving):
            log_event(logger, POOL_BACKEND_LEAVING, instance=self.spec.instance)
        self._status_changed(status, before)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _stop_monitoring(self) -> None:
        for task in self._monitor_tasks:
            task.cancel()
        self._monitor_tasks.clear()
