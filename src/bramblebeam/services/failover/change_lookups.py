"""Looks up in the store whether a change of a group's primary is pending.

A node that uses the leader needs it before it relies on members that may have restarted.
"""

from __future__ import annotations

import logging

from bramblebeam.core.failover.change_lookup import ChangeLookup, pending_change
from bramblebeam.core.gateway.witness_uptimes import SETTLED_SECONDS
from bramblebeam.core.identity import GroupId
from bramblebeam.core.revision import FIRST_ERA
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import LEASE_STORE_FAILED, PENDING_CHANGE_LOOKED_UP
from bramblebeam.services.failover.ports import LeaseStore, LeaseStoreUnavailableError
from bramblebeam.services.gateway.context import GatewayContext

logger = logging.getLogger(__name__)

LOOKUP_TIMEOUT = SETTLED_SECONDS
"""Timeout of one read (seconds). After that a member's uptime suffices."""


class ChangeLookups:
    """Reads the groups' leases on request.

    Reads may overlap: an earlier one may be slow, or its answer lost.
    """

    def __init__(self, context: GatewayContext, leases: LeaseStore) -> None:
        self._context = context
        self._leases = leases
        self._era = FIRST_ERA
        self._logged: dict[GroupId, tuple[object, ...]] = {}

    def record_era(self, era: int) -> None:
        """Record that the store was restored from a copy."""
        self._era = max(self._era, era)

    async def run(self, group: GroupId) -> None:
        """Read a group's lease and report to its leader tracker what it records."""
        requested_at = self._context.now()
        try:
            lease = await self._leases.read(group, LOOKUP_TIMEOUT)
        except LeaseStoreUnavailableError as error:
            # The tracker requests it again while it needs it.
            if self._is_new(group, (LEASE_STORE_FAILED,)):
                log_event(logger, LEASE_STORE_FAILED, group=group, error=str(error))
            return
        leaders = self._context.leader(group)
        found = pending_change(lease, leaders.leader, leaders.lease.term, self._era == FIRST_ERA)
        token = None if lease is None else str(lease.token)
        if self._is_new(group, (leaders.leader, found, token)):
            log_event(
                logger,
                PENDING_CHANGE_LOOKED_UP,
                group=group,
                leader=leaders.leader,
                found=found.value,
                token=token,
            )
        leaders.record_lookup(ChangeLookup(requested_at, found))

    def _is_new(self, group: GroupId, result: tuple[object, ...]) -> bool:
        """Whether a group's result differs from the last one, so that it is logged.

        A group without another registered member is looked up twice a second.
        """
        is_new = self._logged.get(group) != result
        self._logged[group] = result
        return is_new
