"""Merging of member records: the own one is defended, the others' are taken and passed on."""

from collections.abc import Iterable
from dataclasses import dataclass

from bramblebeam.core.identity import NodeId
from bramblebeam.core.membership.links import ZoneLinks
from bramblebeam.core.membership.local import LocalState
from bramblebeam.core.membership.messages import Gossip, MemberUpdate, Ping
from bramblebeam.core.membership.probing import Prober
from bramblebeam.core.membership.view import MemberState

FAREWELL_PEERS = 5
QUESTION_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class _Questioned:
    """A member of the own zone that only another zone knows of, and the time for its answer."""

    update: MemberUpdate
    expires_at: float


class Records:
    """The way of every record into the table."""

    def __init__(self, local: LocalState, prober: Prober, links: ZoneLinks) -> None:
        self.synchronized = False
        """Whether this node has had the whole table of a peer."""
        self.changed = False
        """Whether the table changed since the driver last reset this."""
        self.reconnected = False
        """Whether a member taken for dead is back, or this node was taken for dead, since then."""
        self._questioned: dict[NodeId, _Questioned] = {}
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
        """Take records from `sender` (None: found by this node itself).

        `pass_on` False: they are news to this node only, as a whole table at the start is.
        """
        for update in updates:
            if update.node == self._local.spec.node:
                self._refute(update, now)
            elif self._is_stale_zone_member(update, sender):
                self._question(update, now)
            else:
                self._apply(update, now, pass_on)

    def record_reply(self, node: NodeId, now: float) -> None:
        """A member gave a sign of life: take it in, where it was questioned."""
        questioned = self._questioned.pop(node, None)
        if questioned is not None:
            self._apply(questioned.update, now, pass_on=True)

    def declare_unresponsive_dead(self, now: float) -> None:
        """Take questioned members that did not answer in time for dead."""
        silent = [q for q in self._questioned.values() if now >= q.expires_at]
        for questioned in silent:
            node = questioned.update.node
            del self._questioned[node]
            if node not in self._local.table.members:
                self._bury(questioned.update, now)

    def announce(self) -> None:
        """Tell of this node, once it knows whom to tell."""
        self._spread(self._local.own)

    def set_own_state(self, state: MemberState, now: float) -> None:
        """Change the own state and tell it."""
        self._local.state = state
        self._local.table.apply(self._local.own, now)
        self._spread(self._local.own)

    def announce_leave(self, now: float) -> None:
        """Tell some of the zone's members at once that this node is gone."""
        self.set_own_state(MemberState.DEAD, now)
        dead = MemberUpdate(self._local.spec.node, self._local.incarnation, MemberState.DEAD)
        peers = self._local.zone_peers()
        for peer in self._local.random.sample(peers, min(len(peers), FAREWELL_PEERS)):
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
        """Answer what is said of this node, or of its former life, by a higher incarnation."""
        local = self._local
        is_newer = (update.incarnation, update.state) > (local.incarnation, local.state)
        is_former_life = update.spec is not None and update.spec != local.spec
        if is_newer or (is_former_life and update.incarnation == local.incarnation):
            local.incarnation = update.incarnation + 1
            self.reconnected = self.reconnected or update.state is MemberState.DEAD
            local.table.apply(local.own, now)
            self._spread(local.own, refutes=True)

    def _is_stale_zone_member(self, update: MemberUpdate, sender: NodeId | None) -> bool:
        """Another zone tells of a member of this zone that this zone does not know (any more)."""
        if not self.synchronized or sender is None or update.spec is None:
            return False
        if update.spec.zone != self._local.zone or update.node in self._local.table.members:
            return False
        member = self._local.table.members.get(sender)
        return member is not None and member.spec.zone != self._local.zone

    def _question(self, update: MemberUpdate, now: float) -> None:
        """Ask the member itself; its answer decides."""
        if update.node in self._questioned or update.spec is None:
            return
        self._questioned[update.node] = _Questioned(update, now + QUESTION_SECONDS)
        ping = Ping(0, update.node, (self._local.own,))
        self._local.send_to(update.spec.peer_address, ping)

    def _bury(self, update: MemberUpdate, now: float) -> None:
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
    doubted = before in (MemberState.SUSPECT, MemberState.DEAD)
    return doubted and update.state in (MemberState.ALIVE, MemberState.LEAVING)
