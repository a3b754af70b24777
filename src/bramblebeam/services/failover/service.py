"""The failover service: watches the leaders of groups in use and changes those that are lost."""

from __future__ import annotations

import asyncio
import hashlib
import logging
import random
from typing import ClassVar

from bramblebeam.core.failover.decision import Action, Cause, FailoverTiming, Situation, decide
from bramblebeam.core.failover.lease import Lease
from bramblebeam.core.gateway.directory import DirectoryChanged
from bramblebeam.core.gateway.routes import RoutesChanged
from bramblebeam.core.identity import GroupId, NodeId
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    FAILOVER_COMPLETED,
    FAILOVER_STARTED,
    LEASE_STORE_FAILED,
    LEASE_TAKEN,
)
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.services.failover.change import ChangeRunner
from bramblebeam.services.failover.ports import LeaseStore, LeaseStoreUnavailableError, Promoter
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.gateway.leaders import LeaderProven, LeaderSuspected

logger = logging.getLogger(__name__)

CYCLE_SECONDS = 0.1
QUIET_CYCLE_SECONDS = 1.0
LEASE_TIMEOUT = 0.4
FIRST_LEASE_DELAY = 2.0
LEASE_RETRY = 1.0
RANKS = 6
"""Nodes spread over so many places in the order of those that take a lease over."""


class GroupWatch:
    """One group's loop: observe, decide, act."""

    def __init__(self, service: FailoverService, group: GroupId) -> None:
        self._service = service
        self._group = group
        self._lease: Lease | None = None
        self._lease_seen_at = float("-inf")
        self._leaving_since: float | None = None
        self._ordered_at: float | None = None
        self._lease_read_for: float | None = None
        self._rank = _rank(service.node, group)
        self.wake = asyncio.Event()

    async def run(self) -> None:
        """Watch the group until cancelled."""
        await asyncio.sleep(random.uniform(0.0, FIRST_LEASE_DELAY))
        self._service.spawn(self._first_lease())
        while True:
            situation = self._observe()
            if situation.cause is None:
                self._ordered_at = None
                await self._pause(QUIET_CYCLE_SECONDS)
                continue
            await self._know_lease(situation)
            action = decide(self._observe(), self._service.now(), self._service.timing)
            if action is not Action.NONE:
                await self._act(action)
            await self._pause(CYCLE_SECONDS)

    async def _pause(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self.wake.wait()
        except TimeoutError:
            pass
        self.wake.clear()

    def _observe(self) -> Situation:
        leaders = self._service.context.leader(self._group)
        cause: Cause | None = None
        since: float | None = None
        if leaders.leader is None:
            self._leaving_since = None
            cause, since = Cause.LOST, leaders.suspected_since
        elif self._leader_leaves():
            if self._leaving_since is None:
                self._leaving_since = self._service.now()
            cause, since = Cause.LEAVING, self._leaving_since
        else:
            self._leaving_since = None
        return Situation(
            node=self._service.node,
            rank=self._rank,
            leader=leaders.leader,
            cause=cause if since is not None else None,
            trouble_since=since,
            lease=self._lease,
            lease_seen_at=self._lease_seen_at,
            ordered_at=self._ordered_at,
        )

    def _leader_leaves(self) -> bool:
        leaders = self._service.context.leader(self._group)
        if leaders.leader is None:
            return False
        pool = self._service.context.placement.pools.get(leaders.leader)
        return pool is not None and pool.entry.leaving

    # The lease.

    async def _first_lease(self) -> None:
        """Make sure that somebody has the lease before it is needed."""
        while self._lease is None:
            await self._create_or_read()
            if self._lease is None:
                await asyncio.sleep(LEASE_RETRY * random.uniform(0.5, 1.5))

    async def _create_or_read(self) -> None:
        store = self._service.leases
        try:
            found = await store.read(self._group, LEASE_TIMEOUT)
            if found is None:
                found = await store.create(self._group, self._service.node, LEASE_TIMEOUT)
        except LeaseStoreUnavailableError as error:
            log_event(logger, LEASE_STORE_FAILED, group=self._group, error=str(error))
            return
        if found is not None:
            self._take(found)

    async def _know_lease(self, situation: Situation) -> None:
        """Read the lease when trouble begins, and again before it might be taken over."""
        if self._lease is not None and self._lease.holder == self._service.node:
            return
        try:
            found = await self._service.leases.read(self._group, LEASE_TIMEOUT)
        except LeaseStoreUnavailableError as error:
            log_event(logger, LEASE_STORE_FAILED, group=self._group, error=str(error))
            return
        if found is not None:
            first = self._lease_read_for != situation.trouble_since
            self._take(found, seen_before=first)
            self._lease_read_for = situation.trouble_since

    def _take(self, lease: Lease, seen_before: bool = False) -> None:
        """Remember the lease; one that was read first in this trouble may be old."""
        if self._lease is not None and lease.token <= self._lease.token:
            return
        self._lease = lease
        self._lease_seen_at = float("-inf") if seen_before else self._service.now()

    async def _renew(self) -> bool:
        """Write the lease, so that it has a new token; False: it is not this node's."""
        store = self._service.leases
        held = self._lease
        try:
            if held is None:
                written = await store.create(self._group, self._service.node, LEASE_TIMEOUT)
            else:
                written = await store.write(held, self._service.node, LEASE_TIMEOUT)
            if written is None:
                found = await store.read(self._group, LEASE_TIMEOUT)
                if found is not None:
                    self._take(found)
                return False
        except LeaseStoreUnavailableError as error:
            log_event(logger, LEASE_STORE_FAILED, group=self._group, error=str(error))
            is_holder = held is not None and held.holder == self._service.node
            return is_holder and self._service.fence_checked
        self._take(written)
        log_event(logger, LEASE_TAKEN, group=self._group, token=written.token)
        return True

    # The change.

    async def _act(self, action: Action) -> None:
        situation = self._observe()
        if situation.cause is None or not await self._renew():
            return
        lease = self._lease
        assert lease is not None
        began = self._service.now()
        log_event(
            logger,
            FAILOVER_STARTED,
            group=self._group,
            cause=situation.cause.value,
            leader=situation.leader,
            token=lease.token,
            taken_over=action is Action.TAKE_OVER,
            trouble_ms=round((began - (situation.trouble_since or began)) * 1000),
        )
        runner = ChangeRunner(self._service.context, self._service.promoter, lease)
        outcome = await runner.run(situation.cause, situation.leader)
        if outcome.ordered:
            self._ordered_at = self._service.now()
        log_event(
            logger,
            FAILOVER_COMPLETED,
            group=self._group,
            target=outcome.target,
            outcome=outcome.detail,
            token=lease.token,
            duration_ms=round((self._service.now() - began) * 1000),
        )


class FailoverService(Service):
    """Runs one watch a group in use."""

    name: ClassVar[str] = "failover"

    def __init__(
        self,
        kernel: Kernel,
        node: NodeId,
        context: GatewayContext,
        leases: LeaseStore,
        promoter: Promoter,
        fence_checked: bool,
    ) -> None:
        super().__init__(kernel)
        self.node = node
        self.context = context
        self.leases = leases
        self.promoter = promoter
        self.fence_checked = fence_checked
        self.timing = FailoverTiming()
        self._watches: dict[GroupId, GroupWatch] = {}

    async def start(self) -> None:
        """Follow routes, databases and leaders."""
        for message_type in (RoutesChanged, DirectoryChanged, LeaderSuspected, LeaderProven):
            self.kernel.subscribe(message_type, self.name)

    async def handle(self, envelope: Envelope) -> None:
        """Watch the groups of new routes; look again at news."""
        match envelope.message:
            case RoutesChanged(table):
                for group in {route.group for route in table.routes.values()}:
                    self._watch(group)
            case LeaderSuspected(group=group) | LeaderProven(group=group):
                if group in self._watches:
                    self._watches[group].wake.set()
            case DirectoryChanged():
                for watch in self._watches.values():
                    watch.wake.set()

    def _watch(self, group: GroupId) -> None:
        if group not in self._watches:
            self._watches[group] = GroupWatch(self, group)
            self.spawn(self._watches[group].run())

    @staticmethod
    def now() -> float:
        """Return the steady clock (seconds)."""
        return asyncio.get_running_loop().time()


def _rank(node: NodeId, group: GroupId) -> int:
    digest = hashlib.blake2b(f"{group}/{node}".encode(), digest_size=2).digest()
    return int.from_bytes(digest) % RANKS
