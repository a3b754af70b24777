"""Forwards requests about a group to the nodes that watch it."""

from collections.abc import Awaitable, Callable, Iterable
from typing import TypeGuard

from bramblebeam.core.group.messages import (
    ChangeOutcome,
    ChangePrimaryReply,
    ChangePrimaryRequest,
    GroupStatusReply,
    GroupStatusRequest,
)
from bramblebeam.core.identity import GroupId, NodeId
from bramblebeam.services.transport.messages import PeerFailure

CHANGE_TIMEOUT = 8.0
"""Timeout of a planned change at another node (seconds)."""
STATUS_TIMEOUT = 2.0
"""Timeout of a status request to another node (seconds)."""

Request = ChangePrimaryRequest | GroupStatusRequest
Reply = ChangePrimaryReply | GroupStatusReply
SendRequest = Callable[[NodeId, Request, float], Awaitable[Reply | PeerFailure]]


async def request_change(
    request: ChangePrimaryRequest, watchers: Iterable[NodeId], send: SendRequest
) -> ChangePrimaryReply:
    """Send the request to one watcher after another, until one may have begun the change."""
    detail = "no node watches the group"
    for watcher in watchers:
        result = await send(watcher, request, CHANGE_TIMEOUT)
        if isinstance(result, PeerFailure):
            detail = f"{watcher}: {result.detail}"
            if result.sent:
                break
        elif _is_final(result):
            return result
    return ChangePrimaryReply(request.group, ChangeOutcome.FAILED, detail=detail)


def _is_final(reply: Reply) -> TypeGuard[ChangePrimaryReply]:
    if not isinstance(reply, ChangePrimaryReply):
        return False
    return reply.outcome is not ChangeOutcome.NOT_WATCHED


async def request_status(
    group: GroupId, watchers: Iterable[NodeId], send: SendRequest
) -> GroupStatusReply:
    """Query one watcher after another, until one reports the status."""
    for watcher in watchers:
        result = await send(watcher, GroupStatusRequest(group), STATUS_TIMEOUT)
        if isinstance(result, GroupStatusReply) and result.watched:
            return result
    return GroupStatusReply(group, watched=False)
