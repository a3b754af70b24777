"""Which database of a group is its proven leader.

A leader is proven by its own answer: it alone takes a BEGIN that may write. What a database or a
directory says of its role is a hint where to ask first.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.floors import Watermark
from bramblebeam.core.gateway.state import NO_STATE
from bramblebeam.core.gateway.statements import BEGIN, ROLLBACK
from bramblebeam.core.identity import GroupId, InstanceId, Position
from bramblebeam.core.statement import Role
from bramblebeam.core.verdict import Reason
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import LEADER_LOST, LEADER_PROVEN
from bramblebeam.services.gateway.placement import Placement
from bramblebeam.services.gateway.pool import PooledConnection
from bramblebeam.services.gateway.ports import (
    Command,
    ConnectError,
    ConnectionLostError,
)

logger = logging.getLogger(__name__)

PROOF_INTERVAL = 0.4
"""A proof older than this is renewed while the group is in use (seconds)."""
UNUSED_SECONDS = 5.0
"""A group that no statement has used for so long is not watched by this node."""
UNUSED_ELSEWHERE_SECONDS = 1.0
"""The same for a group that other nodes serve."""
SEARCH_INTERVAL = 0.12
"""Seconds between questions to all members while no leader is proven."""
PROOF_LIFETIME = 1.5
"""A leader that was not proven for so long is asked again before it is used (seconds)."""
PROBE_TIMEOUT = 0.45
"""For how long a member may be silent before it counts as unresponsive (seconds)."""
STALLED_WRITES = 2
"""So many writes in a row without an answer in their time: the leader acknowledges none."""


@dataclass(frozen=True, slots=True)
class LeaderSuspected:
    """Published while a group has no leader that answers. `since`: steady clock, seconds."""

    group: GroupId
    instance: InstanceId | None
    since: float


@dataclass(frozen=True, slots=True)
class LeaderProven:
    """Published when a database was proven to lead its group after another one or none."""

    group: GroupId
    instance: InstanceId
    position: Position


class LeaderTracker:
    """Knows the leader of one group, renews its proof and searches for another one."""

    def __init__(
        self,
        group: GroupId,
        placement: Placement,
        publish: Callable[[LeaderSuspected | LeaderProven], None],
    ) -> None:
        self.group = group
        self.leader: InstanceId | None = None
        self.last_leader: InstanceId | None = None
        self.watermark = Watermark()
        self.suspected_since: float | None = None
        self.serves = True
        self.stalled_since: float | None = None
        self._lost_writes = 0
        self._placement = placement
        self._used_at = asyncio.get_running_loop().time()
        self._publish = publish
        self._changed = asyncio.Event()
        self._wanted = asyncio.Event()

    def members(self) -> list[DatabaseEntry]:
        """Return the group's databases."""
        return [pool.entry for pool in self._placement.members(self.group)]

    @property
    def in_use(self) -> bool:
        """Whether a statement used the group lately, so that its leader is watched."""
        rested = asyncio.get_running_loop().time() - self._used_at
        return rested <= (UNUSED_SECONDS if self.serves else UNUSED_ELSEWHERE_SECONDS)

    # What statements report.

    def proven(self, instance: InstanceId, position: Position, asked_at: float) -> None:
        """Note that `instance` led the group at some moment after `asked_at`."""
        if asked_at < self.watermark.asked_at:
            return
        before = self.leader
        self.watermark = Watermark(position, asked_at)
        self.suspected_since = None
        if before == instance:
            return
        self.leader = self.last_leader = instance
        self.write_answered()
        place = f"{position.term}.{position.offset}"
        log_event(logger, LEADER_PROVEN, group=self.group, instance=instance, position=place)
        self._publish(LeaderProven(self.group, instance, position))
        self._notify()

    def write_answered(self) -> None:
        """Note that the leader acknowledged or refused a write."""
        self._lost_writes = 0
        self.stalled_since = None

    def write_unanswered(self, instance: InstanceId) -> None:
        """Note that a write got no answer in its time although the leader may be well."""
        if instance != self.leader:
            return
        self._lost_writes += 1
        if self._lost_writes >= STALLED_WRITES and self.stalled_since is None:
            self.stalled_since = asyncio.get_running_loop().time()
            self._publish(LeaderSuspected(self.group, instance, self.stalled_since))

    def refused(self, instance: InstanceId, reason: str) -> None:
        """Note that `instance` does not lead, or cannot be asked."""
        now = asyncio.get_running_loop().time()
        if self.suspected_since is None:
            self.suspected_since = now
        if self.leader == instance:
            self.leader = None
            age = round((now - self.watermark.asked_at) * 1000)
            log_event(
                logger,
                LEADER_LOST,
                group=self.group,
                instance=instance,
                reason=reason,
                proof_age_ms=age,
            )
            self._publish(LeaderSuspected(self.group, instance, now))
            self._notify()
        self._wanted.set()

    def directory_changed(self) -> None:
        """Look again at once: a member came, went or changed its role."""
        self._wanted.set()

    async def wait(self, deadline: float) -> InstanceId | None:
        """Return the leader, waiting for one until `deadline` (steady clock, seconds)."""
        self._use()
        while self.leader is None or self._is_old():
            if self.leader is None:
                is_news = await self.wait_change(deadline)
            else:
                after = asyncio.get_running_loop().time() - PROOF_LIFETIME
                is_news = await self.wait_proof(after, deadline)
            if not is_news:
                return None
        return self.leader

    def _is_old(self) -> bool:
        return asyncio.get_running_loop().time() - self.watermark.asked_at >= PROOF_LIFETIME

    async def wait_change(self, deadline: float) -> bool:
        """Wait until another leader is proven or this one is lost; False at the deadline."""
        changed = self._changed
        try:
            async with asyncio.timeout_at(deadline):
                await changed.wait()
        except TimeoutError:
            return False
        return True

    async def wait_proof(self, asked_after: float, deadline: float) -> bool:
        """Wait for a proof that was asked for after a time; False at the deadline."""
        self._use()
        loop = asyncio.get_running_loop()
        while self.watermark.asked_at < asked_after:
            if loop.time() >= deadline:
                return False
            leader = self.leader
            if leader is None:
                await self.wait_change(deadline)
            else:
                await self._probe(leader, max(0.01, min(PROBE_TIMEOUT, deadline - loop.time())))
        return True

    def _use(self) -> None:
        """Keep the group watched; one that nobody uses costs nothing."""
        if not self.in_use:
            self._wanted.set()
        self._used_at = asyncio.get_running_loop().time()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # The task.

    async def run(self) -> None:
        """Renew the proof while the leader answers; search while there is none."""
        loop = asyncio.get_running_loop()
        while True:
            if not self.in_use:
                await self._wanted.wait()
                self._wanted.clear()
                continue
            if self.leader is None:
                await self._search()
                await self._pause(SEARCH_INTERVAL)
                continue
            age = loop.time() - self.watermark.asked_at
            if age < PROOF_INTERVAL:
                await self._pause(PROOF_INTERVAL - age)
                continue
            await self._probe(self.leader, PROBE_TIMEOUT)

    async def _pause(self, seconds: float) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._wanted.wait()
        except TimeoutError:
            pass
        self._wanted.clear()

    async def _search(self) -> None:
        members = sorted(self.members(), key=lambda entry: entry.role is not Role.PRIMARY)
        if not members:
            return
        if members[0].role is Role.PRIMARY and await self._probe(
            members[0].instance, PROBE_TIMEOUT
        ):
            return
        probes = [self._probe(entry.instance, PROBE_TIMEOUT) for entry in members]
        await asyncio.gather(*probes)

    async def _probe(self, instance: InstanceId, timeout: float) -> bool:
        """Ask one database whether it leads."""
        lent = await self._lend(instance, timeout)
        if lent is None:
            return False
        pool = lent.pool
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        try:
            begin, _ = await lent.connection.run([Command(BEGIN), Command(ROLLBACK)], timeout)
        except ConnectionLostError as error:
            if loop.time() - asked_at >= timeout:
                pool.was_silent()
            self.refused(instance, str(error))
            return False
        finally:
            lent.give_back()
        pool.heard_at = loop.time()
        pool.silent_since = None
        if begin.refusal is not None:
            if begin.refusal.reason is not Reason.QUEUE_FULL:
                self.refused(instance, begin.refusal.detail or begin.refusal.reason.name)
            return False
        self.proven(instance, begin.position, asked_at)
        return True

    async def _lend(self, instance: InstanceId, timeout: float) -> PooledConnection | None:
        """Return a connection for a probe; None: there is none, and the reason is noted."""
        pool = self._placement.pools.get(instance)
        if pool is None:
            self.refused(instance, "it is not registered")
            return None
        try:
            return await pool.acquire(NO_STATE, timeout)
        except TimeoutError:
            if asyncio.get_running_loop().time() - pool.heard_at > timeout:
                pool.was_silent()
                self.refused(instance, "no connection came in time")
        except ConnectError as error:
            if error.reason is not Reason.TOO_MANY_CONNECTIONS:
                self.refused(instance, str(error))
        return None
