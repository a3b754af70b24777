"""One back-end instance at its owner: its slot connections and its status."""

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
"""How long work is sent on to a known owner (seconds)."""
TAKEOVER_HOLD = 0.25
"""How long a write may wait for this node to take the instance over (seconds)."""
NOT_OWNER_RETRY_MS = 50
MONITOR_ERRORS = (BackendError, StatusFormatError, TimeoutError, OSError)

StatusChanged = Callable[[InstanceStatus, InstanceStatus | None], None]


class Instance:
    """The instance's slots and status while this node owns it."""

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
        """The highest term of the group that this node has heard of; it may have no primary yet."""
        self._node = node
        self._settings = settings
        self._status_changed = status_changed
        self._control: ControlConnection | None = None
        self._connector: SlotConnector | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._following: list[asyncio.Task[None]] = []
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
        """Whether this node takes new work for the instance."""
        return self.slots is not None

    @property
    def status(self) -> InstanceStatus | None:
        """The status as last seen, or None."""
        return self.monitor.status if self.monitor is not None and self.owned else None

    @property
    def status_age(self) -> float:
        """Time since the status was asked for (seconds)."""
        return self.monitor.age if self.monitor is not None else 0.0

    @property
    def starting(self) -> bool:
        """Whether this node owns the instance and has not seen its status yet."""
        return self.owned and self.status is None

    @property
    def has_foreign_connections(self) -> bool:
        """Whether a former owner may still end transactions on connections that it retained."""
        return bool(self._foreign)

    @property
    def successor(self) -> NodeId | None:
        """The node that owned the instance when this one heard of it lately, or None."""
        return self._successor if self._loop.time() < self._successor_until else None

    # What the claim does (see `SlotOwner`).

    def record_owner(self, owner: NodeId) -> None:
        """Take note of the owner: this node's or another's edges may not know it yet."""
        self._successor = owner
        self._successor_until = self._loop.time() + FORWARDING_SECONDS

    def open_slots(self, control: ControlConnection, opened: OpenSlots) -> None:
        """Use slots under a new epoch."""
        self._control = control
        connector = SlotConnector(
            self.spec, self._node, self._settings, control, partial(self._lost, control)
        )
        self._connector = connector
        slots = SlotConnections(opened.epoch, self.limits, connector.open, control.end)
        slots.set_retained(len(opened.retained))
        self.slots = slots
        self.positions = SessionPositions()
        self._foreign = frozenset(opened.retained)
        self._successor_until = 0.0
        self._opened.set()
        self._closed.clear()
        self.monitor = StatusMonitor(control, self.spec.group, self._note_status)
        self._following.append(self._spawn(self._follow(self.monitor)))
        if opened.retained:
            following = self._follow_retained(slots, control, opened)
            self._following.append(self._spawn(following))

    async def close_slots(self) -> frozenset[int]:
        """Start no new work; return the ids of the connections still in use."""
        slots = self._end_ownership()
        if slots is None:
            return frozenset()
        self._retired = [retired for retired in self._retired if retired.held]
        self._retired.append(slots)
        foreign, self._foreign = self._foreign, frozenset()
        return await slots.retire() | foreign

    def cut_slots(self) -> None:
        """Close every connection at once."""
        slots = self._end_ownership()
        if slots is not None:
            slots.cut()

    def _end_ownership(self) -> SlotConnections | None:
        slots, self.slots = self.slots, None
        self._opened.clear()
        self._closed.set()
        self._stop_following()
        return slots

    def set_limits(self, limits: InstanceLimits) -> None:
        """Take other rows."""
        self.limits = limits
        if self.slots is not None:
            self.slots.set_limits(limits)

    async def wait_unused(self) -> None:
        """Return when no transaction, stream or statement uses a connection any more."""
        for slots in list(self._retired):
            await slots.wait_unused()

    async def wait_owned(self, kind: StatementKind, until: float) -> bool:
        """Hold a write while this node takes the instance over; a read has other places to go.

        Not for long, and not where the back end can't be reached: the edge may know a new primary.
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
        """Return when this node takes no new work for the instance."""
        await self._closed.wait()

    def used(self) -> None:
        """Take note that an edge uses the instance."""
        if self.monitor is not None:
            self.monitor.used()

    def refresh(self) -> None:
        """Ask for the status now."""
        if self.monitor is not None:
            self.monitor.refresh()

    def record_term(self, term: int) -> None:
        """Take note of a term of the group; ask for the status where it is of a lower one."""
        self.known_term = max(self.known_term, term)
        status = self.status
        if self.monitor is None or status is None or status.term >= term:
            return
        self.monitor.refresh()
        if not status.reachable:
            self.on_unreachable()

    async def next_status(self, until: float) -> bool:
        """Wait for a status that is asked for from now on; False when `until` comes first."""
        return self.monitor is not None and await self.monitor.next_status(until)

    def not_owner(self) -> Refusal:
        """Return the refusal of new work while this node does not own the instance."""
        if self.wanted and not self.taking_over():
            detail = f"back end {self.spec.instance} can't be reached"
            return not_run(Reason.UNREACHABLE, detail, UNREACHABLE_RETRY_MS)
        detail = f"this node does not own {self.spec.instance}"
        return not_run(Reason.NOT_OWNER, detail, NOT_OWNER_RETRY_MS)

    # Connections and status.

    async def still_owner(self) -> bool:
        """Ask the back end whether this node's ownership holds now."""
        connector = self._connector
        return self.owned and connector is not None and await connector.still_owner()

    def _lost(self, control: ControlConnection) -> None:
        """Give the ownership up, unless it has changed since the control connection was used."""
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
        """Take over the slots of a former owner's connections as they end."""
        retained = frozenset(opened.retained)
        try:
            self._foreign = retained
            while retained and self._loop.time() < opened.retained_until:
                await asyncio.sleep(RETAINED_CHECK_INTERVAL)
                retained &= await control.slot_connections()
                self._foreign = retained
                slots.set_retained(len(retained))
            for connection_id in retained:
                await control.end(connection_id)
            self._foreign = frozenset()
            slots.set_retained(0)
        except MONITOR_ERRORS:
            self.on_ownership_lost()

    def _note_status(self, status: InstanceStatus) -> None:
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

    def _stop_following(self) -> None:
        for task in self._following:
            task.cancel()
        self._following.clear()
