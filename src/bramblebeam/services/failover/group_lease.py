"""One node's view of the lease on a group's changes of primary, which lies in the store."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from bramblebeam.core.failover.decision import (
    FailoverTiming,
    Situation,
    is_suspicion_over,
    quiet_time,
)
from bramblebeam.core.failover.lease import UNKNOWN_HOLDER, Lease, OrderedChange
from bramblebeam.core.identity import GroupId, NodeId
from bramblebeam.core.revision import FIRST_ERA, Revision
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    LEASE_OF_FORMER_ERA,
    LEASE_RELEASED,
    LEASE_STORE_FAILED,
    LEASE_TAKEN,
)
from bramblebeam.services.failover.ports import LeaseStore, LeaseStoreUnavailableError

logger = logging.getLogger(__name__)

LEASE_TIMEOUT = 0.4
"""One call to the store (seconds). It answers within milliseconds where it is well."""
LEASE_READ_INTERVAL = 0.5
"""While a leader is missed, another node's lease is read so often (seconds). A holder that writes
it and is lost then is replaced so much later at most; `FailoverTiming.attempt_timeout` is five
times that.
"""
NO_HOLDER = NodeId("")


class GroupLease:
    """Reads, writes and releases the lease, and knows when another node's may be taken over.

    `known`: as it was read or written last. `is_current`: not in a former era of the store.
    `quiet_until`: until when it may not be taken over (steady clock, seconds). `is_unwritten`: what
    is known was decided while the store gave no answer, and is not in the store yet. `reclaims`:
    this node held it when the store came back from a copy, and has not written it since.
    """

    def __init__(
        self,
        group: GroupId,
        node: NodeId,
        store: LeaseStore,
        timing: FailoverTiming,
        fence_checked: bool,
        now: Callable[[], float],
    ) -> None:
        self.known: Lease | None = None
        self.quiet_until = float("-inf")
        self.is_unwritten = False
        self.must_reclaim = False
        self._group = group
        self._node = node
        self._store = store
        self._timing = timing
        self._fence_checked = fence_checked
        self._now = now
        self._read_for: float | None = None
        self._read_at = float("-inf")
        self._is_read = True
        self._refused_token: Revision | None = None
        self._written_at = float("-inf")
        self._memory: Lease | None = None
        self._era = FIRST_ERA

    @property
    def is_own(self) -> bool:
        """Whether this node holds the lease, as far as it knows."""
        return self.known is not None and self.known.holder == self._node

    @property
    def is_current(self) -> bool:
        """Whether anything is known of the lease in the store's present era."""
        return self.known is not None and self.known.token.era >= self._era

    async def create_or_read(self) -> None:
        """Make sure that there is a lease; it is not known afterwards where the store is silent."""
        try:
            found = await self._store.read(self._group, LEASE_TIMEOUT)
            if found is None:
                found = await self._store.create(self._group, self._node, LEASE_TIMEOUT)
                self._note_created(found)
        except LeaseStoreUnavailableError as error:
            self._log_failure(error)
            return
        if found is not None:
            self._know(found)
            self.is_unwritten = self.is_own and self.known != found

    def _note_created(self, created: Lease | None) -> None:
        """Hold back where there may have been a lease that the store lost."""
        if created is not None and created.token.era > FIRST_ERA:
            self._be_quiet()

    def _be_quiet(self) -> None:
        """Leave the last holder of a former era the time of an order that it may have begun."""
        self.quiet_until = max(self.quiet_until, self._now() + self._timing.lease_observation)

    def _know(self, found: Lease) -> None:
        """Take the lease as the store has it.

        What the store lost of it is kept from before. Of a lease that was written in a former era
        nobody knows who held it last, also where it names this node.
        """
        memory = self._memory
        is_new_era = memory is not None and found.token.era > memory.token.era
        if memory is not None and (is_new_era or found.is_of_former_era):
            found = found.with_later_changes_of(memory)
        if found.is_of_former_era:
            found = replace(found, holder=UNKNOWN_HOLDER)
            if memory is None or memory.token != found.token:
                self._be_quiet()
                self._log_former_era(found)
        self.known = self._memory = found
        self._era = max(self._era, found.token.era)

    def _log_former_era(self, found: Lease) -> None:
        token = str(found.token)
        log_event(logger, LEASE_OF_FORMER_ERA, group=self._group, token=token, era=found.era)

    def record_era(self, era: int) -> None:
        """Note that the store came back from a copy: whoever held the lease, it is over."""
        self._era = max(self._era, era)
        if self.known is None or self.is_current:
            return
        self.must_reclaim = self.must_reclaim or self.is_own
        self.known = replace(self.known, holder=UNKNOWN_HOLDER)
        self.is_unwritten = False

    async def reclaim(self) -> None:
        """Write the lease again if this node held it before the store came back from a copy."""
        known = self.known
        if not self.must_reclaim or known is None or not self.is_current:
            return
        if self._now() < self.quiet_until:
            return
        if known.holder == UNKNOWN_HOLDER:
            await self.write(known.last_change, known.unsettled)
        else:
            self.must_reclaim = False

    async def refresh(self, situation: Situation, is_wanted: Callable[[], bool]) -> bool:
        """Read another node's lease where that is due; False: it must not be taken over now.

        `is_wanted`: whether this node would take it over, by what it knows.
        """
        if self.is_own:
            return True
        if not self._is_read_due(situation, is_wanted):
            return False
        self._read_at = self._now()
        self._is_read = False
        try:
            found = await self._store.read(self._group, LEASE_TIMEOUT)
        except LeaseStoreUnavailableError as error:
            self._log_failure(error)
            return False
        self._is_read = True
        is_first = self._read_for != situation.trouble_since
        self._read_for = situation.trouble_since
        if found is not None:
            self._take_read(found, is_first)
        return True

    def _take_read(self, found: Lease, is_first: bool) -> None:
        """Take another node's lease, and leave it alone for as long as its holder may act."""
        quiet = quiet_time(self.known, found, is_first, self._timing)
        self._know(found)
        if not found.is_of_former_era:
            self.quiet_until = max(self.quiet_until, self._now() + quiet)

    def _is_read_due(self, situation: Situation, is_wanted: Callable[[], bool]) -> bool:
        """Whether the store is to be asked: from when the holder may act, now and then, and last
        before the lease is taken over. A store that gave no answer is left for a while."""
        now = self._now()
        if not is_suspicion_over(situation, now, self._timing):
            return False
        if now - self._read_at >= LEASE_READ_INTERVAL:
            return True
        if not self._is_read:
            return False
        return self._read_for != situation.trouble_since or is_wanted()

    async def write(
        self, last_change: OrderedChange | None, unsettled: OrderedChange | None
    ) -> Lease | None:
        """Write the lease as this node's, with a new token; None: it is another node's.

        Where the store gives no answer, a holder's present token serves, if the outside service
        checks tokens: a newer holder's would be higher. One that was refused is not used again.
        """
        held = self.known
        assert held is not None
        content = replace(held, holder=self._node, last_change=last_change, unsettled=unsettled)
        asked_at = self._now()
        try:
            written = await self._store.write(held, content, LEASE_TIMEOUT)
        except LeaseStoreUnavailableError as error:
            self._log_failure(error)
            may_reuse = self._fence_checked and held.token != self._refused_token
            if held.holder != self._node or not may_reuse:
                return None
            self.known = self._memory = content
            self.is_unwritten = True
            return content
        if written is None:
            await self._read_conflicting(held)
            return None
        if written.is_of_former_era:
            # The store came back from a copy meanwhile: the condition held for another write.
            self._know(written)
            return None
        self.known = self._memory = written
        self.is_unwritten = self.must_reclaim = False
        self._written_at = asked_at
        log_event(logger, LEASE_TAKEN, group=self._group, token=str(written.token))
        return written

    async def ensure_held(self) -> Lease | None:
        """Return this node's lease for an order that is given now; None: it may be another node's.

        What lies between a write and the order may take long, or the process stood still: then the
        lease is written anew, which fails if another node has taken it over. Where the outside
        service checks tokens it refuses what comes too late.
        """
        known = self.known
        if known is None or not self.is_own:
            return None
        is_young = self._now() - self._written_at < self._timing.order_window
        if is_young or self._fence_checked:
            return known
        return await self.write(known.last_change, known.unsettled)

    async def flush(self) -> None:
        """Write what was decided without the store, once it answers again.

        Another node that takes the lease over must know which member was promoted last: it may
        reach only a former primary, whose old log must not lead again.
        """
        known = self.known
        if known is not None and self.is_own and self.is_unwritten:
            await self.write(known.last_change, known.unsettled)

    async def _read_conflicting(self, held: Lease) -> None:
        """Read what another node wrote meanwhile, and leave it the time of one change."""
        try:
            found = await self._store.read(self._group, LEASE_TIMEOUT)
        except LeaseStoreUnavailableError as error:
            # It stays as it was known, so that the next write conflicts again.
            self._log_failure(error)
            return
        if found is None:
            return
        is_same_era = found.token.era == held.token.era
        if found.holder == self._node and self.is_unwritten and is_same_era:
            # An earlier write of this node was carried out late: what came after it still counts.
            self.known = replace(held, token=found.token)
            return
        self._know(found)
        self.is_unwritten = False
        if not self.is_own:
            self.quiet_until = self._now() + self._timing.attempt_timeout

    async def release(self) -> None:
        """Give the lease up before the node stops, so that nobody has to wait for it."""
        held = self.known
        if held is None or not self.is_own:
            return
        try:
            released = replace(held, holder=NO_HOLDER)
            written = await self._store.write(held, released, LEASE_TIMEOUT)
        except LeaseStoreUnavailableError as error:
            self._log_failure(error)
            return
        if written is not None:
            self._know(written)
            log_event(logger, LEASE_RELEASED, group=self._group, token=str(written.token))

    def record_refused_token(self, token: Revision) -> None:
        """Use a token no more: another node has used a higher one."""
        self._refused_token = token

    def _log_failure(self, error: LeaseStoreUnavailableError) -> None:
        log_event(logger, LEASE_STORE_FAILED, group=self._group, error=str(error))
