"""One node's view of the lease for changing a group's primary, which is kept in the store."""

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
"""Timeout of one call to the store (seconds). A healthy store responds within milliseconds."""
LEASE_READ_INTERVAL = 0.5
"""Interval between reads of another node's lease while the leader is missing (seconds). It delays
the replacement of a holder that fails right after a write by at most this time;
`FailoverTiming.attempt_timeout` is five times as long.
"""
NO_HOLDER = NodeId("")


class GroupLease:
    """Reads, writes and releases the lease, and tracks when another node's may be taken over.

    `known`: the lease as last read or written. `is_current`: whether that was in the store's
    present era. `quiet_until`: until when the lease may not be taken over (seconds of the monotonic
    clock). `is_unwritten`: `known` was decided while the store was unavailable and is not stored
    yet. `must_reclaim`: this node held the lease when the store was restored from a copy, and has
    not written it since.
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
        self._last_known: Lease | None = None
        self._era = FIRST_ERA

    @property
    def is_own(self) -> bool:
        """Whether this node holds the lease, as far as it knows."""
        return self.known is not None and self.known.holder == self._node

    @property
    def is_current(self) -> bool:
        """Whether the lease is known in the store's present era."""
        return self.known is not None and self.known.token.era >= self._era

    async def create_or_read(self) -> None:
        """Read the lease, or create it if there is none.

        If the store is unavailable, `known` stays as it is.
        """
        try:
            found = await self._store.read(self._group, LEASE_TIMEOUT)
            if found is None:
                found = await self._store.create(self._group, self._node, LEASE_TIMEOUT)
                self._delay_if_restored(found)
        except LeaseStoreUnavailableError as error:
            self._log_failure(error)
            return
        if found is not None:
            self._set_known(found)
            self.is_unwritten = self.is_own and self.known != found

    def _delay_if_restored(self, created: Lease | None) -> None:
        """Start a quiet time if the store may have lost an earlier lease in a restore."""
        if created is not None and created.token.era > FIRST_ERA:
            self._extend_quiet_time()

    def _extend_quiet_time(self) -> None:
        """Give the last holder of a former era the time of an order that it may have begun."""
        self.quiet_until = max(self.quiet_until, self._now() + self._timing.lease_observation)

    def _set_known(self, found: Lease) -> None:
        """Set `known` to the lease as read from the store.

        Changes that the store lost are kept from the previous state. The last holder of a lease
        written in a former era is unknown, even if the lease names this node.
        """
        last_known = self._last_known
        is_new_era = last_known is not None and found.token.era > last_known.token.era
        if last_known is not None and (is_new_era or found.is_of_former_era):
            found = found.with_later_changes_of(last_known)
        if found.is_of_former_era:
            found = replace(found, holder=UNKNOWN_HOLDER)
            if last_known is None or last_known.token != found.token:
                self._extend_quiet_time()
                self._log_former_era(found)
        self.known = self._last_known = found
        self._era = max(self._era, found.token.era)

    def _log_former_era(self, found: Lease) -> None:
        token = str(found.token)
        log_event(logger, LEASE_OF_FORMER_ERA, group=self._group, token=token, era=found.era)

    def record_era(self, era: int) -> None:
        """Record that the store was restored from a copy: no node holds the lease any more."""
        self._era = max(self._era, era)
        if self.known is None or self.is_current:
            return
        self.must_reclaim = self.must_reclaim or self.is_own
        self.known = replace(self.known, holder=UNKNOWN_HOLDER)
        self.is_unwritten = False

    async def reclaim(self) -> None:
        """Write the lease again if this node held it before the store was restored from a copy."""
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
        """Read another node's lease if a read is due; False: it must not be taken over now.

        `is_wanted`: returns whether this node would take the lease over, by what it knows.
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
            self._handle_read(found, is_first)
        return True

    def _handle_read(self, found: Lease, is_first: bool) -> None:
        """Update `known` from a read, and give the holder the time in which it may act."""
        quiet = quiet_time(self.known, found, is_first, self._timing)
        self._set_known(found)
        if not found.is_of_former_era:
            self.quiet_until = max(self.quiet_until, self._now() + quiet)

    def _is_read_due(self, situation: Situation, is_wanted: Callable[[], bool]) -> bool:
        """Whether to read the lease now.

        Reads begin once the holder may act: one at once per trouble, then every
        LEASE_READ_INTERVAL, and one right before the lease is taken over. After a failed read the
        next one always waits for that interval.
        """
        now = self._now()
        if not is_suspicion_over(situation, now, self._timing):
            return False
        if now - self._read_at >= LEASE_READ_INTERVAL:
            return True
        if not self._is_read:
            return False
        return self._read_for != situation.trouble_since or is_wanted()

    async def write(
        self,
        last_change: OrderedChange | None,
        unsettled: OrderedChange | None,
        preparing: bool = False,
    ) -> Lease | None:
        """Write the lease as this node's, with a new token; None: it may be another node's.

        `preparing`: members are about to be paused for a change. Nodes that use the leader can then
        tell from the lease that a member which restarts from now on may have forgotten a pause.

        If the store is unavailable, a holder keeps its present token, provided that the external
        service checks tokens: it would refuse this token if a newer holder had used a higher one. A
        token that was refused is not used again.
        """
        held = self.known
        assert held is not None
        content = replace(
            held,
            holder=self._node,
            last_change=last_change,
            unsettled=unsettled,
            preparing=preparing,
        )
        requested_at = self._now()
        try:
            written = await self._store.write(held, content, LEASE_TIMEOUT)
        except LeaseStoreUnavailableError as error:
            self._log_failure(error)
            may_reuse = self._fence_checked and held.token != self._refused_token
            if held.holder != self._node or not may_reuse:
                return None
            self.known = self._last_known = content
            self.is_unwritten = True
            return content
        if written is None:
            await self._read_conflicting(held)
            return None
        if written.is_of_former_era:
            # The store was restored meanwhile: the write's condition matched a different write.
            self._set_known(written)
            return None
        self.known = self._last_known = written
        self.is_unwritten = self.must_reclaim = False
        self._written_at = requested_at
        log_event(logger, LEASE_TAKEN, group=self._group, token=str(written.token))
        return written

    async def ensure_held(self) -> Lease | None:
        """Return this node's lease for an order sent now; None: it may be another node's.

        The steps between the lease write and the order may take long, or the process may have been
        suspended. The lease is then written again, which fails if another node has taken it over.
        If the external service checks tokens, this is not needed: it refuses late orders.
        """
        known = self.known
        if known is None or not self.is_own:
            return None
        is_recent = self._now() - self._written_at < self._timing.order_window
        if is_recent or self._fence_checked:
            return known
        return await self.write(known.last_change, known.unsettled)

    async def flush(self) -> None:
        """Write what was decided while the store was unavailable.

        Another node that takes the lease over must know which member was promoted last: it may
        reach only a former primary, which must not be promoted with its old log.
        """
        known = self.known
        if known is not None and self.is_own and self.is_unwritten:
            await self.write(known.last_change, known.unsettled)

    async def _read_conflicting(self, held: Lease) -> None:
        """Read what another node wrote meanwhile, and give that node the time of one change.

        A node that released the lease meanwhile needs none.
        """
        try:
            found = await self._store.read(self._group, LEASE_TIMEOUT)
        except LeaseStoreUnavailableError as error:
            # `known` stays unchanged, so the next write conflicts again.
            self._log_failure(error)
            return
        if found is None:
            return
        is_same_era = found.token.era == held.token.era
        if found.holder == self._node and self.is_unwritten and is_same_era:
            # An earlier write of this node took effect late. What was decided after it is valid.
            self.known = replace(held, token=found.token)
            return
        self._set_known(found)
        self.is_unwritten = False
        if not self.is_own and found.holder != NO_HOLDER:
            self.quiet_until = self._now() + self._timing.attempt_timeout

    async def release(self) -> None:
        """Release the lease, so that another node need not wait before it takes it over."""
        held = self.known
        if held is None or not self.is_own:
            return
        try:
            released = replace(held, holder=NO_HOLDER, preparing=False)
            written = await self._store.write(held, released, LEASE_TIMEOUT)
        except LeaseStoreUnavailableError as error:
            self._log_failure(error)
            return
        if written is not None:
            self._set_known(written)
            log_event(logger, LEASE_RELEASED, group=self._group, token=str(written.token))

    def record_refused_token(self, token: Revision) -> None:
        """Record a refused token, which is not used again: another node has used a higher one."""
        self._refused_token = token

    def _log_failure(self, error: LeaseStoreUnavailableError) -> None:
        log_event(logger, LEASE_STORE_FAILED, group=self._group, error=str(error))
