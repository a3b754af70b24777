"""Merging of member records: refutes outdated ones of this node, applies and spreads others."""

from collections.abc import Iterable
from dataclasses import dataclass

from bramblebeam.core.identity import NodeId
from bramblebeam.core.membership.links import ZoneLinks
from bramblebeam.core.membership.local import LocalState
from bramblebeam.core.membership.messages import Gossip, MemberUpdate, Ping
from bramblebeam.core.membership.probing import Prober
from bramblebeam.core.membership.view import MemberState

LEAVE_ANNOUNCEMENT_PEERS = 5
VERIFICATION_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class _Verification:
    """A member of the local zone known only to another zone, and the deadline of its reply."""

    update: MemberUpdate
    expires_at: float


class Records:
    """Applies member records to the table and disseminates them."""

    def __init__(self, local: LocalState, prober: Prober, links: ZoneLinks) -> None:
        self.synchronized = False
        """Whether this node has received the complete table of a peer."""
        self.changed = False
        """Whether the table changed; reset by the machine."""
        self.reconnected = False
        """Whether a dead member came back, or this node was declared dead; reset by the machine."""
        self._verifications: dict[NodeId, _Verification] = {}
        self._local = local
        self._prober = prober
        self._links = links

    def merge(
        self,
        updates: Iterable[MemberUpdate],
        sender: NodeId | None,
        now: float,
        pass_on: bool = True,
    ) -> None:
        """Merge records from `sender` (None: determined by this node itself).

        `pass_on` False: do not disseminate them, as only this node lacked them (initial table).
        """
        for update in updates:
            if update.node == self._local.spec.node:
                self._refute(update, now)
            elif self._is_stale_zone_member(update, sender):
                self._verify(update, now)
            else:
                self._apply(update, now, pass_on)

    def record_reply(self, node: NodeId, now: float) -> None:
        """Apply the record of a member under verification, because it replied."""
        verification = self._verifications.pop(node, None)
        if verification is not None:
            self._apply(verification.update, now, pass_on=True)

    def declare_unresponsive_dead(self, now: float) -> None:
        """Declare dead the members under verification that did not reply in time."""
        expired = [q for q in self._verifications.values() if now >= q.expires_at]
        for verification in expired:
            node = verification.update.node
            del self._verifications[node]
            if node not in self._local.table.members:
                self._declare_dead(verification.update, now)

    def announce(self) -> None:
        """Disseminate this node's record; called once peers are known."""
        self._spread(self._local.own)

    def set_own_state(self, state: MemberState, now: float) -> None:
        """Change this node's state and disseminate it."""
        self._local.state = state
        self._local.table.apply(self._local.own, now)
        self._spread(self._local.own)

    def announce_leave(self, now: float) -> None:
        """Send this node's death to some of the zone's members immediately."""
        self.set_own_state(MemberState.DEAD, now)
        dead = MemberUpdate(self._local.spec.node, self._local.incarnation, MemberState.DEAD)
        peers = self._local.zone_peers()
        for peer in self._local.random.sample(peers, min(len(peers), LEAVE_ANNOUNCEMENT_PEERS)):
            self._local.send(peer, Gossip((dead,)))

    def _apply(self, update: MemberUpdate, now: float, pass_on: bool) -> None:
        before = self._local.table.members.get(update.node)
        if not self._local.table.apply(update, now):
            return
        self.changed = True
        if before is not None and _is_back(update, before.state):
            self.reconnected = True
        if pass_on:
            self._spread(update, refutes=before is not None and _refutes(update, before.state))
        self._prober.member_changed(update.node, now)
        if before is None and self._local.is_zone_member(update.node):
            self._prober.member_added(update.node)

    def _refute(self, update: MemberUpdate, now: float) -> None:
        """Refute a record of this node or of its earlier run with a higher incarnation."""
        local = self._local
        is_newer = (update.incarnation, update.state) > (local.incarnation, local.state)
        is_earlier_run = update.spec is not None and update.spec != local.spec
        if is_newer or (is_earlier_run and update.incarnation == local.incarnation):
            local.incarnation = update.incarnation + 1
            self.reconnected = self.reconnected or update.state is MemberState.DEAD
            local.table.apply(local.own, now)
            self._spread(local.own, refutes=True)

    def _is_stale_zone_member(self, update: MemberUpdate, sender: NodeId | None) -> bool:
        """Whether another zone reports a local-zone member that is unknown or was removed here."""
        if not self.synchronized or sender is None or update.spec is None:
            return False
        if update.spec.zone != self._local.zone or update.node in self._local.table.members:
            return False
        member = self._local.table.members.get(sender)
        return member is not None and member.spec.zone != self._local.zone

    def _verify(self, update: MemberUpdate, now: float) -> None:
        """Ping the member itself; whether it replies decides whether its record is applied."""
        if update.node in self._verifications or update.spec is None:
            return
        self._verifications[update.node] = _Verification(update, now + VERIFICATION_SECONDS)
        ping = Ping(0, update.node, (self._local.own,))
        self._local.send_to(update.spec.peer_address, ping)

    def _declare_dead(self, update: MemberUpdate, now: float) -> None:
        dead = MemberUpdate(update.node, update.incarnation, MemberState.DEAD)
        self._local.table.apply(update, now)
        self._local.table.apply(dead, now)
        self._spread(dead)

    def _spread(self, update: MemberUpdate, refutes: bool = False) -> None:
        self._local.pass_on(update, refutes)
        if self._local.is_zone_member(update.node):
            self._links.queue_update(update)
        self.changed = True


def _is_back(update: MemberUpdate, before: MemberState) -> bool:
    return before is MemberState.DEAD and update.state is MemberState.ALIVE


def _refutes(update: MemberUpdate, before: MemberState) -> bool:
    was_suspected_or_dead = before in (MemberState.SUSPECT, MemberState.DEAD)
    return was_suspected_or_dead and update.state in (MemberState.ALIVE, MemberState.LEAVING)
