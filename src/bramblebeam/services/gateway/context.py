"""What all sessions of a node share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from bramblebeam.core.gateway.directory import DatabaseDirectory
from bramblebeam.core.gateway.routes import Consistency, Route, RouteTable
from bramblebeam.core.identity import GroupId, ZoneId
from bramblebeam.services.gateway.leaders import LeaderProven, LeaderSuspected, LeaderTracker
from bramblebeam.services.gateway.metrics import GatewayMetrics
from bramblebeam.services.gateway.placement import Placement
from bramblebeam.services.gateway.ports import DatabaseConnector

SMALLEST_STALENESS = 0.5
"""Reads with a smaller bound go to the leader (seconds)."""


class GatewayContext:
    """Routes in force, pools and leaders."""

    def __init__(
        self,
        zone: ZoneId,
        connector: DatabaseConnector,
        publish: Callable[[LeaderSuspected | LeaderProven], None],
        spawn: Callable[..., asyncio.Task[None]],
    ) -> None:
        self.table = RouteTable()
        self.metrics = GatewayMetrics()
        self.placement = Placement(zone, connector)
        self._leaders: dict[GroupId, LeaderTracker] = {}
        self._publish = publish
        self.spawn = spawn

    def configure(self, table: RouteTable) -> None:
        """Put a route table into force."""
        self.table = table
        self.placement.configure(table)

    def update(self, directory: DatabaseDirectory) -> None:
        """Follow the directory."""
        self.placement.update(directory)
        for tracker in self._leaders.values():
            tracker.directory_changed()

    def leader(self, group: GroupId) -> LeaderTracker:
        """Return the tracker of a group's leader."""
        tracker = self._leaders.get(group)
        if tracker is None:
            tracker = LeaderTracker(group, self.placement, self._publish)
            self._leaders[group] = tracker
            self.spawn(tracker.run())
        return tracker

    def needs_leader(self, route: Route) -> bool:
        """Whether only the proven leader may serve the route's reads."""
        return route.consistency is Consistency.LATEST or route.staleness < SMALLEST_STALENESS

    @staticmethod
    def now() -> float:
        """Return the steady clock (seconds)."""
        return asyncio.get_running_loop().time()
