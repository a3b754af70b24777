"""SWIM failure detection within the local zone: direct probes, indirect probes, suspicion."""

from dataclasses import dataclass

from bramblebeam.core.identity import Address, NodeId
from bramblebeam.core.membership.local import LocalState
from bramblebeam.core.membership.messages import Ack, IndirectPing, MemberUpdate, Ping
from bramblebeam.core.membership.view import MemberState

RELAYED_PROBE_SECONDS = 2.0
NEVER = float("inf")


@dataclass(slots=True)
class _Probe:
    target: NodeId
    sequence: int
    indirect_at: float
    fails_at: float


@dataclass(frozen=True, slots=True)
class _RelayedProbe:
    requester: Address
    sequence: int
    expires_at: float


class Prober:
    """Probes the zone's members in shuffled rounds and suspects those that do not reply."""

    def __init__(self, local: LocalState) -> None:
        self._local = local
        self._sequence = 0
        self._round: list[NodeId] = []
        self._probe: _Probe | None = None
        self._relayed: dict[int, _RelayedProbe] = {}
        self._deadlines: dict[NodeId, float] = {}
        """When each suspected member is declared dead."""

    def next_wakeup(self) -> float:
        """Return when to call `advance` (seconds)."""
        earliest = min(self._deadlines.values(), default=NEVER)
        if self._probe is not None:
            earliest = min(earliest, self._probe.indirect_at, self._probe.fails_at)
        return earliest

    def start_probe(self, now: float) -> None:
        """Start a probe period: ping the next member of the round."""
        target = self._next_target()
        if target is None:
            self._probe = None
            return
        timing = self._local.timing
        sequence = self._next_sequence()
        fails_at = now + timing.probe_period
        self._probe = _Probe(target, sequence, now + timing.probe_timeout, fails_at)
        self._local.send(
            target, Ping(sequence, target, self._local.piggyback(self._refutable_record(target)))
        )

    def advance(self, now: float) -> list[MemberUpdate]:
        """Process expired timeouts; return updates of the members that became suspect or dead."""
        updates: list[MemberUpdate] = []
        probe = self._probe
        if probe is not None and now >= probe.fails_at:
            self._probe = None
            updates += self._probe_failed(probe.target, now)
        elif probe is not None and now >= probe.indirect_at:
            probe.indirect_at = NEVER
            self._probe_indirectly(probe)
        for node, deadline in list(self._deadlines.items()):
            if now >= deadline:
                del self._deadlines[node]
                updates += self._suspicion_expired(node)
        return updates

    def extend_deadlines(self, now: float, pause: float) -> None:
        """Extend all deadlines after a pause of this node, as replies may still be unread."""
        if self._probe is not None:
            self._probe.fails_at = now + self._local.timing.probe_period
        self._deadlines = {node: at + pause for node, at in self._deadlines.items()}

    def member_changed(self, node: NodeId, now: float) -> None:
        """Start or end the suspicion of a member whose record changed."""
        member = self._local.table.members[node]
        if member.spec.zone != self._local.zone:
            return
        if member.state is MemberState.SUSPECT:
            self._deadlines.pop(node, None)
            self._start_suspicion(node, now)
        else:
            self._deadlines.pop(node, None)

    def member_added(self, node: NodeId) -> None:
        """Insert a new member at a random position of the current round."""
        self._round.insert(self._local.random.randrange(len(self._round) + 1), node)

    def handle_ping(self, sender: NodeId, ping: Ping) -> Ack | None:
        """Return the reply to a ping, or None if its target is another node."""
        if ping.target != self._local.spec.node:
            return None
        return Ack(ping.sequence, self._local.piggyback(self._refutable_record(sender)))

    def handle_indirect_ping(self, source: Address, message: IndirectPing, now: float) -> None:
        """Ping the target on behalf of the node at `source`."""
        sequence = self._next_sequence()
        expires_at = now + RELAYED_PROBE_SECONDS
        self._relayed = {s: r for s, r in self._relayed.items() if r.expires_at > now}
        self._relayed[sequence] = _RelayedProbe(source, message.sequence, expires_at)
        self._local.send(message.target, Ping(sequence, message.target))

    def handle_ack(self, ack: Ack) -> None:
        """Complete the probe with this sequence, or forward the reply of an indirect probe."""
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is not None:
            self._local.send_to(relayed.requester, Ack(relayed.sequence))
        elif self._probe is not None and self._probe.sequence == ack.sequence:
            self._clear_leaving_suspicion(self._probe.target)
            self._probe = None

    def ping_dead(self) -> None:
        """Ping a random dead member of the zone, which may be back.

        Together the zone's members ping each dead member about once per period.
        """
        dead = [node for node in self._local.table.dead() if self._local.is_zone_member(node)]
        size = len(self._local.table.present(self._local.zone))
        if dead and self._local.random.random() * size < len(dead):
            self.request_refutation(self._local.random.choice(dead))

    def request_refutation(self, node: NodeId) -> None:
        """Ping a member with the record held of it, so that it can refute a suspicion or death."""
        first = [*self._refutable_record(node), self._local.own]
        self._local.send(node, Ping(self._next_sequence(), node, self._local.piggyback(first)))

    def _refutable_record(self, node: NodeId) -> list[MemberUpdate]:
        member = self._local.table.members.get(node)
        if member is None or member.state not in (MemberState.SUSPECT, MemberState.DEAD):
            return []
        return [MemberUpdate(node, member.incarnation, member.state, member.spec)]

    def _next_target(self) -> NodeId | None:
        present = set(self._local.zone_peers())
        while self._round:
            target = self._round.pop()
            if target in present:
                return target
        self._round = self._local.zone_peers()
        self._local.random.shuffle(self._round)
        return self._round.pop() if self._round else None

    def _probe_indirectly(self, probe: _Probe) -> None:
        peers = [node for node in self._local.zone_peers() if node != probe.target]
        count = min(self._local.timing.indirect_probes, len(peers))
        for peer in self._local.random.sample(peers, count):
            self._local.send(peer, IndirectPing(probe.sequence, probe.target))

    def _probe_failed(self, node: NodeId, now: float) -> list[MemberUpdate]:
        member = self._local.table.members.get(node)
        if member is None or member.state is MemberState.DEAD:
            return []
        if member.state is MemberState.LEAVING:
            self._start_suspicion(node, now)
            return []
        return [MemberUpdate(node, member.incarnation, MemberState.SUSPECT, member.spec)]

    def _suspicion_expired(self, node: NodeId) -> list[MemberUpdate]:
        member = self._local.table.members.get(node)
        if member is None or member.state is MemberState.DEAD:
            return []
        return [MemberUpdate(node, member.incarnation, MemberState.DEAD)]

    def _start_suspicion(self, node: NodeId, now: float) -> None:
        size = len(self._local.table.present(self._local.zone))
        self._deadlines.setdefault(node, now + self._local.timing.suspicion(size))

    def _clear_leaving_suspicion(self, node: NodeId) -> None:
        """End the suspicion of a leaving member, which was not visible as a change of its state."""
        member = self._local.table.members.get(node)
        if member is not None and member.state is MemberState.LEAVING:
            self._deadlines.pop(node, None)

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence
