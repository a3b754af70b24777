"""Answers a request for sessions' floors with one confirmation round and one ownership check."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bramblebeam.core.statement import PositionReply, PositionRequest

if TYPE_CHECKING:
    from bramblebeam.services.pool.instance import Instance


async def confirmed_floors(instance: Instance, request: PositionRequest) -> PositionReply:
    """Return the position that the primary confirms, and each session's floor below it.

    Ownership is checked at the back end after the request arrived. If this node still owns the
    instance then, no other owner can have run a write that was acknowledged before the request.
    """
    positions = instance.positions
    mark = positions.mark()
    no_foreign_connections = not instance.has_foreign_connections
    confirming = instance.confirmation.confirm()
    if not request.sessions:
        confirmed, still_owner = await confirming, False
    else:
        confirmed, still_owner = await asyncio.gather(confirming, instance.still_owner())
    if confirmed.is_error():
        return PositionReply(request.instance, refusal=confirmed.error)
    complete = no_foreign_connections and still_owner and instance.positions is positions
    floors = positions.floors(request.sessions, confirmed.ok, mark, complete)
    return PositionReply(request.instance, confirmed.ok, floors=floors)
