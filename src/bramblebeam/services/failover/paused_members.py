"""Pauses the members of one group while its primary is changed.

A paused member receives nothing and confirms no lease on the former leader. A restart ends the
pause, so the members' statuses are checked again before an order.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection, Mapping

from bramblebeam.core.failover.target import CandidateStatus
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.witness_uptimes import SETTLED_SECONDS
from bramblebeam.core.identity import GroupId, InstanceId
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import CHANGE_TOO_SLOW, MEMBERS_NOT_PAUSED, MEMBERS_PAUSED
from bramblebeam.services.failover.member_orders import MemberOrders, MemberUnreachableError
from bramblebeam.services.waiting import loop_time

logger = logging.getLogger(__name__)

RECHECK_TIMEOUT = 0.4
"""How long the check before an order waits for status replies (seconds). `SETTLED_SECONDS`, after
which a node considers any change to be over, counts from that time."""

Statuses = dict[InstanceId, CandidateStatus]


class PausedMembers:
    """Pauses members, tracks which of them may still confirm leases, and resumes them.

    `paused_at`: when the last reply to a pause was received (seconds of the monotonic clock).
    """

    def __init__(self, group: GroupId, orders: MemberOrders) -> None:
        self.paused_at = 0.0
        self._surveyed_at = 0.0
        self._group = group
        self._orders = orders
        self._paused: set[InstanceId] = set()
        self._gone: set[InstanceId] = set()

    def __bool__(self) -> bool:
        """Whether members were paused and not resumed."""
        return bool(self._paused)

    async def statuses(self, instances: Collection[InstanceId]) -> Statuses:
        """Return the statuses of the members that reply."""
        self._surveyed_at = loop_time()
        return _drop_missing(instances, await asyncio.gather(*map(self._status, instances)))

    async def pause(self, instances: Collection[InstanceId], term: int) -> Statuses:
        """Stop replicas from receiving, except from a leader of `term` or a newer term.

        Return the statuses of those that reply.
        """
        replies = await asyncio.gather(*(self._pause(name, term) for name in instances))
        self.paused_at = loop_time()
        return _drop_missing(instances, replies)

    def unresponsive(
        self,
        members: Collection[DatabaseEntry],
        former: InstanceId | None,
        statuses: Mapping[InstanceId, CandidateStatus],
    ) -> list[InstanceId]:
        """Return the registered members that did not reply and may still run."""
        unpaused = self.unpaused(members, former, statuses)
        return [instance for instance in unpaused if instance not in statuses]

    def unpaused(
        self,
        members: Collection[DatabaseEntry],
        former: InstanceId | None,
        statuses: Mapping[InstanceId, CandidateStatus],
    ) -> list[InstanceId]:
        """Return the members that may still confirm leases on the former leader."""
        return [
            entry.instance
            for entry in members
            if entry.instance != former
            and not entry.lapsed
            and entry.instance not in self._gone
            and not (entry.instance in statuses and statuses[entry.instance].paused)
        ]

    def renew_survey(self) -> None:
        """Record that the members are queried again now, before they are checked."""
        self._surveyed_at = loop_time()

    def ignored(
        self,
        members: Collection[DatabaseEntry],
        former: InstanceId | None,
        statuses: Mapping[InstanceId, CandidateStatus],
    ) -> list[InstanceId]:
        """Return the members that are ignored as their registration lapsed, but may still run."""
        return [
            entry.instance
            for entry in members
            if entry.lapsed
            and entry.instance not in (former, *self._gone)
            and not (entry.instance in statuses and statuses[entry.instance].paused)
        ]

    async def all_still_paused(
        self, members: Collection[DatabaseEntry], former: InstanceId | None
    ) -> bool:
        """Whether each registered member is paused, or nothing listens at its address.

        A lapsed member is ignored: its registration has expired. False as well if the members were
        first queried so long ago that one which was gone then, and is again, may have run meanwhile
        for long enough to confirm leases.
        """
        others = [entry for entry in members if entry.instance != former]
        statuses = await self._statuses_within_timeout([entry.instance for entry in others])
        unpaused = self.unpaused(others, former, statuses)
        if unpaused:
            log_event(
                logger, MEMBERS_NOT_PAUSED, group=self._group, members=", ".join(sorted(unpaused))
            )
        duration = loop_time() - self._surveyed_at
        if duration > SETTLED_SECONDS:
            milliseconds = round(duration * 1000)
            log_event(logger, CHANGE_TOO_SLOW, group=self._group, duration_ms=milliseconds)
        return not unpaused and duration <= SETTLED_SECONDS

    async def _statuses_within_timeout(self, instances: Collection[InstanceId]) -> Statuses:
        """Return the statuses of the members that reply within RECHECK_TIMEOUT."""
        queries = {name: asyncio.ensure_future(self._status(name)) for name in instances}
        if not queries:
            return {}
        replied, pending = await asyncio.wait(queries.values(), timeout=RECHECK_TIMEOUT)
        for task in pending:
            task.cancel()
        found = {name: task.result() for name, task in queries.items() if task in replied}
        return {name: status for name, status in found.items() if status is not None}

    def log(
        self,
        members: Collection[DatabaseEntry],
        former: InstanceId | None,
        statuses: Mapping[InstanceId, CandidateStatus],
        term: int,
    ) -> None:
        """Log which members are paused and why the others are not."""
        paused = sorted(name for name, status in statuses.items() if status.paused)
        others = [
            f"{entry.instance}: {self._state(entry, statuses)}"
            for entry in members
            if entry.instance != former and entry.instance not in paused
        ]
        log_event(
            logger,
            MEMBERS_PAUSED,
            group=self._group,
            term=term,
            paused=", ".join(paused),
            others=", ".join(others),
        )

    def _state(self, entry: DatabaseEntry, statuses: Mapping[InstanceId, CandidateStatus]) -> str:
        if entry.instance in statuses:
            return "it receives"
        if entry.instance in self._gone:
            return "nothing listens"
        return "lapsed and silent" if entry.lapsed else "silent"

    async def resume(self) -> None:
        """Let the paused members receive again. Only the lease holder may call this."""
        await asyncio.gather(*(self._resume(instance) for instance in self._paused))
        self._paused.clear()

    async def resume_abandoned(self, statuses: Mapping[InstanceId, CandidateStatus]) -> None:
        """Resume members that a node paused for a change that was never completed."""
        self._paused |= {instance for instance, status in statuses.items() if status.paused}
        await self.resume()

    def forget(self) -> None:
        """Leave the paused members to the new lease holder."""
        self._paused.clear()

    async def _status(self, instance: InstanceId) -> CandidateStatus | None:
        self._gone.discard(instance)
        try:
            status = await self._orders.status(instance)
        except MemberUnreachableError as error:
            # Already logged by MemberOrders. A member without a status is never a target.
            if error.is_gone:
                self._gone.add(instance)
            return None
        if status is None:
            return None
        is_paused = status.held_term > status.term
        return CandidateStatus(status.is_primary, status.term, status.received, is_paused)

    async def _pause(self, instance: InstanceId, term: int) -> CandidateStatus | None:
        self._paused.add(instance)
        self._gone.discard(instance)
        try:
            status = await self._orders.pause(instance, term)
        except MemberUnreachableError as error:
            if error.is_gone:
                self._gone.add(instance)
            return None
        if status is None:
            return None
        is_paused = status.held_term >= term
        return CandidateStatus(status.is_primary, status.term, status.received, is_paused)

    async def _resume(self, instance: InstanceId) -> None:
        try:
            await self._orders.resume(instance)
        except MemberUnreachableError:
            # Already logged by MemberOrders. The group's next watch finds it paused and retries.
            return


def _drop_missing(
    instances: Collection[InstanceId], replies: Collection[CandidateStatus | None]
) -> Statuses:
    return {
        instance: status
        for instance, status in zip(instances, replies, strict=True)
        if status is not None
    }
