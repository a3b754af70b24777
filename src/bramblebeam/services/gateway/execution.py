"""Execution of single statements, at this node or at one that serves the group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bramblebeam.core.gateway.replies import Reply
from bramblebeam.core.quota.account import Count
from bramblebeam.services.gateway.admission import admit, refund_unused
from bramblebeam.services.gateway.leader_reads import read_latest
from bramblebeam.services.gateway.reads import read_replica
from bramblebeam.services.gateway.request import Request
from bramblebeam.services.gateway.session_order import check_answer, check_commit
from bramblebeam.services.gateway.writes import write

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext


async def execute(context: GatewayContext, request: Request) -> Reply:
    """Run a single statement and return its final reply.

    A node that does not serve the group runs the statement itself if it can reach no node that
    does.
    """
    await context.wait_for_members(request.hold_until)
    reply: Reply | None = None
    at_leader = context.runs_at_leader(request.route, request.writes)
    refused = context.load.refuse_early(request, at_leader)
    if refused is not None:
        return Reply(refusal=refused)
    if not context.runs_here(request.route.group, request.tenant, at_leader):
        reply = await context.forwarder.execute(request, at_leader)
    if reply is None:
        reply = await execute_here(context, request)
    request.record_observed(reply)
    return reply


async def execute_here(context: GatewayContext, request: Request) -> Reply:
    """Run a single statement on this node's own connections, if its tenant's limit allows."""
    if request.session.forwarded_on:
        request.account.add(Count(request.tenant, node=None))
    else:
        refused = await admit(context, request)
        if refused is not None:
            return Reply(refusal=refused)
    try:
        return await _execute_admitted(context, request)
    finally:
        refund_unused(context, request)


async def _execute_admitted(context: GatewayContext, request: Request) -> Reply:
    if context.runs_at_leader(request.route, request.writes):
        forwarded = await context.forwarder.forward_to_leader(request)
        if forwarded is not None:
            return forwarded
    return await _execute_on_connections(context, request)


async def _execute_on_connections(context: GatewayContext, request: Request) -> Reply:
    context.load.record_first_attempt(request)
    reply = await _run_on_connections(context, request)
    return context.load.add_retry_delay(request, reply)


async def _run_on_connections(context: GatewayContext, request: Request) -> Reply:
    if request.writes:
        reply = await write(context, request)
        check_commit(context, request, reply)
        return reply
    if context.needs_leader(request.route):
        reply = await read_latest(context, request)
    else:
        reply = await read_replica(context, request)
    check_answer(context, request, reply)
    return reply
