"""Decides for one synchronous group which logs may hold the only copy of an acknowledged commit."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Collection, Mapping

from bramblebeam.core.failover.member_ends import MemberEnds
from bramblebeam.core.failover.roster import Roster, RosterMember
from bramblebeam.core.failover.target import CandidateStatus
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.identity import (
    ZERO_POSITION,
    GroupId,
    InstanceId,
    Position,
    incarnation_of,
    server_name,
)
from bramblebeam.services.failover.departed_probe import DepartedProbe, ProbeResult
from bramblebeam.services.failover.member_orders import MemberOrders, MemberUnreachableError
from bramblebeam.services.gateway.context import GatewayContext

PROOF_TIMEOUT = 0.45
"""How long the leader may take to tell the end of its log (seconds)."""
QUERY_INTERVAL = 0.5
"""Minimum interval between two queries of the members for the same departed databases (seconds)."""

Statuses = Mapping[InstanceId, CandidateStatus]


class LogCoverage:
    """What this node knows of the logs of a group's departed databases.

    Before a change, a departed database's log is covered by evidence: it was seen to have ended,
    the leader then told the end of its log, and another member has received that. In a change, a
    paused log covers it that fulfils the same, or is at least as long as the database tells itself,
    or is its successor's.
    """

    def __init__(self, context: GatewayContext, orders: MemberOrders, group: GroupId) -> None:
        self._context = context
        self._orders = orders
        self._group = group
        self._ends = MemberEnds()
        self._probes: dict[InstanceId, DepartedProbe] = {}
        self._covered: set[InstanceId] = set()
        self._queried_for: list[InstanceId] = []
        self._queried_at = float("-inf")

    def registered(self) -> list[RosterMember]:
        """Return the databases whose registration has not lapsed."""
        members = self._context.leader(self._group).members()
        return [RosterMember(one.instance, one.address) for one in members if not one.lapsed]

    def departed(self, roster: Roster) -> list[DatabaseEntry]:
        """Return the databases that are no longer registered and not known to be covered."""
        registered = {member.instance for member in self.registered()}
        found = {
            member.instance: member.as_departed(self._group)
            for member in roster.missing(registered)
        }
        remembered = [
            *self._context.placement.departed(self._group),
            *self._context.leader(self._group).members(),
        ]
        for entry in remembered:
            if entry.instance not in registered and entry.instance not in roster.covered:
                found[entry.instance] = entry
        return list(found.values())

    def close(self) -> None:
        """Close the connections to departed databases."""
        self._watch([])

    # In calm.

    async def covered(self, roster: Roster, synchronous: int) -> list[InstanceId]:
        """Return the listed departed databases that other members are seen to cover.

        `synchronous`: number of replicas that must receive a commit before it is acknowledged.
        """
        departed = [entry.instance for entry in self.departed(roster)]
        await self._observe_ends(roster)
        ended = [instance for instance in departed if self._ends.ended_at(instance) is not None]
        pending = [instance for instance in ended if instance not in self._covered]
        if pending and self._is_query_due(pending):
            await self._query(pending, synchronous)
        return [instance for instance in departed if instance in self._covered]

    async def _query(self, ended: list[InstanceId], synchronous: int) -> None:
        """Record which ended databases are covered, by what the leader and the replicas tell.

        The leader has to lead all the while: a former one reports as a replica.
        """
        leaders = self._context.leader(self._group)
        leader = leaders.leader
        ended_at = max(self._ends.ended_at(one) or 0.0 for one in ended)
        deadline = self._context.now() + PROOF_TIMEOUT
        queried_after = math.nextafter(ended_at, math.inf)
        if leader is None or not await leaders.wait_proof(queried_after, deadline):
            return
        mark = leaders.watermarks.newest
        received = await self._received_by_others(leader)
        if leaders.leader != leader:
            return
        for instance in ended:
            reached = [one for one in received if self._ends.is_covered(instance, one, mark)]
            if len(reached) >= synchronous:
                self._covered.add(instance)

    def _is_query_due(self, ended: list[InstanceId]) -> bool:
        now = self._context.now()
        if ended == self._queried_for and now - self._queried_at < QUERY_INTERVAL:
            return False
        self._queried_for, self._queried_at = ended, now
        return True

    async def _observe_ends(self, roster: Roster) -> None:
        """Record which databases have ended, of those that left or that refuse connections."""
        self._observe_running()
        watched = [*self.departed(roster), *self._refusing()]
        self._watch(watched)
        results = await asyncio.gather(*(self._probe(entry) for entry in watched))
        for entry, result in zip(watched, results, strict=True):
            self._record(entry.instance, result)

    def _observe_running(self) -> None:
        """Record that databases run to which this node has other connections."""
        for pool in self._context.placement.members(self._group):
            if not pool.entry.lapsed and not pool.is_gone:
                self._record(pool.entry.instance, ProbeResult.RUNS)

    def _refusing(self) -> list[DatabaseEntry]:
        """Return the registered databases at whose addresses nothing listened lately."""
        pools = self._context.placement.members(self._group)
        return [pool.entry for pool in pools if pool.is_gone and not pool.entry.lapsed]

    def _record(self, instance: InstanceId, result: ProbeResult) -> None:
        if result is ProbeResult.ENDED:
            self._ends.record_ended(instance, self._context.now())
        elif result is ProbeResult.RUNS:
            self._ends.record_running(instance)
            self._covered.discard(instance)

    def _watch(self, entries: Collection[DatabaseEntry]) -> None:
        """Keep a probe of each of these databases."""
        for entry in entries:
            if entry.instance not in self._probes:
                self._probes[entry.instance] = DepartedProbe(entry, self._context.placement)
        names = {entry.instance for entry in entries}
        for instance in self._probes.keys() - names:
            self._probes.pop(instance).close()
        kept = {*names, *(member.instance for member in self.registered())}
        self._ends.keep_only(kept)
        self._covered &= kept

    async def _probe(self, entry: DatabaseEntry) -> ProbeResult:
        if self._context.placement.has_restarted(self._group, entry.instance):
            return ProbeResult.ENDED
        return await self._probes[entry.instance].check()

    async def _received_by_others(self, leader: InstanceId) -> list[Position]:
        """Return what the registered members other than the leader have received."""
        replicas = [
            pool.entry.instance
            for pool in self._context.placement.members(self._group)
            if pool.entry.instance != leader and not pool.entry.lapsed and not pool.unresponsive
        ]
        return list(await asyncio.gather(*map(self._received, replicas)))

    async def _received(self, instance: InstanceId) -> Position:
        try:
            status = await self._orders.status(instance)
        except MemberUnreachableError:
            # Already logged by MemberOrders. It is asked again.
            return ZERO_POSITION
        is_replica = status is not None and not status.is_primary
        return status.received if status is not None and is_replica else ZERO_POSITION

    # In a change.

    async def uncovered(
        self,
        roster: Roster,
        former: InstanceId | None,
        statuses: Statuses,
        target: InstanceId,
        term: int,
    ) -> list[InstanceId]:
        """Return the departed databases whose log neither the target nor a successor has.

        `former`: the primary to replace. `statuses`: of the replicas that replied. Databases that
        left and still run are paused at `term`.
        """
        self._observe_running()
        leader = former or roster.leader
        departed = [entry for entry in self.departed(roster) if not _is_life_of(entry, leader)]
        departed = [entry for entry in departed if entry.instance not in statuses]
        results = await asyncio.gather(
            *(self._is_covered(entry, statuses, target, term) for entry in departed)
        )
        return [
            entry.instance
            for entry, is_covered in zip(departed, results, strict=True)
            if not is_covered
        ]

    async def _is_covered(
        self, entry: DatabaseEntry, statuses: Statuses, target: InstanceId, term: int
    ) -> bool:
        received = statuses[target].received
        if entry.instance in self._covered or self._has_successor(entry, statuses):
            return True
        if not self._context.placement.has_restarted(self._group, entry.instance):
            try:
                status = await self._orders.pause_departed(entry, term)
            except MemberUnreachableError as error:
                # Already logged by MemberOrders. It may have ended with a longer log.
                if error.is_gone:
                    self._ends.record_ended(entry.instance, self._context.now())
            else:
                return status is not None and status.received <= received
        mark = self._context.leader(self._group).watermarks.newest
        return self._ends.is_covered(entry.instance, received, mark) or self._is_whole(received)

    def _has_successor(self, entry: DatabaseEntry, statuses: Statuses) -> bool:
        """Whether the database at the departed one's address, which gets its log, has replied."""
        return any(
            member.address == entry.address
            and server_name(member.instance) != server_name(entry.instance)
            and member.instance in statuses
            and statuses[member.instance].received.offset > 0
            for member in self.registered()
        )

    def _is_whole(self, received: Position) -> bool:
        """Whether a log has every acknowledged commit, in a deployment of one node.

        The leader's last proof covers what was acknowledged before, and only this node's own
        commits came after it.
        """
        nodes, _ = self._context.leader_users(self._group)
        if nodes or self._context.expects_others:
            return False
        leaders = self._context.leader(self._group)
        mark = leaders.watermarks.newest
        is_known = mark.queried_at > float("-inf")
        return is_known and received >= max(mark.position, leaders.last_commit)


def _is_life_of(entry: DatabaseEntry, leader: InstanceId | None) -> bool:
    """Whether an entry is the leader's, or that of an earlier incarnation of it."""
    if leader is None or server_name(entry.instance) != server_name(leader):
        return False
    return incarnation_of(entry.instance) <= incarnation_of(leader)
