"""Anti-entropy: tables are compared by digests, and differences are exchanged over streams."""

from collections.abc import Iterable

from bramblebeam.core.identity import NodeId, ZoneId
from bramblebeam.core.membership.links import ZoneLinks
from bramblebeam.core.membership.local import LocalState
from bramblebeam.core.membership.messages import (
    DigestReply,
    DigestRequest,
    LinkUpdate,
    MemberUpdate,
    MemberVersion,
    SyncDelta,
    SyncOffer,
    SyncRequest,
    ZoneDigest,
)


class Synchronizer:
    """Sends and handles the messages that reconcile the tables of two nodes."""

    def __init__(self, local: LocalState, links: ZoneLinks) -> None:
        self._local = local
        self._links = links

    def compare_with(self, node: NodeId) -> None:
        """Start a table comparison with a member."""
        self._local.send(node, DigestRequest(self._local.table.total))

    def handle_digest_request(
        self, sender: NodeId, request: DigestRequest, now: float
    ) -> DigestReply:
        """Return the reply, which holds this node's digests if the tables differ."""
        links = self._own_zone_links(sender)
        if request.total == self._local.table.total:
            return DigestReply(links=links)
        return DigestReply(self._digests(now), links)

    def handle_digest_reply(
        self, sender: NodeId, reply: DigestReply, now: float, is_fast: bool = False
    ) -> None:
        """Request the differing records of zones that are settled on both sides.

        Differences in unsettled zones may be resolved by updates that are still in flight. With
        `is_fast` they are requested too, because the node lacks too much to wait.
        """
        if not reply.zones:
            return
        if is_fast or self._settled_difference(reply.zones, now):
            self.request_from(sender, now)

    def request_from(self, node: NodeId, now: float) -> None:
        """Request all differing records from a member."""
        self._local.stream(node, SyncRequest(self._digests(now)))

    def handle_request(self, sender: NodeId, request: SyncRequest) -> None:
        """Send this node's versions of the members of differing zones."""
        zones = self._local.table.differing(request.zones)
        versions = self._local.table.versions(zones)
        self._local.stream(sender, SyncOffer(tuple(zones), versions, self._own_zone_links(sender)))

    def handle_offer(self, sender: NodeId, offer: SyncOffer) -> bool:
        """Send records the peer lacks and request missing ones; return whether any are missing."""
        theirs = {version.node: version for version in offer.versions}
        wanted = tuple(v.node for v in offer.versions if self._lacks(v))
        updates = tuple(self._newer(offer.zones, theirs))
        if wanted or updates:
            self._local.stream(sender, SyncDelta(updates, wanted))
        return bool(wanted)

    def send_wanted(self, sender: NodeId, wanted: Iterable[NodeId]) -> None:
        """Send the requested records."""
        found = (self._local.table.update_for(node) for node in wanted)
        updates = tuple(update for update in found if update is not None)
        if updates:
            self._local.stream(sender, SyncDelta(updates))

    def _digests(self, now: float) -> tuple[ZoneDigest, ...]:
        return self._local.table.digests(now, self._local.timing.settle_seconds)

    def _settled_difference(self, theirs: tuple[ZoneDigest, ...], now: float) -> bool:
        local_settled = {digest.zone: digest.settled for digest in self._digests(now)}
        remote_settled = {digest.zone: digest.settled for digest in theirs}
        differing = self._local.table.differing(theirs)
        return any(
            local_settled.get(zone, True) and remote_settled.get(zone, True) for zone in differing
        )

    def _lacks(self, version: MemberVersion) -> bool:
        known = self._local.table.members.get(version.node)
        if known is None:
            return True
        return (version.incarnation, version.state) > (known.incarnation, known.state)

    def _newer(
        self, zones: Iterable[ZoneId], theirs: dict[NodeId, MemberVersion]
    ) -> Iterable[MemberUpdate]:
        for mine in self._local.table.versions(zones):
            other = theirs.get(mine.node)
            if other is not None and not _is_newer(mine, other):
                continue
            update = self._local.table.update_for(mine.node)
            if update is not None:
                yield update

    def _own_zone_links(self, sender: NodeId) -> tuple[LinkUpdate, ...]:
        return self._links.all() if self._local.is_zone_member(sender) else ()


def _is_newer(first: MemberVersion, second: MemberVersion) -> bool:
    return (first.incarnation, first.state) > (second.incarnation, second.state)
