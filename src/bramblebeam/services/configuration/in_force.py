"""Asks every zone how far it is with a version: one question to one reader of each zone."""

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


async def ask_zones(kernel: Kernel, members: MembersView, query: InForceQuery) -> InForceStatus:
    """Ask all zones at once; a zone whose readers do not answer in time is unreachable."""
    question = InForceRequest(query.version)
    replies = await _ask_each(kernel, members, question, InForceReply, query.timeout)
    found = tuple(reply for reply in replies.values() if reply is not None)
    return InForceStatus(found, _missing(replies))


async def ask_versions(
    kernel: Kernel, members: MembersView, query: VersionsQuery
) -> VersionsStatus:
    """Ask all zones at once for the version of each of their nodes."""
    question = ZoneVersionsRequest()
    replies = await _ask_each(kernel, members, question, ZoneVersionsReply, query.timeout)
    found = tuple(reply for reply in replies.values() if reply is not None)
    return VersionsStatus(found, _missing(replies))


def _missing(replies: Mapping[ZoneId, object | None]) -> tuple[ZoneId, ...]:
    return tuple(zone for zone, reply in replies.items() if reply is None)


async def _ask_each(
    kernel: Kernel,
    members: MembersView,
    question: InForceRequest | ZoneVersionsRequest,
    wanted: type[Reply],
    timeout: float,
) -> dict[ZoneId, Reply | None]:
    zones = sorted(members.owners)
    asked = (_ask_zone(kernel, members, zone, question, wanted, timeout) for zone in zones)
    return dict(zip(zones, await asyncio.gather(*asked), strict=True))


async def _ask_zone(
    kernel: Kernel,
    members: MembersView,
    zone: ZoneId,
    question: InForceRequest | ZoneVersionsRequest,
    wanted: type[Reply],
    timeout: float,
) -> Reply | None:
    """Ask the zone's readers in turn, each for its part of the time."""
    readers = zone_readers(members, zone)
    for reader in readers:
        part = timeout / len(readers)
        try:
            request = PeerRequest(reader, question, part)
            reply = await kernel.call("transport", request, timeout=part + 0.1)
        except (TimeoutError, MailboxFullError, ServiceFailedError):
            continue
        if isinstance(reply, wanted) and getattr(reply, "reader", True):
            return reply
    return None
