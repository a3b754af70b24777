"""Watches that no session is served behind what it has observed, and tells where one would be.

Within a term a log only grows. A floor or an answer below what the session observed in the term of
the proven leader, or in a later one, is therefore a fault of this program. What an earlier term's
leader told may have been rolled back since, so that it proves nothing.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bramblebeam.core.gateway.floors import age_ms
from bramblebeam.core.gateway.replies import Reply
from bramblebeam.core.identity import Position
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import ANSWER_BEHIND_SESSION, FLOOR_BELOW_SESSION
from bramblebeam.services.gateway.request import Request

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

logger = logging.getLogger(__name__)


def watch_floor(context: GatewayContext, request: Request, floor: Position) -> None:
    """Count and log a floor that would let a read run behind what its session has observed."""
    own = request.session.observed
    if floor >= own.position or not _still_exists(context, request, own.position):
        return
    context.metrics.order_broken("floor")
    newest = context.leader(request.route.group).watermarks.newest
    now = context.now()
    log_event(
        logger,
        FLOOR_BELOW_SESSION,
        request=request.identifier,
        group=request.route.group,
        floor=str(floor),
        observed=str(own.position),
        observed_age_ms=age_ms(own.observed_at, now),
        watermark=str(newest.position),
        watermark_age_ms=age_ms(newest.asked_at, now),
        forwarded=request.session.forwarded,
    )


def watch_answer(context: GatewayContext, request: Request, reply: Reply) -> None:
    """Count and log a success from a state behind what the session has observed."""
    own = request.session.observed
    if reply.refusal is not None or reply.position >= own.position:
        return
    if not _still_exists(context, request, own.position):
        return
    context.metrics.order_broken("answer")
    log_event(
        logger,
        ANSWER_BEHIND_SESSION,
        request=request.identifier,
        group=request.route.group,
        answered=str(reply.position),
        observed=str(own.position),
        observed_age_ms=age_ms(own.observed_at, context.now()),
        forwarded=request.session.forwarded,
    )


def _still_exists(context: GatewayContext, request: Request, position: Position) -> bool:
    return position.term >= context.leader(request.route.group).last_term
