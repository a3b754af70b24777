"""Anti-entropy: digests are compared often, and what differs is exchanged over a stream."""

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
    """Answers and asks the questions that make two tables equal."""

    def __init__(self, local: LocalState, links: ZoneLinks) -> None:
        self._local = local
        self._links = links

    def compare_with(self, node: NodeId) -> None:
        """Ask a member whether its table is the same."""
        self._local.send(node, DigestRequest(self._local.table.total))

    def handle_digest_request(
        self, sender: NodeId, request: DigestRequest, now: float
    ) -> DigestReply:
        """Answer with the digests where the tables differ."""
        links = self._own_zone_links(sender)
        if request.total == self._local.table.total:
            return DigestReply(links=links)
        return DigestReply(self._digests(now), links)

    def handle_digest_reply(
        self, sender: NodeId, reply: DigestReply, now: float, is_hurried: bool = False
    ) -> None:
        """Ask for what differs, where neither side has news still on their way.

        A node that `is_hurried` lacks too much to wait for them.
        """
        if not reply.zones:
            return
        if is_hurried or self._settled_difference(reply.zones, now):
            self.request_from(sender, now)

    def request_from(self, node: NodeId, now: float) -> None:
        """Ask a member for all that differs."""
        self._local.stream(node, SyncRequest(self._digests(now)))

    def handle_request(self, sender: NodeId, request: SyncRequest) -> None:
        """Offer the versions held in the zones that differ."""
        zones = self._local.table.differing(request.zones)
        versions = self._local.table.versions(zones)
        self._local.stream(sender, SyncOffer(tuple(zones), versions, self._own_zone_links(sender)))

    def handle_offer(self, sender: NodeId, offer: SyncOffer) -> bool:
        """Send what the other lacks and ask for what this node lacks; return whether it does."""
        theirs = {version.node: version for version in offer.versions}
        wanted = tuple(v.node for v in offer.versions if self._lacks(v))
        updates = tuple(self._newer(offer.zones, theirs))
        if wanted or updates:
            self._local.stream(sender, SyncDelta(updates, wanted))
        return bool(wanted)

    def send_wanted(self, sender: NodeId, wanted: Iterable[NodeId]) -> None:
        """Send the records asked for."""
        found = (self._local.table.update_for(node) for node in wanted)
        updates = tuple(update for update in found if update is not None)
        if updates:
            self._local.stream(sender, SyncDelta(updates))

    def _digests(self, now: float) -> tuple[ZoneDigest, ...]:
        return self._local.table.digests(now, self._local.timing.settle_seconds)

    def _settled_difference(self, theirs: tuple[ZoneDigest, ...], now: float) -> bool:
        here = {digest.zone: digest.settled for digest in self._digests(now)}
        there = {digest.zone: digest.settled for digest in theirs}
        differing = self._local.table.differing(theirs)
        return any(here.get(zone, True) and there.get(zone, True) for zone in differing)

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
