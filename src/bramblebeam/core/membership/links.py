"""Links between zones: relays compare tables, forward updates and detect partitions."""

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
"""Probability that a zone's contact chooses a relay of the other zone; otherwise it chooses any
member, since after a long partition all the relays it knows may be gone."""


class ZoneLinks:
    """State of the local zone's links to other zones, and the links that this node maintains."""

    def __init__(self, local: LocalState) -> None:
        self._local = local
        self._links: dict[ZoneId, LinkUpdate] = {}
        self._unanswered: dict[ZoneId, int] = {}
        self._queued: UpdateQueue[NodeId, MemberUpdate] = UpdateQueue()
        self._linked_cache: tuple[tuple[NodeId, ...], list[ZoneId], list[ZoneId]] | None = None
        self._relay_cache: dict[ZoneId, tuple[tuple[NodeId, ...], tuple[NodeId, ...]]] = {}

    @property
    def has_updates(self) -> bool:
        """Whether updates are queued for other zones."""
        return len(self._queued) > 0

    def unreachable(self) -> frozenset[ZoneId]:
        """Return the zones that the local zone's relays cannot reach."""
        return frozenset(zone for zone, link in self._links.items() if not link.reachable)

    def all(self) -> tuple[LinkUpdate, ...]:
        """Return the state of every known link."""
        return tuple(self._links.values())

    def relays(self, zone: ZoneId) -> tuple[NodeId, ...]:
        """Return a zone's relays, best first."""
        owners = self._local.table.owners(zone)
        cached = self._relay_cache.get(zone)
        if cached is not None and cached[0] is owners:
            return cached[1]
        ranked = ranked_owners(f"zone-relay/{zone}", owners)
        chosen = tuple(ranked[: self._local.timing.relays])
        self._relay_cache[zone] = (owners, chosen)
        return chosen

    @property
    def is_relay(self) -> bool:
        """Whether this node is a relay of its zone."""
        return self._local.spec.node in self.relays(self._local.zone)

    def linked_zones(self) -> list[ZoneId]:
        """Return the zones for which this node is the local zone's contact."""
        if not self.is_relay:
            return []
        relays = self.relays(self._local.zone)
        zones = self._local.table.zones()
        if self._linked_cache is None or self._linked_cache[:2] != (relays, zones):
            self._linked_cache = (relays, zones, self._choose_linked(relays, zones))
        return self._linked_cache[2]

    def _choose_linked(self, relays: tuple[NodeId, ...], zones: list[ZoneId]) -> list[ZoneId]:
        own = self._local.spec.node
        others = [zone for zone in zones if zone != self._local.zone]
        return [zone for zone in others if owner_of(f"zone-link/{zone}", relays) == own]

    def choose_contact(self, zone: ZoneId) -> NodeId | None:
        """Return a member of another zone to communicate with, or None."""
        relays = self.relays(zone)
        if relays and self._local.random.random() < RELAY_SHARE:
            return self._local.random.choice(relays)
        present = self._local.table.present(zone)
        return self._local.random.choice(present) if present else None

    def record_comparison(self, zone: ZoneId) -> bool:
        """Record a started table comparison; return whether the zone became unreachable by it."""
        count = self._unanswered.get(zone, 0) + 1
        self._unanswered[zone] = count
        if count <= self._local.timing.link_failures:
            return False
        return self._set_reachable(zone, reachable=False)

    def record_reply(self, zone: ZoneId) -> bool:
        """Record a reply from the zone; return whether the zone became reachable by it."""
        self._unanswered[zone] = 0
        return self._set_reachable(zone, reachable=True)

    def merge(self, link: LinkUpdate) -> bool:
        """Apply a link state from a member of the local zone; return whether it was newer."""
        previous = self._links.get(link.zone)
        if previous is not None and _precedence(link) <= _precedence(previous):
            return False
        self._links[link.zone] = link
        self._local.pass_on_link(link)
        return True

    def queue_update(self, update: MemberUpdate) -> None:
        """Queue an update of a local-zone member for the other zones if this node is a relay.

        Suspicions are not sent to other zones. Updates of third zones are sent by their own relays
        or, where a link is cut, by table comparison.
        """
        if update.state is not MemberState.SUSPECT and self.is_relay:
            self._queued.add(update.node, update, estimated_bytes(update), 1)

    def send_updates(self) -> None:
        """Send a datagram of queued updates to each zone for which this node is the contact."""
        updates = self._queued.take(MAXIMUM_DATAGRAM_BYTES - DATAGRAM_OVERHEAD_BYTES)
        if not updates:
            return
        for zone in self.linked_zones():
            peer = self.choose_contact(zone)
            if peer is not None:
                self._local.send(peer, Gossip(updates))

    def _set_reachable(self, zone: ZoneId, reachable: bool) -> bool:
        previous = self._links.get(zone)
        if previous is None and reachable:
            return False
        if previous is not None and previous.reachable == reachable:
            return False
        sequence = previous.sequence + 1 if previous is not None else 1
        return self.merge(LinkUpdate(zone, sequence, reachable))


def _precedence(link: LinkUpdate) -> tuple[int, bool]:
    return link.sequence, not link.reachable
