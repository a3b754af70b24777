"""Detects changes of primary that the group's lease does not record."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from bramblebeam.core.failover.lease import OrderedChange
from bramblebeam.core.failover.target import CandidateStatus
from bramblebeam.core.failover.unwritten import ObservedLeadership, infer_last_change
from bramblebeam.core.identity import GroupId, InstanceId
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import UNRECORDED_CHANGE_FOUND
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.gateway.leaders import LeaderTracker

logger = logging.getLogger(__name__)


class UnwrittenChangeDetector:
    """Compares the members' status reports with the lease.

    `may_be_unwritten`: lease holders change the primary even while the store is unavailable, so
    the lease may lack the last change. Otherwise it records every change.
    """

    def __init__(self, context: GatewayContext, group: GroupId, may_be_unwritten: bool) -> None:
        self._context = context
        self._group = group
        self._may_be_unwritten = may_be_unwritten
        self._ended_term = 0

    def expect_unwritten(self) -> None:
        """Record that the lease may lack the last change from now on."""
        self._may_be_unwritten = True

    def change_to_follow(
        self,
        recorded: OrderedChange | None,
        former: InstanceId | None,
        statuses: Mapping[InstanceId, CandidateStatus],
    ) -> OrderedChange | None:
        """Return the last change, which limits the choice of target; None if there was none.

        `recorded`: the last change in the lease. `former`: the primary to replace. `statuses`: of
        the replicas that replied.
        """
        if not self._may_be_unwritten:
            return recorded
        return infer_last_change(recorded, self._observed(former, statuses))

    def log_found(self, recorded: OrderedChange | None, found: OrderedChange | None) -> None:
        """Log an unrecorded change after which no reachable member may be promoted."""
        log_event(
            logger,
            UNRECORDED_CHANGE_FOUND,
            group=self._group,
            term=found.term if found is not None else None,
            told_term=recorded.term if recorded is not None else None,
        )

    def record_step_down(self) -> None:
        """Record that this node made the former leader step down.

        That the database then denies leading is no sign of another change.
        """
        leaders = self._leaders
        if leaders.denied_term != leaders.last_term:
            self._ended_term = leaders.last_term

    @property
    def _leaders(self) -> LeaderTracker:
        return self._context.leader(self._group)

    def _observed(
        self, former: InstanceId | None, statuses: Mapping[InstanceId, CandidateStatus]
    ) -> ObservedLeadership:
        leaders = self._leaders
        others = {entry.instance for entry in leaders.members()} - {former}
        term = leaders.last_term
        reports_replaced = term > 0 and leaders.denied_term == term
        if former is not None and former in statuses and leaders.last_leader in (None, former):
            # It is a replica in the term that it led, so it does not know its successor yet.
            term = term or statuses[former].term
            reports_replaced = reports_replaced or statuses[former].term <= term
        return ObservedLeadership(
            leader=leaders.last_leader,
            term=term,
            newest_term=leaders.highest_term,
            was_replaced=reports_replaced and self._ended_term != term,
            all_others_replied=others <= statuses.keys(),
        )
