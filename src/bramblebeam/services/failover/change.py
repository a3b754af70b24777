"""One change of primary: positions, target, order."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from bramblebeam.core.failover.lease import Lease, OrderedChange
from bramblebeam.core.failover.target import (
    CandidateStatus,
    choose_target,
    covers_acknowledged,
    next_term,
)
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.state import NO_STATE
from bramblebeam.core.identity import ZERO_POSITION, GroupId, InstanceId, Position
from bramblebeam.core.statement import Role
from bramblebeam.services.failover.ports import Order, Promoter
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.gateway.pool import PooledConnection
from bramblebeam.services.gateway.ports import ConnectError, ConnectionLostError, MemberStatus

STATUS_TIMEOUT = 0.35
STATUS_ATTEMPTS = 3
STATUS_PAUSE = 0.04
ORDER_TIMEOUT = 0.6


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """What became of a change. `order` None: nothing was ordered."""

    order: Order | None
    detail: str

    @property
    def ordered(self) -> bool:
        """Whether the order was accepted or may be carried out."""
        return self.order in (Order.ACCEPTED, Order.UNKNOWN)


class ChangeRunner:
    """Carries out changes of a group's primary: `prepare`, then `order`.

    Members that were paused stay so until the change is over, or until `resume`.
    """

    def __init__(self, context: GatewayContext, promoter: Promoter, group: GroupId) -> None:
        self._context = context
        self._promoter = promoter
        self._group = group
        self._paused: set[InstanceId] = set()
        self._synchronous = 0

    async def prepare(
        self, leader: InstanceId | None, last_change: OrderedChange | None
    ) -> OrderedChange | None:
        """Return the change to order, or None where no member may be promoted now.

        A member that says it is the primary is one: it was promoted meanwhile, or is back.
        """
        members = self._context.leader(self._group).members()
        settings = self._context.table.groups.get(self._group)
        self._synchronous = settings.synchronous_replicas if settings is not None else 0
        statuses = await self._statuses(members, leader)
        if any(status.is_primary for status in statuses.values()):
            return None
        if self._synchronous:
            statuses = await self._pause(statuses)
        is_synchronous = self._synchronous > 0
        if is_synchronous and not await self._departed_are_covered(statuses):
            return None
        target = choose_target(members, statuses, leader, last_change, is_synchronous)
        complete = covers_acknowledged(members, statuses, self._former(members), self._synchronous)
        if target is None or not complete:
            return None
        term = next_term(statuses, last_change)
        return OrderedChange(target, term, statuses[target].received)

    def _former(self, members: list[DatabaseEntry]) -> InstanceId | None:
        """Return the primary that is replaced: the last one proven, else the registered one."""
        proven = self._context.leader(self._group).last_leader
        if proven is not None:
            return proven
        primaries = (entry.instance for entry in members if entry.role is Role.PRIMARY)
        return next(primaries, None)

    async def order(self, lease: Lease, change: OrderedChange) -> ChangeOutcome:
        """Order the prepared change."""
        order = await self._promoter.promote(lease, change.target, ORDER_TIMEOUT)
        outcome = ChangeOutcome(order, order.value)
        if self._synchronous:
            await self._resume_after(change.target, outcome.ordered)
        return outcome

    @property
    def has_paused(self) -> bool:
        """Whether members were paused and not let go on."""
        return bool(self._paused)

    async def resume(self) -> None:
        """Let the paused members receive again. Call it only as the lease's holder."""
        await asyncio.gather(*(self._resume_one(instance) for instance in self._paused))
        self._paused.clear()

    def forget(self) -> None:
        """Leave the paused members to the lease's new holder."""
        self._paused.clear()

    # Members.

    async def _statuses(
        self, members: list[DatabaseEntry], leader: InstanceId | None
    ) -> dict[InstanceId, CandidateStatus]:
        asked = [
            entry.instance
            for entry in members
            if entry.instance != leader and not self._is_silent(entry.instance)
        ]
        found = await asyncio.gather(*(self._status(instance) for instance in asked))
        return {
            instance: CandidateStatus(status.is_primary, status.term, status.received)
            for instance, status in zip(asked, found, strict=True)
            if status is not None
        }

    def _is_silent(self, instance: InstanceId) -> bool:
        """Whether the member did not answer a moment ago: to ask it again only costs time."""
        pool = self._context.placement.pools.get(instance)
        return pool is None or pool.unresponsive

    async def _status(self, instance: InstanceId) -> MemberStatus | None:
        for _ in range(STATUS_ATTEMPTS):
            lent = await self._lend(instance)
            if lent is None:
                return None
            try:
                status = await lent.connection.status(STATUS_TIMEOUT)
            except ConnectionLostError:
                return None
            finally:
                lent.give_back()
            if status is not None:
                return status
            await asyncio.sleep(STATUS_PAUSE)
        return None

    async def _pause(
        self, statuses: dict[InstanceId, CandidateStatus]
    ) -> dict[InstanceId, CandidateStatus]:
        """Stop every reachable replica from receiving, above the newest term."""
        term = max((status.term for status in statuses.values()), default=0) + 1
        instances = list(statuses)
        paused = await asyncio.gather(*(self._pause_one(name, term) for name in instances))
        return {
            instance: CandidateStatus(status.is_primary, status.term, status.received, True)
            for instance, status in zip(instances, paused, strict=True)
            if status is not None
        }

    async def _departed_are_covered(self, statuses: dict[InstanceId, CandidateStatus]) -> bool:
        """Whether no database that left can have, or receive, more than a reachable member has.

        It is not known here any more, but counts for acknowledgements for as long as it runs.
        """
        longest = max((status.received for status in statuses.values()), default=ZERO_POSITION)
        term = next_term(statuses, None)
        departed = self._context.placement.departed(self._group)
        former = self._context.leader(self._group).last_leader
        others = [entry for entry in departed if entry.instance != former]
        covered = await asyncio.gather(
            *(self._is_covered(entry, term, longest) for entry in others)
        )
        return all(covered)

    async def _is_covered(self, entry: DatabaseEntry, term: int, longest: Position) -> bool:
        try:
            connection = await self._context.placement.connector.connect(entry, STATUS_TIMEOUT)
        except ConnectError as error:
            return error.is_gone
        try:
            status = await connection.pause_receiving(term, STATUS_TIMEOUT)
        except ConnectionLostError:
            return False
        finally:
            connection.close()
        return status is not None and status.received <= longest

    async def _pause_one(self, instance: InstanceId, term: int) -> MemberStatus | None:
        lent = await self._lend(instance)
        if lent is None:
            return None
        self._paused.add(instance)
        try:
            return await lent.connection.pause_receiving(term, STATUS_TIMEOUT)
        except ConnectionLostError:
            return None
        finally:
            lent.give_back()

    async def _resume_after(self, target: InstanceId, ordered: bool) -> None:
        """Let the replicas receive again once the target leads, or the order came to nothing."""
        leaders = self._context.leader(self._group)
        deadline = self._context.now() + 2.0
        while ordered and leaders.leader != target and self._context.now() < deadline:
            await leaders.wait_change(deadline)
        if leaders.leader == target:
            await self.resume()

    async def _resume_one(self, instance: InstanceId) -> None:
        lent = await self._lend(instance)
        if lent is None:
            return
        try:
            await lent.connection.resume_receiving(STATUS_TIMEOUT)
        except ConnectionLostError:
            pass
        finally:
            lent.give_back()

    async def _lend(self, instance: InstanceId) -> PooledConnection | None:
        pool = self._context.placement.pools.get(instance)
        if pool is None:
            return None
        try:
            return await pool.acquire(NO_STATE, STATUS_TIMEOUT)
        except (TimeoutError, ConnectError):
            return None
