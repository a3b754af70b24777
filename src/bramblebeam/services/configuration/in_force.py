"""Asks every zone how far it is with a version: one question to one reader of each zone."""

import asyncio

from bramblebeam.core.configuration.messages import InForceReply, InForceRequest
from bramblebeam.core.configuration.relay_peers import zone_readers
from bramblebeam.core.identity import NodeId, ZoneId
from bramblebeam.core.membership.view import MembersView
from bramblebeam.kernel import Kernel, MailboxFullError
from bramblebeam.services.configuration.messages import InForceQuery, InForceStatus
from bramblebeam.services.transport.messages import PeerRequest


async def ask_zones(kernel: Kernel, members: MembersView, query: InForceQuery) -> InForceStatus:
    """Ask all zones at once; a zone whose readers do not answer in time is unreachable."""
    zones = sorted(members.owners)
    answers = await asyncio.gather(
        *(_ask_zone(kernel, members, zone, query) for zone in zones),
    )
    replies = tuple(reply for reply in answers if reply is not None)
    pairs = zip(zones, answers, strict=True)
    return InForceStatus(replies, tuple(zone for zone, reply in pairs if reply is None))


async def _ask_zone(
    kernel: Kernel, members: MembersView, zone: ZoneId, query: InForceQuery
) -> InForceReply | None:
    """Ask the zone's readers in turn, each for its part of the time."""
    readers = zone_readers(members, zone)
    for reader in readers:
        reply = await _ask(kernel, reader, query.version, query.timeout / len(readers))
        if reply is not None:
            return reply
    return None


async def _ask(kernel: Kernel, reader: NodeId, version: int, timeout: float) -> InForceReply | None:
    request = PeerRequest(reader, InForceRequest(version), timeout)
    try:
        reply = await kernel.call("transport", request, timeout=timeout + 0.1)
    except (TimeoutError, MailboxFullError):
        return None
    return reply if isinstance(reply, InForceReply) and reply.reader else None
