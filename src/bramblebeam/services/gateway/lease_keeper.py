"""Renews this node's lease on a group's leader by querying the other members, or the store."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from bramblebeam.core.gateway.floors import age_ms
from bramblebeam.core.gateway.group_view import LeaseSources
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

NEXT_WITNESS_SECONDS = 0.1
"""Time without a reply after which the next member is queried too."""
RETRY_PAUSE = 0.05
"""Pause after no member has confirmed the lease (seconds)."""


class LeasedLeader(Protocol):
    """A leader with its lease, and what may confirm it."""

    group: GroupId
    leader: InstanceId | None
    lease: LeaderLease

    @property
    def in_use(self) -> bool:
        """Whether the lease is needed."""

    def lease_sources(self) -> LeaseSources:
        """Return what may confirm the lease, the members in the order to query them."""

    def request_lookup(self) -> None:
        """Have the store looked up for a pending change; the result is handled when it arrives."""

    def start_status_query(self, instance: InstanceId) -> None:
        """Start to query a member for its status; the reply is handled when it arrives."""

    def start_position_query(self, instance: InstanceId) -> None:
        """Start to query a member for its position, which costs it less than a status."""

    def record_renewal(self) -> None:
        """Handle a renewal of the lease."""

    def record_lapse(self) -> None:
        """Handle the expiry of the lease."""


class LeaseKeeper:
    """Renews the lease before it expires, while it is needed."""

    def __init__(self, tracker: LeasedLeader) -> None:
        self._tracker = tracker
        self._wakeup = asyncio.Event()
        self._renewed = asyncio.Event()
        self._logged_lapse = 0.0

    def wake(self) -> None:
        """Check now: the leader has changed, or a statement waits for the lease."""
        self._wakeup.set()
        self._renewed.set()

    def renewed(self) -> None:
        """Stop waiting for further replies: a member has confirmed the lease."""
        self._renewed.set()

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        while True:
            if self._tracker.leader is None or not self._tracker.in_use:
                await self._wakeup.wait()
                self._wakeup.clear()
                continue
            age = loop_time() - self._tracker.lease.confirmed_at
            if age < POSITION_RENEWAL_SECONDS:
                await pause(self._wakeup, POSITION_RENEWAL_SECONDS - age)
            elif age < STATUS_RENEWAL_SECONDS:
                await self._query_position()
            else:
                await self._query_statuses()

    async def _query_position(self) -> None:
        """Query one member's position: it may have received enough to confirm the lease.

        The store is looked up as early, if it may confirm the lease: its answer may take a while.
        """
        self._renewed.clear()
        sources = self._tracker.lease_sources()
        if sources.store:
            self._tracker.request_lookup()
        for instance in sources.ask[:1]:
            self._tracker.start_position_query(instance)
        await self._wait_renewed()

    async def _query_statuses(self) -> None:
        """Query the members' statuses in turn, and the store, until one confirms the lease."""
        lease = self._tracker.lease
        sources = self._tracker.lease_sources()
        self._renewed.clear()
        if sources.store:
            self._tracker.request_lookup()
        for instance in sources.ask:
            self._renewed.clear()
            self._tracker.start_status_query(instance)
            if await self._wait_renewed():
                return
        if not sources.ask and await self._wait_renewed():
            return
        self._handle_lapse(lease)
        await pause(self._wakeup, RETRY_PAUSE)

    async def _wait_renewed(self) -> bool:
        """Wait for a renewal; return False if the next member must be queried."""
        return await wait_at_most(self._renewed, NEXT_WITNESS_SECONDS)

    def _handle_lapse(self, lease: LeaderLease) -> None:
        if self._tracker.lease is not lease or lease.covers(loop_time()):
            return
        self._tracker.record_lapse()
        if self._logged_lapse == lease.confirmed_at:
            return
        self._logged_lapse = lease.confirmed_at
        log_event(
            logger,
            LEADER_LEASE_LAPSED,
            group=self._tracker.group,
            instance=self._tracker.leader,
            confirmed_age_ms=age_ms(lease.confirmed_at, loop_time()),
        )
