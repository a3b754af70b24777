"""Keeps the statuses of the groups in use fresh and wakes the statements held for news of them."""

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
"""Seconds that at least pass between two questions about one group."""
UNUSED_AFTER = 60.0
"""Seconds after which a group that no statement used is no longer subscribed to."""
SUBSCRIBE_TIMEOUT = 1.0
"""Seconds to wait for an owner's answer."""
CHECK_INTERVAL = 0.5
"""Seconds between looks at which subscriptions are due."""


class _Use:
    __slots__ = ("asked_at", "changed", "used_at")

    def __init__(self, now: float) -> None:
        self.used_at = now
        self.asked_at = -RENEWAL_INTERVAL
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
        self._uses: dict[GroupId, _Use] = {}

    def use(self, group: GroupId) -> None:
        """Note that a statement uses the group; the first use subscribes at once."""
        now = asyncio.get_running_loop().time()
        use = self._uses.get(group)
        if use is not None:
            use.used_at = now
            return
        if self._directory.group(group) is None:
            return
        self._uses[group] = _Use(now)
        self.refresh(group)

    def observe(self, status: InstanceStatus) -> None:
        """Take a status that an owner pushed."""
        self._directory.observe(status)
        self.wake(status.group)

    def wake(self, group: GroupId) -> None:
        """Let the statements held for the group look again."""
        use = self._uses.get(group)
        if use is not None and use.changed is not None:
            use.changed.set_result(None)
            use.changed = None

    def refresh_all(self) -> None:
        """Ask anew for every group in use: owners or members may be others now."""
        for group in list(self._uses):
            self.refresh(group)
            self.wake(group)

    def refresh(self, group: GroupId, interval: float = MINIMUM_REFRESH_INTERVAL) -> None:
        """Ask the owners of the group's members for their statuses.

        Does nothing where they were asked within `interval` seconds.
        """
        use = self._uses.get(group)
        now = asyncio.get_running_loop().time()
        if use is None or now - use.asked_at < interval:
            return
        use.asked_at = now
        for member in self._directory.group_members(group):
            owner = self._directory.owner(member.instance)
            if owner is not None:
                self._spawn(self._subscribe(group, member.instance, owner))

    async def wait(self, group: GroupId, timeout: float) -> bool:
        """Wait for news of the group (`timeout` in seconds). False: there were none."""
        loop = asyncio.get_running_loop()
        use = self._uses.setdefault(group, _Use(loop.time()))
        if use.changed is None:
            use.changed = loop.create_future()
        done, _ = await asyncio.wait((use.changed,), timeout=timeout)
        return bool(done)

    async def run(self) -> None:
        """Renew the subscriptions of the groups in use, for ever."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            now = asyncio.get_running_loop().time()
            for group, use in list(self._uses.items()):
                if now - use.used_at > UNUSED_AFTER and use.changed is None:
                    del self._uses[group]
                elif now - use.asked_at >= RENEWAL_INTERVAL:
                    self.refresh(group)

    async def _subscribe(self, group: GroupId, instance: InstanceId, owner: NodeId) -> None:
        answer = await self._peers.request(owner, SubscribeRequest(instance), SUBSCRIBE_TIMEOUT)
        match answer:
            case SubscribeReply(status=InstanceStatus() as status):
                self._directory.observe(status)
            case PeerFailure(sent=False):
                self._directory.forget_status(instance)
        self.wake(group)
