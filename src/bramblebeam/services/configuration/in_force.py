"""Queries every zone for the versions in force, with one request to one reader per zone."""

import asyncio
from collections.abc import Mapping
from typing import TypeVar

from bramblebeam.core.configuration.messages import (
    InForceReply,
    InForceRequest,
    ZoneVersionsReply,
    ZoneVersionsRequest,
)
from bramblebeam.core.configuration.relay_peers import zone_readers
from bramblebeam.core.identity import ZoneId
from bramblebeam.core.membership.view import MembersView
from bramblebeam.kernel import Kernel, MailboxFullError, ServiceFailedError
from bramblebeam.services.configuration.messages import (
    InForceQuery,
    InForceStatus,
    VersionsQuery,
    VersionsStatus,
)
from bramblebeam.services.transport.messages import PeerRequest

Reply = TypeVar("Reply", InForceReply, ZoneVersionsReply)


async def query_zones(kernel: Kernel, members: MembersView, query: InForceQuery) -> InForceStatus:
    """Query all zones concurrently; a zone whose readers do not answer in time is unreachable."""
    message = InForceRequest(query.version)
    replies = await _query_each(kernel, members, message, InForceReply, query.timeout)
    found = tuple(reply for reply in replies.values() if reply is not None)
    return InForceStatus(found, _missing(replies))


async def query_versions(
    kernel: Kernel, members: MembersView, query: VersionsQuery
) -> VersionsStatus:
    """Query all zones concurrently for the version of each of their nodes."""
    message = ZoneVersionsRequest()
    replies = await _query_each(kernel, members, message, ZoneVersionsReply, query.timeout)
    found = tuple(reply for reply in replies.values() if reply is not None)
    return VersionsStatus(found, _missing(replies))


def _missing(replies: Mapping[ZoneId, object | None]) -> tuple[ZoneId, ...]:
    return tuple(zone for zone, reply in replies.items() if reply is None)


async def _query_each(
    kernel: Kernel,
    members: MembersView,
    message: InForceRequest | ZoneVersionsRequest,
    reply_type: type[Reply],
    timeout: float,
) -> dict[ZoneId, Reply | None]:
    zones = sorted(members.owners)
    queries = (_query_zone(kernel, members, zone, message, reply_type, timeout) for zone in zones)
    return dict(zip(zones, await asyncio.gather(*queries), strict=True))


async def _query_zone(
    kernel: Kernel,
    members: MembersView,
    zone: ZoneId,
    message: InForceRequest | ZoneVersionsRequest,
    reply_type: type[Reply],
    timeout: float,
) -> Reply | None:
    """Query the zone's readers in turn, each with an equal share of the timeout."""
    readers = zone_readers(members, zone)
    for reader in readers:
        share = timeout / len(readers)
        try:
            request = PeerRequest(reader, message, share)
            reply = await kernel.call("transport", request, timeout=share + 0.1)
        except (TimeoutError, MailboxFullError, ServiceFailedError):
            continue
        if isinstance(reply, reply_type) and getattr(reply, "reader", True):
            return reply
    return None
