"""Decides in a change of a synchronous group's primary whether acknowledged commits may be lost."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Collection, Coroutine
from typing import Any, Protocol

from bramblebeam.core.failover.roster import Roster
from bramblebeam.core.failover.target import covers_acknowledged, logs_not_paused, next_term
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.identity import GroupId, InstanceId, Position, server_name
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import LOGS_AWAITED
from bramblebeam.services.failover.log_coverage import LogCoverage, Statuses
from bramblebeam.services.gateway.context import GatewayContext

logger = logging.getLogger(__name__)

UNKNOWN_ROSTER = InstanceId("(the roster is not known)")
LOG_INTERVAL = 5.0
"""Minimum interval between log lines that name the same awaited logs (seconds)."""


class RosterSource(Protocol):
    """Where a change reads the group's roster."""

    def read(self) -> Coroutine[Any, Any, Roster | None]:
        """Return the roster; None if it is not known."""


class AcknowledgedLogs:
    """Which logs a change of one group's primary waits for.

    The wait has no time limit: a database that crashed or left comes back with its log, or its
    successor does. An operator can end it (`Roster.loss_accepted`).
    """

    def __init__(
        self,
        context: GatewayContext,
        group: GroupId,
        coverage: LogCoverage,
        rosters: RosterSource,
    ) -> None:
        self._context = context
        self._group = group
        self._coverage = coverage
        self._rosters = rosters
        self._reading: asyncio.Task[Roster | None] | None = None
        self._logged: tuple[InstanceId, ...] = ()
        self._logged_at = float("-inf")

    def begin(self) -> None:
        """Start to read the roster, which may take as long as the former primary's cut-off.

        A database that registers later is found in the list that is read before the order.
        """
        if self._reading is not None:
            self._reading.cancel()
        self._reading = asyncio.create_task(self._rosters.read())

    async def are_in(
        self, target: InstanceId, statuses: Statuses, former: InstanceId | None
    ) -> bool:
        """Whether the target's log has every acknowledged commit, or an operator accepts a loss.

        `statuses`: of the replicas that replied. `former`: the primary to replace.
        """
        synchronous = self._context.placement.synchronous_replicas(self._group)
        if not synchronous:
            return True
        if self._reading is None:
            self.begin()
        assert self._reading is not None
        roster = await self._reading
        if roster is None:
            self._await([UNKNOWN_ROSTER], statuses[target].received)
            return False
        received = statuses[target].received
        members, restarted = self._members(statuses), self._restarted(statuses)
        term = next_term(statuses, None)
        departed = await self._coverage.uncovered(roster, former, statuses, target, term)
        is_covered = covers_acknowledged(
            members, statuses, former, synchronous, restarted, departed
        ) or self._is_former_primary(target, former, roster)
        lacks_own = self.lacks_own_commits(received)
        if roster.loss_accepted or (is_covered and not lacks_own):
            self._context.leader(self._group).await_logs(0)
            return True
        missing = logs_not_paused(members, statuses, former, restarted, departed)
        former_log = [former] if lacks_own and former is not None else []
        self._await([*missing, *former_log], received)
        return False

    def _is_former_primary(
        self, target: InstanceId, former: InstanceId | None, roster: Roster
    ) -> bool:
        """Whether the target is the primary to replace, back with the log that it led with."""
        if former is None or server_name(former) != server_name(target):
            return False
        last_leader = self._context.leader(self._group).last_leader
        return target == (last_leader or roster.leader)

    def lacks_own_commits(self, received: Position) -> bool:
        """Whether a log that ends at `received` lacks a commit that this node acknowledged."""
        return received < self._context.leader(self._group).last_commit

    def _members(self, statuses: Statuses) -> list[DatabaseEntry]:
        """Return the members without those that left, which are looked at by themselves."""
        return [
            entry
            for entry in self._context.leader(self._group).members()
            if not entry.lapsed or entry.instance in statuses
        ]

    def _restarted(self, statuses: Statuses) -> list[InstanceId]:
        """Return the replicas that restarted and may lack entries that they had received."""
        leaders = self._context.leader(self._group)
        return [
            instance
            for instance, status in statuses.items()
            if not leaders.has_caught_up(instance, status.received)
        ]

    def _await(self, instances: Collection[InstanceId], received: Position) -> None:
        """Report that the change waits, so that callers are refused at once."""
        leaders = self._context.leader(self._group)
        leaders.await_logs(len(instances))
        now, awaited = self._context.now(), tuple(sorted(instances))
        if awaited == self._logged and now - self._logged_at < LOG_INTERVAL:
            return
        self._logged, self._logged_at = awaited, now
        since = leaders.suspected_since
        log_event(
            logger,
            LOGS_AWAITED,
            group=self._group,
            instances=", ".join(awaited),
            longest=str(received),
            waited_ms=None if since is None else round((now - since) * 1000),
        )
