"""The instances that this node owns, claims or still has work on."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from contextlib import suppress
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
"""Time allowed for closing a dismissed instance's slots (seconds)."""
DISMISSAL_BOUND = 30.0
"""How long work in progress on a dismissed instance may continue (seconds)."""
HANDOVER_WAIT = 2.0
"""How long a stopping node waits for release requests before it frees an instance (seconds)."""
RELEASE_INTERVAL = 0.1
"""Interval at which a stopping node releases an instance again that it just took (seconds)."""

Spawn = Callable[[Coroutine[Any, Any, Any]], asyncio.Task[Any]]


@dataclass(slots=True)
class InstanceEntry:
    """One instance with its claim and its statement runner."""

    instance: Instance
    claim: OwnershipClaim
    runner: StatementRunner
    retention: RequestRetention
    claim_task: asyncio.Task[Any]


class InstanceTable:
    """Follows configuration and members, and claims the instances that this node should own."""

    def __init__(
        self,
        settings: NodeSettings,
        spawn: Spawn,
        request_peer: RequestPeer,
        status_changed: StatusChanged,
    ) -> None:
        self._settings = settings
        self._spawn = spawn
        self._request_peer = request_peer
        self._status_changed = status_changed
        self._assignment = Assignment(settings.node, settings.zone)
        self._configuration = ConfigurationView()
        self._entries: dict[InstanceId, InstanceEntry] = {}
        self._stopping = False
        self._deadlines = Deadlines()

    def find(self, instance: InstanceId) -> InstanceEntry | None:
        """Return this node's entry for the instance, or None."""
        return self._entries.get(instance)

    def all(self) -> list[InstanceEntry]:
        """Return every entry."""
        return list(self._entries.values())

    def configure(self, view: ConfigurationView) -> None:
        """Apply the current configuration."""
        before, self._configuration = self._configuration, view
        self._assignment.configure(view)
        if view.limits is not before.limits:
            self._apply_limits()
        for entry in self._entries.values():
            self._apply_weight(entry.instance)
        self.apply()

    def set_owners(self, owners: Iterable[NodeId]) -> None:
        """Set the nodes of the zone that may own instances."""
        self._assignment.set_owners(owners)
        self.apply()

    def apply(self) -> None:
        """Claim the instances this node should own; other nodes can request the rest."""
        if self._stopping:
            return
        for instance_id, entry in self._entries.copy().items():
            if self._assignment.instances.get(instance_id) != entry.instance.spec:
                self._dismiss(instance_id)
        wanted = self._assignment.wanted
        for instance_id in wanted:
            if instance_id not in self._entries:
                self._add(instance_id)
        for instance_id, entry in self._entries.items():
            now_wanted = instance_id in wanted
            if entry.instance.wanted != now_wanted:
                entry.instance.wanted = now_wanted
                entry.claim.set_wanted(now_wanted)

    async def hand_over(self) -> None:
        """Hand every instance over, and wait until its connections are no longer used."""
        self._stopping = True
        for entry in self._entries.values():
            entry.instance.wanted = False
            entry.claim.stop_claiming()
        await self._wait_handed_over()
        for entry in self.all():
            await self._release(entry)
        for entry in self.all():
            await entry.instance.wait_unused()

    def end_transactions(self) -> None:
        """End every transaction between its statements."""
        for entry in self._entries.values():
            entry.runner.end_transactions()

    def cut(self) -> None:
        """Cut every connection and drop every instance; the claims end with the service."""
        for entry in self._entries.values():
            entry.instance.cut_slots()
            entry.instance.confirmation.close()
        self._entries.clear()

    async def _wait_handed_over(self) -> None:
        if not any(node != self._settings.node for node in self._assignment.owners):
            return
        try:
            async with asyncio.timeout(HANDOVER_WAIT):
                for entry in self.all():
                    await entry.instance.wait_not_owned()
        except TimeoutError:
            return

    async def _release(self, entry: InstanceEntry) -> None:
        """Release an instance that no successor requested, and wait until it takes no new work.

        Only then is it known which connections are still used. A claim that was about to take the
        instance ignores the first release.
        """
        while entry.instance.owned:
            entry.claim.release_unrequested()
            with suppress(TimeoutError):
                async with asyncio.timeout(RELEASE_INTERVAL):
                    await entry.instance.wait_not_owned()

    def _add(self, instance_id: InstanceId) -> None:
        spec = self._assignment.instances[instance_id]
        node, backend = self._settings.node, self._settings.backend
        limits = limits_of(self._configuration, spec.group)
        instance = Instance(spec, node, backend, limits, self._status_changed)
        self._apply_weight(instance)
        claim = OwnershipClaim(spec, node, backend, instance, self._request_peer)
        runner = StatementRunner(instance, self._deadlines)
        instance.on_ownership_lost = claim.notify_control_lost
        instance.on_unreachable = runner.abort_on_unreachable
        instance.taking_over = claim.taking_over
        retention = RequestRetention(runner)
        task = self._spawn(claim.run())
        self._entries[instance_id] = InstanceEntry(instance, claim, runner, retention, task)

    def _apply_limits(self) -> None:
        groups = {entry.instance.spec.group for entry in self._entries.values()}
        limits = limits_of_groups(self._configuration, groups)
        for entry in self._entries.values():
            entry.instance.set_limits(limits[entry.instance.spec.group])

    def _apply_weight(self, instance: Instance) -> None:
        weight = self._configuration.weights.get(instance.spec.instance)
        instance.drained = weight is not None and weight.drain

    def _dismiss(self, instance_id: InstanceId) -> None:
        """Give up an instance that the configuration no longer has, or has at another address."""
        entry = self._entries.pop(instance_id)
        entry.claim.release_unrequested()
        self._spawn(self._end_when_unused(entry))

    async def _end_when_unused(self, entry: InstanceEntry) -> None:
        try:
            async with asyncio.timeout(DISMISSAL_BOUND):
                await asyncio.sleep(DISMISSAL_NOTICE)
                await entry.instance.wait_unused()
        except TimeoutError:
            entry.instance.cut_slots()
        entry.claim_task.cancel()
        entry.instance.confirmation.close()
