"""Checks that no session is served behind what it has observed, and reports each violation.

Within a term a log only grows. A floor or an answer below what the session observed in the term of
the proven leader, or in a later one, is therefore a fault of this program. A position of an earlier
term may have been rolled back since, so that it proves nothing.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bramblebeam.core.gateway.replies import Reply
from bramblebeam.core.identity import ZERO_POSITION, Position
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    ANSWER_BEHIND_SESSION,
    COMMIT_WITHOUT_PROGRESS,
    FLOOR_BELOW_SESSION,
    Event,
)
from bramblebeam.services.gateway.request import Request

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

LACKS_OBSERVED = Refusal(
    Verdict.NOT_RUN, Reason.REPLICA_BEHIND, "the leader's log lacks what the session has observed"
)

logger = logging.getLogger(__name__)


def check_floor(context: GatewayContext, request: Request, floor: Position) -> None:
    """Count and log a floor that would let a read run behind what its session has observed."""
    own = request.observed
    newest = context.leader(request.route.group).watermarks.newest
    if floor >= own or own.term < newest.term:
        return
    _report(
        context,
        request,
        "floor",
        FLOOR_BELOW_SESSION,
        floor=str(floor),
        watermark=str(newest.position),
        leader_term=newest.term,
    )


def check_commit(context: GatewayContext, request: Request, reply: Reply) -> None:
    """Count and log an acknowledged commit whose reported position is not beyond the session's.

    Later reads of the session would not require the commit.
    """
    own = request.observed
    if reply.refusal is not None or reply.position > own:
        return
    if own.term < context.leader(request.route.group).last_term:
        return
    _report(context, request, "commit", COMMIT_WITHOUT_PROGRESS, committed=str(reply.position))


def lacks_observed_position(context: GatewayContext, request: Request, leader: Reply) -> bool:
    """Return whether a leader answered from a log that lacks what the session has observed.

    A commit of an older term may have been rolled back, and is not required.
    """
    own = request.observed
    is_behind = ZERO_POSITION < leader.position < own
    return is_behind and own.term >= context.leader(request.route.group).lease.term


def check_answer(context: GatewayContext, request: Request, reply: Reply) -> None:
    """Count and log a success from a state behind what the session has observed."""
    own = request.observed
    has_position = reply.refusal is None and reply.position != ZERO_POSITION
    if not has_position or reply.position >= own:
        return
    leader_term = context.leader(request.route.group).last_term
    if own.term < leader_term:
        return
    _report(
        context,
        request,
        "answer",
        ANSWER_BEHIND_SESSION,
        answered=str(reply.position),
        leader_term=leader_term,
    )


def _report(
    context: GatewayContext, request: Request, where: str, event: Event, **fields: str | int
) -> None:
    """Count and log a violation of the session's order, with the event's additional fields."""
    context.metrics.session_order_violated(where)
    log_event(
        logger,
        event,
        request=request.identifier,
        group=request.route.group,
        observed=str(request.observed),
        forwarded=request.session.forwarded,
        **fields,
    )
