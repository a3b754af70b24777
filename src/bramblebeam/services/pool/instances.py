"""The instances that this node owns, claims or still has work on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any

from bramblebeam.core.configuration.view import ConfigurationView
from bramblebeam.core.identity import InstanceId, NodeId
from bramblebeam.core.ownership.assignment import Assignment
from bramblebeam.core.pool.limits import limits_of, limits_of_groups
from bramblebeam.services.pool.deadlines import Deadlines
from bramblebeam.services.pool.instance import Instance, StatusChanged
from bramblebeam.services.pool.ownership import OwnershipClaim, RequestPeer
from bramblebeam.services.pool.retention import RequestRetention
from bramblebeam.services.pool.statements import StatementRunner
from bramblebeam.settings.model import NodeSettings

DISMISSAL_NOTICE = 0.5
"""Time in which a dismissed instance's slots are closed (seconds)."""
DISMISSAL_BOUND = 30.0
"""How long what runs on a dismissed instance may go on (seconds)."""
HANDOVER_WAIT = 2.0
"""How long a stopping node waits to be asked for an instance, before it frees it (seconds)."""

Spawn = Callable[[Coroutine[Any, Any, Any]], asyncio.Task[Any]]


@dataclass(slots=True)
class InstanceEntry:
    """One instance with its claim and its statements."""

    instance: Instance
    claim: OwnershipClaim
    runner: StatementRunner
    retention: RequestRetention
    claim_task: asyncio.Task[Any]


class InstanceTable:
    """Follows the rows and the members, and claims what this node should own."""

    def __init__(
        self,
        settings: NodeSettings,
        spawn: Spawn,
        ask_peer: RequestPeer,
        status_changed: StatusChanged,
    ) -> None:
        self._settings = settings
        self._spawn = spawn
        self._ask_peer = ask_peer
        self._status_changed = status_changed
        self._assignment = Assignment(settings.node, settings.zone)
        self._configuration = ConfigurationView()
        self._held: dict[InstanceId, InstanceEntry] = {}
        self._stopping = False
        self._deadlines = Deadlines()

    def find(self, instance: InstanceId) -> InstanceEntry | None:
        """Return what this node has of the instance, or None."""
        return self._held.get(instance)

    def all(self) -> list[InstanceEntry]:
        """Return every instance that this node has something of."""
        return list(self._held.values())

    def configure(self, view: ConfigurationView) -> None:
        """Take the rows in force."""
        before, self._configuration = self._configuration, view
        self._assignment.configure(view)
        if view.limits is not before.limits:
            self._apply_limits()
        for held in self._held.values():
            self._apply_weight(held.instance)
        self.apply()

    def set_owners(self, owners: Iterable[NodeId]) -> None:
        """Take the nodes of the zone that may own something."""
        self._assignment.set_owners(owners)
        self.apply()

    def apply(self) -> None:
        """Claim what this node should own, and leave the rest to whoever asks for it."""
        if self._stopping:
            return
        for instance_id, held in self._held.copy().items():
            if self._assignment.instances.get(instance_id) != held.instance.spec:
                self._dismiss(instance_id)
        wanted = self._assignment.wanted
        for instance_id in wanted:
            if instance_id not in self._held:
                self._add(instance_id)
        for instance_id, held in self._held.items():
            now_wanted = instance_id in wanted
            if held.instance.wanted != now_wanted:
                held.instance.wanted = now_wanted
                held.claim.set_wanted(now_wanted)

    async def hand_over(self) -> None:
        """Hand every instance over, and wait until nothing uses its connections any more."""
        self._stopping = True
        for held in self._held.values():
            held.instance.wanted = False
            held.claim.stop_claiming()
        await self._wait_handed_over()
        for held in self._held.values():
            held.claim.release_to_nobody()
        for held in self.all():
            await held.instance.wait_unused()

    def cut(self) -> None:
        """Cut every connection and forget every instance; their claims end with the service."""
        for held in self._held.values():
            held.instance.cut_slots()
            held.instance.confirmation.close()
        self._held.clear()

    async def _wait_handed_over(self) -> None:
        if not any(node != self._settings.node for node in self._assignment.owners):
            return
        try:
            async with asyncio.timeout(HANDOVER_WAIT):
                for held in self.all():
                    await held.instance.wait_not_owned()
        except TimeoutError:
            return

    def _add(self, instance_id: InstanceId) -> None:
        spec = self._assignment.instances[instance_id]
        node, backend = self._settings.node, self._settings.backend
        limits = limits_of(self._configuration, spec.group)
        instance = Instance(spec, node, backend, limits, self._status_changed)
        self._apply_weight(instance)
        claim = OwnershipClaim(spec, node, backend, instance, self._ask_peer)
        runner = StatementRunner(instance, self._deadlines)
        instance.on_ownership_lost = claim.notify_control_lost
        instance.on_unreachable = runner.abort_on_unreachable
        instance.taking_over = claim.taking_over
        retention = RequestRetention(runner)
        task = self._spawn(claim.run())
        self._held[instance_id] = InstanceEntry(instance, claim, runner, retention, task)

    def _apply_limits(self) -> None:
        groups = {held.instance.spec.group for held in self._held.values()}
        limits = limits_of_groups(self._configuration, groups)
        for held in self._held.values():
            held.instance.set_limits(limits[held.instance.spec.group])

    def _apply_weight(self, instance: Instance) -> None:
        weight = self._configuration.weights.get(instance.spec.instance)
        instance.drained = weight is not None and weight.drain

    def _dismiss(self, instance_id: InstanceId) -> None:
        """Give up an instance that the rows no longer name, or name at another address."""
        held = self._held.pop(instance_id)
        held.claim.release_to_nobody()
        self._spawn(self._end_when_unused(held))

    async def _end_when_unused(self, held: InstanceEntry) -> None:
        try:
            async with asyncio.timeout(DISMISSAL_BOUND):
                await asyncio.sleep(DISMISSAL_NOTICE)
                await held.instance.wait_unused()
        except TimeoutError:
            held.instance.cut_slots()
        held.claim_task.cancel()
        held.instance.confirmation.close()
