"""Finds out whether there was a change of primary that the group's lease does not tell."""

from __future__ import annotations

import logging
from collections.abc import Mapping

from bramblebeam.core.failover.lease import OrderedChange
from bramblebeam.core.failover.target import CandidateStatus
from bramblebeam.core.failover.unwritten import ObservedLeadership, infer_last_change
from bramblebeam.core.identity import GroupId, InstanceId
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import UNTOLD_CHANGE_FOUND
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.gateway.leaders import LeaderTracker

logger = logging.getLogger(__name__)


class UnwrittenChangeDetector:
    """Holds what members told of changes against the lease, and whose lead this node has ended.

    `may_be`: holders of the lease change the primary also without the store, so that the lease may
    lack the last change. Else it tells every one.
    """

    def __init__(self, context: GatewayContext, group: GroupId, may_be: bool) -> None:
        self._context = context
        self._group = group
        self._may_be = may_be
        self._ended_term = 0

    def expect_unwritten(self) -> None:
        """Note that the lease may lack the last change from now on."""
        self._may_be = True

    def change_to_follow(
        self,
        told: OrderedChange | None,
        former: InstanceId | None,
        statuses: Mapping[InstanceId, CandidateStatus],
    ) -> OrderedChange | None:
        """Return the change that a target must follow; None: there was none.

        `told`: by the lease. `former`: the primary that is replaced. `statuses`: of the replicas
        that answered.
        """
        if not self._may_be:
            return told
        return infer_last_change(told, self._seen(former, statuses))

    def log_found(self, told: OrderedChange | None, found: OrderedChange | None) -> None:
        """Log that no member that answers follows a change that the lease does not tell."""
        log_event(
            logger,
            UNTOLD_CHANGE_FOUND,
            group=self._group,
            term=found.term if found is not None else None,
            told_term=told.term if told is not None else None,
        )

    def record_step_down(self) -> None:
        """Note that this node had the former leader step down: its denial shows no other change."""
        leaders = self._leaders
        if leaders.denied_term != leaders.last_term:
            self._ended_term = leaders.last_term

    @property
    def _leaders(self) -> LeaderTracker:
        return self._context.leader(self._group)

    def _seen(
        self, former: InstanceId | None, statuses: Mapping[InstanceId, CandidateStatus]
    ) -> ObservedLeadership:
        leaders = self._leaders
        others = {entry.instance for entry in leaders.members()} - {former}
        term = leaders.last_term
        says_so = term > 0 and leaders.denied_term == term
        if former is not None and former in statuses and leaders.last_leader in (None, former):
            # It is a replica of the term that it led, so that it has not heard of its successor.
            term = term or statuses[former].term
            says_so = says_so or statuses[former].term <= term
        return ObservedLeadership(
            leader=leaders.last_leader,
            term=term,
            newest_term=leaders.highest_term,
            was_replaced=says_so and self._ended_term != term,
            all_others_replied=others <= statuses.keys(),
        )
