"""Renews a node's lease on the leader of a group by asking the other members."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from bramblebeam.core.gateway.floors import age_ms
from bramblebeam.core.gateway.leader_lease import (
    POSITION_RENEWAL_SECONDS,
    STATUS_RENEWAL_SECONDS,
    LeaderLease,
)
from bramblebeam.core.identity import GroupId, InstanceId
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import LEADER_LEASE_LAPSED
from bramblebeam.services.waiting import loop_time, pause, wait_at_most

logger = logging.getLogger(__name__)

PATIENCE = 0.1
"""A member that has not answered within so long is left, and the next one asked (seconds)."""
RETRY_PAUSE = 0.05


class LeasedLeader(Protocol):
    """The leader that a lease is kept on, and who may confirm it."""

    group: GroupId
    leader: InstanceId | None
    lease: LeaderLease

    @property
    def in_use(self) -> bool:
        """Whether anybody needs the lease."""

    def witnesses(self) -> list[InstanceId]:
        """Return the members that may confirm it, the one to ask first in front."""

    def start_status_query(self, instance: InstanceId) -> None:
        """Ask a member for its status; its word is taken when it comes."""

    def start_glancing(self, instance: InstanceId) -> None:
        """Ask a member how far it is, which costs it less."""

    def record_renewal(self) -> None:
        """Take note that the lease was renewed."""

    def record_lapse(self) -> None:
        """Take note that the lease has run out."""


class LeaseKeeper:
    """Renews the lease before it runs out, as long as it is in use."""

    def __init__(self, held: LeasedLeader) -> None:
        self._held = held
        self._wanted = asyncio.Event()
        self._renewed = asyncio.Event()
        self._reported = 0.0

    def wake(self) -> None:
        """Look again at once: there is another leader, or somebody waits."""
        self._wanted.set()
        self._renewed.set()

    def renewed(self) -> None:
        """Take note that a member has confirmed the lease."""
        self._renewed.set()

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        while True:
            if self._held.leader is None or not self._held.in_use:
                await self._wanted.wait()
                self._wanted.clear()
                continue
            age = loop_time() - self._held.lease.confirmed_at
            if age < POSITION_RENEWAL_SECONDS:
                await pause(self._wanted, POSITION_RENEWAL_SECONDS - age)
            elif age < STATUS_RENEWAL_SECONDS:
                await self._glance()
            else:
                await self._renew()

    async def _glance(self) -> None:
        """Ask the next member how far it is: it may have received enough to confirm the lease."""
        self._renewed.clear()
        for instance in self._held.witnesses()[:1]:
            self._held.start_glancing(instance)
        await self._is_renewed()

    async def _renew(self) -> None:
        """Ask one member after the other until one confirms the lease."""
        lease = self._held.lease
        witnesses = self._held.witnesses()
        if not witnesses:
            # Nobody else can be promoted.
            lease.confirmed_at = loop_time()
            self._held.record_renewal()
            return
        for instance in witnesses:
            self._renewed.clear()
            self._held.start_status_query(instance)
            if await self._is_renewed():
                return
        self._report_lapse(lease)
        await pause(self._wanted, RETRY_PAUSE)

    async def _is_renewed(self) -> bool:
        """Wait for an answer; True: no other member needs to be asked."""
        return await wait_at_most(self._renewed, PATIENCE)

    def _report_lapse(self, lease: LeaderLease) -> None:
        if self._held.lease is not lease or lease.covers(loop_time()):
            return
        self._held.record_lapse()
        if self._reported == lease.confirmed_at:
            return
        self._reported = lease.confirmed_at
        log_event(
            logger,
            LEADER_LEASE_LAPSED,
            group=self._held.group,
            instance=self._held.leader,
            confirmed_age_ms=age_ms(lease.confirmed_at, loop_time()),
        )
