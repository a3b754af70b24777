"""Answers a question for the floors of sessions: one confirmed round, one look at the ownership."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from bramblebeam.core.statement import PositionReply, PositionRequest

if TYPE_CHECKING:
    from bramblebeam.services.pool.instance import Instance


async def confirmed_floors(instance: Instance, request: PositionRequest) -> PositionReply:
    """Return the position that the primary confirms, and each session's floor below it.

    The ownership is asked for at the back end after the question came: until then no other owner
    can have carried a write that was acknowledged before the question.
    """
    positions = instance.positions
    mark = positions.mark()
    alone = not instance.has_foreign_connections
    confirming = instance.confirmation.ask()
    if not request.sessions:
        confirmed, owner = await confirming, False
    else:
        confirmed, owner = await asyncio.gather(confirming, instance.still_owner())
    if confirmed.is_error():
        return PositionReply(request.instance, refusal=confirmed.error)
    complete = alone and owner and instance.positions is positions
    floors = positions.floors(request.sessions, confirmed.ok, mark, complete)
    return PositionReply(request.instance, confirmed.ok, floors=floors)
