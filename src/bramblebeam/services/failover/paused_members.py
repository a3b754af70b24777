"""The members of one group that receive nothing while its primary is changed.

A member that is paused confirms no lease on the former leader. One that starts again has forgotten
its pause, so that what a member answered is looked at once more before an order.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection, Mapping

from bramblebeam.core.failover.target import CandidateStatus
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.identity import GroupId, InstanceId
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import MEMBERS_FREE, MEMBERS_PAUSED
from bramblebeam.services.failover.member_orders import MemberOrders, MemberUnreachableError
from bramblebeam.services.waiting import loop_time

logger = logging.getLogger(__name__)

LOOK_SECONDS = 0.4
"""For how long answers are waited for before an order: what a node takes for the end of any change
(`SETTLED_SECONDS`) counts from then."""

Statuses = dict[InstanceId, CandidateStatus]


class PausedMembers:
    """Pauses members, knows which of them may still confirm leases, and lets them go on.

    `paused_at`: when the last answer to a pause came (steady clock, seconds).
    """

    def __init__(self, group: GroupId, orders: MemberOrders) -> None:
        self.paused_at = 0.0
        self._group = group
        self._orders = orders
        self._paused: set[InstanceId] = set()
        self._gone: set[InstanceId] = set()

    def __bool__(self) -> bool:
        """Whether members were paused and not let go on."""
        return bool(self._paused)

    async def statuses(self, instances: Collection[InstanceId]) -> Statuses:
        """Return what those members say that answer."""
        return _answered(instances, await asyncio.gather(*map(self._status, instances)))

    async def pause(self, instances: Collection[InstanceId], term: int) -> Statuses:
        """Stop replicas from receiving, but from a leader of `term` or a newer one.

        Return what those say that answer.
        """
        answers = await asyncio.gather(*(self._pause(name, term) for name in instances))
        self.paused_at = loop_time()
        return _answered(instances, answers)

    def record_gone(self, instances: Collection[InstanceId]) -> None:
        """Note that nothing listened at the addresses of members a moment ago."""
        self._gone.update(instances)

    def unresponsive(
        self,
        members: Collection[DatabaseEntry],
        former: InstanceId | None,
        statuses: Mapping[InstanceId, CandidateStatus],
    ) -> list[InstanceId]:
        """Return the registered members that gave no answer, and may live."""
        free = self.unpaused(members, former, statuses)
        return [instance for instance in free if instance not in statuses]

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

    async def all_still_paused(
        self, members: Collection[DatabaseEntry], former: InstanceId | None
    ) -> bool:
        """Whether every member that is registered now is paused, or nothing listens there."""
        others = [entry for entry in members if entry.instance != former]
        statuses = await self._look([entry.instance for entry in others])
        free = self.unpaused(others, former, statuses)
        if free:
            log_event(logger, MEMBERS_FREE, group=self._group, members=", ".join(sorted(free)))
        return not free

    async def _look(self, instances: Collection[InstanceId]) -> Statuses:
        """Return what those members say that answer soon."""
        asked = {name: asyncio.ensure_future(self._status(name)) for name in instances}
        if not asked:
            return {}
        answered, late = await asyncio.wait(asked.values(), timeout=LOOK_SECONDS)
        for task in late:
            task.cancel()
        found = {name: task.result() for name, task in asked.items() if task in answered}
        return {name: status for name, status in found.items() if status is not None}

    def log(
        self,
        members: Collection[DatabaseEntry],
        former: InstanceId | None,
        statuses: Mapping[InstanceId, CandidateStatus],
        term: int,
    ) -> None:
        """Log which members are paused, and why the others are not."""
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
        """Let the paused members receive again. Call it only as the lease's holder."""
        await asyncio.gather(*(self._resume(instance) for instance in self._paused))
        self._paused.clear()

    async def resume_abandoned(self, statuses: Mapping[InstanceId, CandidateStatus]) -> None:
        """Let members receive again that somebody paused for a change which never came."""
        self._paused |= {instance for instance, status in statuses.items() if status.paused}
        await self.resume()

    def forget(self) -> None:
        """Leave the paused members to the lease's new holder."""
        self._paused.clear()

    async def _status(self, instance: InstanceId) -> CandidateStatus | None:
        self._gone.discard(instance)
        try:
            status = await self._orders.status(instance)
        except MemberUnreachableError as error:
            # Logged where it was met; a member without a status is no target.
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
            # Logged where it was met; the next watch of the group finds it paused and tries again.
            return


def _answered(
    instances: Collection[InstanceId], answers: Collection[CandidateStatus | None]
) -> Statuses:
    return {
        instance: status
        for instance, status in zip(instances, answers, strict=True)
        if status is not None
    }
