"""Refreshes the statuses of groups in use and wakes statements held until a group changes."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from bramblebeam.core.identity import GroupId, InstanceId, NodeId
from bramblebeam.core.routing.directory import Directory
from bramblebeam.core.statement import InstanceStatus, SubscribeReply, SubscribeRequest
from bramblebeam.services.edge.peers import Peers
from bramblebeam.services.transport.messages import PeerFailure

RENEWAL_INTERVAL = 5.0
"""Seconds between renewals of a subscription."""
MINIMUM_REFRESH_INTERVAL = 0.1
"""Minimum seconds between two refreshes of one group."""
UNUSED_AFTER = 60.0
"""Seconds without a statement after which a group is no longer subscribed to."""
SUBSCRIBE_TIMEOUT = 1.0
"""Seconds to wait for an owner's reply."""
CHECK_INTERVAL = 0.5
"""Seconds between checks for subscriptions to renew."""


class _TrackedGroup:
    """A group in use; `changed` is set when the group changes."""

    __slots__ = ("changed", "refreshed_at", "used_at")

    def __init__(self, now: float) -> None:
        self.used_at = now
        self.refreshed_at = -RENEWAL_INTERVAL
        self.changed: asyncio.Future[None] | None = None


class GroupTracker:
    """Subscriptions of one node to the owners of the instances that its sessions use."""

    def __init__(
        self,
        directory: Directory,
        peers: Peers,
        spawn: Callable[[Coroutine[Any, Any, Any]], Any],
    ) -> None:
        self._directory = directory
        self._peers = peers
        self._spawn = spawn
        self._groups: dict[GroupId, _TrackedGroup] = {}

    def record_use(self, group: GroupId) -> None:
        """Record that a statement uses the group; the first use subscribes at once."""
        now = asyncio.get_running_loop().time()
        tracked = self._groups.get(group)
        if tracked is not None:
            tracked.used_at = now
            return
        if self._directory.group(group) is None:
            return
        self._groups[group] = _TrackedGroup(now)
        self.refresh(group)

    def observe(self, status: InstanceStatus) -> None:
        """Record a status that an owner pushed."""
        self._directory.observe(status)
        self.wake(status.group)

    def wake(self, group: GroupId) -> None:
        """Wake the statements held for the group."""
        tracked = self._groups.get(group)
        if tracked is not None and tracked.changed is not None:
            tracked.changed.set_result(None)
            tracked.changed = None

    def refresh_all(self) -> None:
        """Refresh every group in use, as its owners or members may have changed."""
        for group in list(self._groups):
            self.refresh(group)
            self.wake(group)

    def refresh(self, group: GroupId, interval: float = MINIMUM_REFRESH_INTERVAL) -> None:
        """Request the statuses of the group's members from their owners.

        Does nothing if they were requested within the last `interval` seconds.
        """
        tracked = self._groups.get(group)
        now = asyncio.get_running_loop().time()
        if tracked is None or now - tracked.refreshed_at < interval:
            return
        tracked.refreshed_at = now
        for member in self._directory.group_members(group):
            owner = self._directory.owner(member.instance)
            if owner is not None:
                self._spawn(self._subscribe(group, member.instance, owner))

    async def wait(self, group: GroupId, timeout: float) -> bool:
        """Wait for a change of the group (`timeout` in seconds). False: there was none."""
        loop = asyncio.get_running_loop()
        tracked = self._groups.setdefault(group, _TrackedGroup(loop.time()))
        if tracked.changed is None:
            tracked.changed = loop.create_future()
        done, _ = await asyncio.wait((tracked.changed,), timeout=timeout)
        return bool(done)

    async def run(self) -> None:
        """Renew the subscriptions of the groups in use, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            now = asyncio.get_running_loop().time()
            for group, tracked in list(self._groups.items()):
                if now - tracked.used_at > UNUSED_AFTER and tracked.changed is None:
                    del self._groups[group]
                elif now - tracked.refreshed_at >= RENEWAL_INTERVAL:
                    self.refresh(group)

    async def _subscribe(self, group: GroupId, instance: InstanceId, owner: NodeId) -> None:
        answer = await self._peers.request(owner, SubscribeRequest(instance), SUBSCRIBE_TIMEOUT)
        match answer:
            case SubscribeReply(status=InstanceStatus() as status):
                self._directory.observe(status)
            case PeerFailure(sent=False):
                self._directory.forget_status(instance)
        self.wake(group)
