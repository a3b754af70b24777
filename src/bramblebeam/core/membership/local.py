"""State shared by the components of the membership machine: own record, table and effects."""

from collections.abc import Iterable
from typing import Any

from bramblebeam.core.identity import Address, NodeId, NodeSpec, ZoneId
from bramblebeam.core.machine import Send
from bramblebeam.core.membership.dissemination import UpdateQueue, estimated_bytes
from bramblebeam.core.membership.events import RandomSource, SendDatagram
from bramblebeam.core.membership.messages import (
    MAXIMUM_DATAGRAM_BYTES,
    LinkUpdate,
    MemberUpdate,
)
from bramblebeam.core.membership.table import MemberTable
from bramblebeam.core.membership.timing import MembershipTiming
from bramblebeam.core.membership.view import MemberState

DATAGRAM_OVERHEAD_BYTES = 100
LINK_BYTES = 40


class LocalState:
    """State shared by the components of a node's membership machine."""

    def __init__(
        self,
        spec: NodeSpec,
        incarnation: int,
        random: RandomSource,
        timing: MembershipTiming,
    ) -> None:
        self.spec = spec
        self.incarnation = incarnation
        self.state = MemberState.ALIVE
        self.random = random
        self.timing = timing
        self.table = MemberTable()
        self.updates: UpdateQueue[NodeId, MemberUpdate] = UpdateQueue()
        self.links: UpdateQueue[ZoneId, LinkUpdate] = UpdateQueue()
        self.effects: list[Any] = []

    @property
    def own(self) -> MemberUpdate:
        """This node's record, as sent to peers."""
        return MemberUpdate(self.spec.node, self.incarnation, self.state, self.spec)

    @property
    def zone(self) -> ZoneId:
        """This node's zone."""
        return self.spec.zone

    def zone_peers(self) -> list[NodeId]:
        """Return the other members of the local zone that are not dead."""
        return [node for node in self.table.present(self.zone) if node != self.spec.node]

    def is_zone_member(self, node: NodeId) -> bool:
        """Whether `node` is a known member of the local zone."""
        member = self.table.members.get(node)
        return member is not None and member.spec.zone == self.zone

    def send(self, to: NodeId, message: Any) -> None:
        """Send a datagram to a known member."""
        member = self.table.members.get(to)
        if member is not None:
            self.send_to(member.spec.peer_address, message)

    def send_to(self, to: Address, message: Any) -> None:
        """Send a datagram to an address."""
        self.effects.append(SendDatagram(to, message))

    def stream(self, to: NodeId, message: Any) -> None:
        """Send over a stream to a known member; for messages too large for a datagram."""
        self.effects.append(Send(to, message))

    def pass_on(self, update: MemberUpdate, refutes: bool = False) -> None:
        """Queue an update for the local zone.

        Refutations are sent more often: they must reach all members before the suspicion expires.
        """
        size = len(self.table.present(self.zone))
        timing = self.timing
        urgent = timing.urgent_transmissions(size)
        transmissions = urgent if refutes else timing.transmissions(size)
        self.updates.add(update.node, update, estimated_bytes(update), transmissions)

    def pass_on_link(self, link: LinkUpdate) -> None:
        """Queue the state of a link to another zone for the local zone."""
        size = len(self.table.present(self.zone))
        self.links.add(link.zone, link, LINK_BYTES, self.timing.urgent_transmissions(size))

    def piggyback(self, first: Iterable[MemberUpdate] = ()) -> tuple[MemberUpdate, ...]:
        """Return updates for a datagram: `first`, then as many queued ones as fit."""
        chosen = tuple(first)
        used = DATAGRAM_OVERHEAD_BYTES + sum(estimated_bytes(update) for update in chosen)
        return chosen + self.updates.take(MAXIMUM_DATAGRAM_BYTES - used)
