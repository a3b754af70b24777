"""The floor of a read: the minimum log position that it must reflect."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bramblebeam.core.identity import Position
from bramblebeam.services.gateway.request import Request
from bramblebeam.services.gateway.session_order import check_floor

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

STALENESS_MARGIN = 0.25
"""A watermark must be younger than the route's staleness bound by this margin (seconds)."""


async def current_floor(context: GatewayContext, request: Request) -> Position | None:
    """Return the floor for a read sent now, waiting for a newer watermark if it is too old.

    Returns None if no such watermark came in time.
    """
    leaders = context.leader(request.route.group)
    staleness = request.route.staleness - STALENESS_MARGIN
    while True:
        now = context.now()
        floor = leaders.watermarks.floor(request.observed, staleness, now)
        if floor is not None:
            check_floor(context, request, floor)
            return floor
        if not await leaders.wait_proof(now - staleness, request.hold_until):
            return None


def is_floor_from_session(request: Request) -> bool:
    """Return whether the last attempt's floor is what the session itself has committed or read.

    A statement that follows another one of its session at once has such a floor. No replica has
    reached it yet, and a replica that lacks it is not behind for other sessions.
    """
    return request.floor is not None and request.floor <= request.observed
