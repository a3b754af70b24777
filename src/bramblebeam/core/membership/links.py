"""Between zones: a few relays a zone compare tables and pass news on; cut zones are noticed."""

from bramblebeam.core.identity import NodeId, ZoneId
from bramblebeam.core.membership.dissemination import UpdateQueue, estimated_bytes
from bramblebeam.core.membership.local import DATAGRAM_OVERHEAD_BYTES, LocalState
from bramblebeam.core.membership.messages import (
    MAXIMUM_DATAGRAM_BYTES,
    Gossip,
    LinkUpdate,
    MemberUpdate,
)
from bramblebeam.core.membership.view import MemberState
from bramblebeam.core.ownership.rendezvous import owner_of, ranked_owners

RELAY_SHARE = 0.75
"""How often a contact turns to a relay of the other zone; else to any member of it, since after
a long cut the relays it knows may all be gone."""


class ZoneLinks:
    """The own zone's links to the other zones, and this node's part in them."""

    def __init__(self, local: LocalState) -> None:
        self._local = local
        self._known: dict[ZoneId, LinkUpdate] = {}
        self._unanswered: dict[ZoneId, int] = {}
        self._news: UpdateQueue[NodeId, MemberUpdate] = UpdateQueue()
        self._linked: tuple[tuple[NodeId, ...], list[ZoneId], list[ZoneId]] | None = None
        self._relays: dict[ZoneId, tuple[tuple[NodeId, ...], tuple[NodeId, ...]]] = {}

    @property
    def has_updates(self) -> bool:
        """Whether records wait to be sent to other zones."""
        return len(self._news) > 0

    def unreachable(self) -> frozenset[ZoneId]:
        """Return the zones that this zone's relays do not reach."""
        return frozenset(zone for zone, link in self._known.items() if not link.reachable)

    def all(self) -> tuple[LinkUpdate, ...]:
        """Return the state of every link known."""
        return tuple(self._known.values())

    def relays(self, zone: ZoneId) -> tuple[NodeId, ...]:
        """Return a zone's relays, best first."""
        owners = self._local.table.owners(zone)
        cached = self._relays.get(zone)
        if cached is not None and cached[0] is owners:
            return cached[1]
        ranked = ranked_owners(f"zone-relay/{zone}", owners)
        chosen = tuple(ranked[: self._local.timing.relays])
        self._relays[zone] = (owners, chosen)
        return chosen

    @property
    def is_relay(self) -> bool:
        """Whether this node is a relay of its zone."""
        return self._local.spec.node in self.relays(self._local.zone)

    def linked_zones(self) -> list[ZoneId]:
        """Return the zones that this node is its zone's contact for."""
        if not self.is_relay:
            return []
        relays = self.relays(self._local.zone)
        zones = self._local.table.zones()
        if self._linked is None or self._linked[:2] != (relays, zones):
            self._linked = (relays, zones, self._choose_linked(relays, zones))
        return self._linked[2]

    def _choose_linked(self, relays: tuple[NodeId, ...], zones: list[ZoneId]) -> list[ZoneId]:
        own = self._local.spec.node
        others = [zone for zone in zones if zone != self._local.zone]
        return [zone for zone in others if owner_of(f"zone-link/{zone}", relays) == own]

    def choose_contact(self, zone: ZoneId) -> NodeId | None:
        """Return a member of another zone to turn to."""
        relays = self.relays(zone)
        if relays and self._local.random.random() < RELAY_SHARE:
            return self._local.random.choice(relays)
        present = self._local.table.present(zone)
        return self._local.random.choice(present) if present else None

    def record_comparison(self, zone: ZoneId) -> bool:
        """Count a comparison begun; return whether the zone just became unreachable."""
        count = self._unanswered.get(zone, 0) + 1
        self._unanswered[zone] = count
        if count <= self._local.timing.link_failures:
            return False
        return self._set(zone, reachable=False)

    def record_reply(self, zone: ZoneId) -> bool:
        """A member of the zone answered; return whether the zone just became reachable."""
        self._unanswered[zone] = 0
        return self._set(zone, reachable=True)

    def merge(self, link: LinkUpdate) -> bool:
        """Take a link's state from a member of the own zone; return whether it is news."""
        known = self._known.get(link.zone)
        if known is not None and _rank(link) <= _rank(known):
            return False
        self._known[link.zone] = link
        self._local.pass_on_link(link)
        return True

    def queue_update(self, update: MemberUpdate) -> None:
        """Queue a record of the own zone for the other zones, at relays.

        Suspicion stays inside a zone. Records of third zones go by their own relays, and by
        comparison where a link is cut.
        """
        if update.state is not MemberState.SUSPECT and self.is_relay:
            self._news.add(update.node, update, estimated_bytes(update), 1)

    def send_updates(self) -> None:
        """Send one datagram of news to each zone that this node is the contact for."""
        updates = self._news.take(MAXIMUM_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES)
        if not updates:
            return
        for zone in self.linked_zones():
            peer = self.choose_contact(zone)
            if peer is not None:
                self._local.send(peer, Gossip(updates))

    def _set(self, zone: ZoneId, reachable: bool) -> bool:
        known = self._known.get(zone)
        if known is None and reachable:
            return False
        if known is not None and known.reachable == reachable:
            return False
        sequence = known.sequence + 1 if known is not None else 1
        return self.merge(LinkUpdate(zone, sequence, reachable))


def _rank(link: LinkUpdate) -> tuple[int, bool]:
    return link.sequence, not link.reachable
