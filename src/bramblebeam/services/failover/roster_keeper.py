"""Keeps one synchronous group's roster in the store up to date (see `core/failover/roster.py`)."""

from __future__ import annotations

import asyncio
import logging

from bramblebeam.core.failover.roster import Roster, RosterMember
from bramblebeam.core.identity import GroupId, InstanceId, NodeId
from bramblebeam.core.revision import FIRST_ERA, NO_REVISION
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import ROSTER_STORE_FAILED, ROSTER_WRITTEN
from bramblebeam.services.failover.log_coverage import LogCoverage
from bramblebeam.services.failover.ports import RosterStore, RosterStoreUnavailableError
from bramblebeam.services.failover.situation import rank_of
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.waiting import pause

logger = logging.getLogger(__name__)

STORE_TIMEOUT = 0.4
"""Timeout of one call to the store (seconds)."""
CHECK_SECONDS = 0.1
"""Interval of the checks of a synchronous group; one without news queries nothing."""
ASYNCHRONOUS_SECONDS = 1.0
"""Interval at which a group without synchronous replicas is checked for a new configuration."""
RETRY_SECONDS = 1.0
"""Pause after a call to the store failed (seconds)."""
WRITE_INTERVAL = 0.5
"""Minimum interval between two writes of this node (seconds): another one may have an older list of
the databases, and write a member again that has left."""
TAKEOVER_SECONDS = 1.0
"""How much later nodes other than the first owners write, for each of their ranks (seconds)."""


class RosterKeeper:
    """Reads the roster, and writes each arrival and each covered departure into it.

    Any node creates it at once. Later the group's first owners write at once, and another node if
    the roster remains out of date, as the first owners may be lost or cut off from the store.
    """

    def __init__(
        self,
        context: GatewayContext,
        store: RosterStore,
        coverage: LogCoverage,
        node: NodeId,
        group: GroupId,
    ) -> None:
        self._context = context
        self._store = store
        self._coverage = coverage
        self._group = group
        self._takeover_delay = TAKEOVER_SECONDS * (1 + rank_of(node, group))
        self._known: Roster | None = None
        self._arrived: dict[InstanceId, RosterMember] = {}
        self._era = FIRST_ERA
        self._is_current = False
        self._outdated_since: float | None = None
        self._retry_at = float("-inf")
        self._written_at = float("-inf")
        self._wakeup = asyncio.Event()

    def wake(self) -> None:
        """Check now: the databases or the leader have changed."""
        self._wakeup.set()

    def record_era(self, era: int) -> None:
        """Record that the store was restored from a copy, which may lack members."""
        self._era = max(self._era, era)
        self._is_current = False
        self._wakeup.set()

    async def run(self) -> None:
        """Keep the roster until cancelled."""
        try:
            while True:
                synchronous = self._context.placement.synchronous_replicas(self._group)
                if synchronous:
                    await self._check(synchronous)
                await pause(self._wakeup, CHECK_SECONDS if synchronous else ASYNCHRONOUS_SECONDS)
        finally:
            self._coverage.close()

    async def read(self) -> Roster | None:
        """Return the roster as it is now; the last known one if the store does not answer.

        None: this node has never read it.
        """
        await self._read()
        if self._known is None:
            return None
        return self._known.updated(self._arrived.values(), (), None)

    async def _check(self, synchronous: int) -> None:
        if self._context.now() < self._retry_at:
            return
        if not self._is_current:
            await self._read()
        if self._known is None or not self._is_current:
            return
        self._observe_arrivals(self._known)
        covered = await self._coverage.covered(self._known, synchronous)
        if self._wanted(self._known, covered) == self._known:
            self._outdated_since = None
            return
        if not await self._may_write():
            return
        wanted = self._wanted(self._known, covered)
        if wanted != self._known:
            await self._write(wanted)

    def _observe_arrivals(self, known: Roster) -> None:
        """Remember registered databases until they are listed: they may have left again by then."""
        listed = {member.instance for member in known.members}
        found = {member.instance: member for member in self._coverage.registered()}
        arrived = {**self._arrived, **found}
        self._arrived = {name: arrived[name] for name in arrived.keys() - listed}

    def _wanted(self, known: Roster, covered: list[InstanceId]) -> Roster:
        leaders = self._context.leader(self._group)
        is_proven = leaders.leader is not None and leaders.may_use(leaders.leader)
        leader = leaders.leader if is_proven else None
        registered = {member.instance: member for member in self._coverage.registered()}
        members = {**self._arrived, **registered}
        return known.updated(members.values(), covered, leader)

    async def _may_write(self) -> bool:
        """Whether it is this node's turn to write; if it takes another's, it reads first."""
        now = self._context.now()
        if now - self._written_at < WRITE_INTERVAL:
            return False
        is_missing = self._known is not None and self._known.revision == NO_REVISION
        if is_missing or self._context.is_first_owner(self._group):
            return True
        if self._outdated_since is None:
            self._outdated_since = now
        if now - self._outdated_since < self._takeover_delay:
            return False
        self._outdated_since = now
        return await self._read()

    async def _read(self) -> bool:
        """Read the roster; return whether the store answered."""
        try:
            found = await self._store.read(self._group, STORE_TIMEOUT)
        except RosterStoreUnavailableError as error:
            self._handle_failure(error)
            return False
        self._set_known(found or Roster(self._group))
        return True

    def _set_known(self, found: Roster) -> None:
        former = self._known
        if former is not None and found.revision.era > former.revision.era:
            found = found.with_members_of(former)
        self._known = found
        self._is_current = found.revision == NO_REVISION or found.revision.era >= self._era

    async def _write(self, wanted: Roster) -> None:
        try:
            written = await self._create_or_write(wanted)
        except RosterStoreUnavailableError as error:
            self._is_current = False
            self._handle_failure(error)
            return
        if written is None:
            # Another node has written it: its content counts, and this node's news are added to it.
            self._is_current = False
            return
        self._known = written
        self._written_at = self._context.now()
        self._outdated_since = None
        log_event(
            logger,
            ROSTER_WRITTEN,
            group=self._group,
            members=", ".join(member.instance for member in written.members),
            covered=", ".join(written.covered),
        )

    async def _create_or_write(self, wanted: Roster) -> Roster | None:
        if wanted.revision == NO_REVISION:
            return await self._store.create(wanted, STORE_TIMEOUT)
        return await self._store.write(wanted, STORE_TIMEOUT)

    def _handle_failure(self, error: RosterStoreUnavailableError) -> None:
        self._retry_at = self._context.now() + RETRY_SECONDS
        log_event(logger, ROSTER_STORE_FAILED, group=self._group, error=str(error))
