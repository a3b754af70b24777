"""Collects what one node observes of a group's primary into the input of the failover decision."""

from __future__ import annotations

import hashlib
from collections.abc import Callable

from bramblebeam.core.failover.decision import Cause, Situation
from bramblebeam.core.identity import GroupId, InstanceId, NodeId
from bramblebeam.services.failover.group_lease import GroupLease
from bramblebeam.services.gateway.context import GatewayContext
from bramblebeam.services.gateway.leaders import UNCONFIRMED_SECONDS, LeaderTracker

RANK_COUNT = 6
"""Number of ranks over which nodes are spread by hash. Lower ranks take a lease over earlier."""


class GroupObserver:
    """Observes the primary of one group through the leader tracker and the directory."""

    def __init__(
        self, context: GatewayContext, node: NodeId, group: GroupId, now: Callable[[], float]
    ) -> None:
        self._context = context
        self._node = node
        self._group = group
        self._now = now
        self._rank = rank_of(node, group)
        self._leaving_since: float | None = None

    def observe(self, lease: GroupLease, ordered_at: float | None) -> Situation:
        """Return the current situation. `ordered_at`: as in `Situation`."""
        leaders = self._context.leader(self._group)
        cause: Cause | None = None
        since: float | None = None
        if not leaders.in_use:
            self._leaving_since = None
        elif leaders.leader is None:
            self._leaving_since = None
            cause, since = Cause.LOST, leaders.suspected_since
        elif self._is_leader_leaving():
            if self._leaving_since is None:
                self._leaving_since = self._now()
            cause, since = self._leaving_cause(leaders.leader), self._leaving_since
        else:
            self._leaving_since = None
            cause, since = self._trouble_of_staying_leader(leaders, lease)
        return Situation(
            node=self._node,
            rank=self._rank,
            leader=leaders.leader,
            cause=cause if since is not None else None,
            trouble_since=since,
            lease=lease.known,
            quiet_until=lease.quiet_until,
            ordered_at=ordered_at,
        )

    def _trouble_of_staying_leader(
        self, leaders: LeaderTracker, lease: GroupLease
    ) -> tuple[Cause | None, float | None]:
        """Return the trouble of a leader that responds and is not leaving, and since when."""
        if _has_unsettled_order(lease, leaders.leader):
            return Cause.UNSETTLED, self._now()
        if leaders.stalled_since is not None:
            return Cause.STALLED, leaders.stalled_since
        unconfirmed = leaders.unconfirmed_since
        if unconfirmed is not None and self._now() - unconfirmed >= UNCONFIRMED_SECONDS:
            return Cause.UNCONFIRMED, unconfirmed
        return None, None

    def _is_leader_leaving(self) -> bool:
        leaders = self._context.leader(self._group)
        if leaders.leader is None:
            return False
        pool = self._context.placement.pools.get(leaders.leader)
        return pool is not None and pool.entry.leaving

    def _leaving_cause(self, leader: InstanceId) -> Cause:
        pool = self._context.placement.pools.get(leader)
        is_lapsed = pool is not None and pool.entry.lapsed
        return Cause.LAPSED if is_lapsed else Cause.LEAVING


def _has_unsettled_order(lease: GroupLease, leader: InstanceId | None) -> bool:
    """Whether this node ordered another leader and the outcome is still unknown."""
    held = lease.known
    if held is None or not lease.is_own or held.unsettled is None:
        return False
    return not held.unsettled.is_led_by(leader)


def rank_of(node: NodeId, group: GroupId) -> int:
    """Return a node's rank in the group's takeover order, from 0 to RANK_COUNT - 1."""
    """Return the node's rank for the group, from 0 to RANK_COUNT - 1."""
    digest = hashlib.blake2b(f"{group}/{node}".encode(), digest_size=2).digest()
    return int.from_bytes(digest) % RANK_COUNT
