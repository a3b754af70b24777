"""The membership machine of one node: who the members are, and which may own something."""

import math
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from bramblebeam.core.identity import NodeId, NodeSpec
from bramblebeam.core.machine import Received, Wakeup
from bramblebeam.core.membership.events import (
    DatagramReceived,
    LeaveFinished,
    LeaveStarted,
    Publish,
    RandomSource,
    SeedsHinted,
)
from bramblebeam.core.membership.links import ZoneLinks
from bramblebeam.core.membership.local import LocalState
from bramblebeam.core.membership.messages import (
    Ack,
    DigestReply,
    DigestRequest,
    Gossip,
    IndirectPing,
    JoinReply,
    JoinRequest,
    LinkUpdate,
    MemberUpdate,
    Ping,
    Seed,
    SyncDelta,
    SyncOffer,
    SyncRequest,
)
from bramblebeam.core.membership.probing import Prober
from bramblebeam.core.membership.records import Records
from bramblebeam.core.membership.synchronization import Synchronizer
from bramblebeam.core.membership.timing import MembershipTiming
from bramblebeam.core.membership.view import MemberState

NEVER = math.inf
JOIN_CONTACTS = 5
LONELY_ATTEMPTS = 20
"""So often a node without others in its zone asks seeds each `join_period`; later less often."""
LINK_BUDGET_BYTES = 200
UPDATE_BUDGET_BYTES = 900
DEFAULT_TIMING = MembershipTiming()


class MembershipMachine:
    """SWIM in the own zone, relays between zones, anti-entropy over both.

    `incarnation` is to be above that of the node's former lives (a clock's seconds do); a lower
    one is corrected when the old record is met. `members` are records known from the start.
    """

    def __init__(
        self,
        spec: NodeSpec,
        incarnation: int,
        seeds: Sequence[Seed],
        random: RandomSource,
        timing: MembershipTiming = DEFAULT_TIMING,
        members: Iterable[MemberUpdate] = (),
        now: float = 0.0,
    ) -> None:
        self._local = LocalState(spec, incarnation, random, timing)
        self._prober = Prober(self._local)
        self._links = ZoneLinks(self._local)
        self._synchronizer = Synchronizer(self._local, self._links)
        self._records = Records(self._local, self._prober, self._links)
        self._seeds = tuple(seeds)
        self._hints: tuple[Seed, ...] = ()
        self._join_attempts = 0
        self._gone = False
        self._hurried_until = now + timing.fast_sync_seconds
        self._timers = {
            "probe": now + random.random() * timing.probe_period,
            "digest": now + random.random() * self._digest_period(now),
            "link": now + random.random() * self._link_period(now),
            "dead": now + random.random() * timing.dead_probe_period,
            "join": now,
            "gossip": NEVER,
            "publish": now,
        }
        self._actions: dict[str, Callable[[float], float]] = {
            "probe": self._start_probe,
            "digest": self._compare_in_zone,
            "link": self._compare_zones,
            "dead": self._look_after_dead,
            "join": self._join,
            "gossip": self._gossip,
            "publish": self._publish,
        }
        self._takers: dict[type, Callable[[NodeId, Any, float], None]] = {
            Ack: self._take_ack,
            Gossip: self._take_gossip,
            JoinReply: self._take_join_reply,
            DigestReply: self._take_digest_reply,
            SyncRequest: self._take_sync_request,
            SyncOffer: self._take_sync_offer,
            SyncDelta: self._take_sync_delta,
        }
        self._answerers: dict[type, Callable[[DatagramReceived, float], None]] = {
            Ping: self._answer_ping,
            IndirectPing: self._answer_indirect_ping,
            JoinRequest: self._answer_join,
            DigestRequest: self._answer_digest,
        }
        self._local.table.apply(self._local.own, now)
        for update in members:
            self._local.table.apply(update, now)
            self._records.synchronized = True

    @property
    def is_relay(self) -> bool:
        """Whether this node is one of its zone's relays."""
        return self._links.is_relay

    def next_wakeup(self) -> float | None:
        """Return when the next timer is due (seconds)."""
        if self._gone:
            return None
        return min(*self._timers.values(), self._prober.next_wakeup())

    def handle(self, event: Any, now: float) -> list[Any]:
        """Take one event at `now` (seconds); return the effects in order."""
        if self._gone:
            return []
        if isinstance(event, DatagramReceived):
            self._receive_datagram(event, now)
        elif isinstance(event, Received):
            self._receive(event.sender, event.message, now)
        elif isinstance(event, Wakeup):
            self._wake(now)
        elif isinstance(event, SeedsHinted):
            self._hints = event.seeds
        elif isinstance(event, LeaveStarted):
            self._records.set_own_state(MemberState.LEAVING, now)
        elif isinstance(event, LeaveFinished):
            self._records.announce_leave(now)
            self._gone = True
        self._follow_changes(now)
        effects = self._local.effects
        self._local.effects = []
        return effects

    def _follow_changes(self, now: float) -> None:
        if self._records.changed:
            self._records.changed = False
            self._view_changed(now)
        if self._records.reconnected:
            self._records.reconnected = False
            self._compare_often(now)
        if self._has_news and self._timers["gossip"] == NEVER:
            self._timers["gossip"] = now + self._local.timing.gossip_period

    # Timers.

    def _wake(self, now: float) -> None:
        due = self.next_wakeup()
        if due is not None and now - due > self._local.timing.pause_bound:
            self._prober.extend_deadlines(now, now - due)
        for name, action in self._actions.items():
            if now >= self._timers[name]:
                self._timers[name] = action(now)
        self._advance_prober(now)

    def _advance_prober(self, now: float) -> None:
        found = self._prober.advance(now)
        self._records.merge(found, None, now)
        for update in found:
            if update.state is MemberState.SUSPECT:
                self._prober.request_refutation(update.node)

    def _start_probe(self, now: float) -> float:
        self._advance_prober(now)
        self._records.declare_unresponsive_dead(now)
        self._prober.start_probe(now)
        return now + self._local.timing.probe_period

    def _compare_often(self, now: float) -> None:
        """Begin to compare tables often: there may be much that this node does not know."""
        self._hurried_until = now + self._local.timing.fast_sync_seconds
        self._timers["digest"] = min(self._timers["digest"], now + self._digest_period(now))
        self._timers["link"] = min(self._timers["link"], now + self._link_period(now))

    def _is_hurried(self, now: float) -> bool:
        return now < self._hurried_until

    def _digest_period(self, now: float) -> float:
        timing = self._local.timing
        return timing.fast_digest_period if self._is_hurried(now) else timing.digest_period

    def _link_period(self, now: float) -> float:
        timing = self._local.timing
        return timing.fast_link_period if self._is_hurried(now) else timing.link_period

    def _compare_in_zone(self, now: float) -> float:
        peers = self._local.zone_peers()
        if peers:
            self._synchronizer.compare_with(self._local.random.choice(peers))
        return self._jittered(now, self._digest_period(now))

    def _compare_zones(self, now: float) -> float:
        for zone in self._links.linked_zones():
            peer = self._links.choose_contact(zone)
            if peer is None:
                continue
            self._synchronizer.compare_with(peer)
            if self._links.record_comparison(zone):
                self._view_changed(now)
        return self._jittered(now, self._link_period(now))

    def _look_after_dead(self, now: float) -> float:
        if self._local.table.forget_dead(now - self._local.timing.forget_after):
            self._view_changed(now)
        self._prober.ping_dead()
        return self._jittered(now, self._local.timing.dead_probe_period)

    def _join(self, now: float) -> float:
        """Ask a seed: until there is a table, while the zone seems empty, then for lost seeds."""
        timing = self._local.timing
        lonely = not self._local.zone_peers() and self._join_attempts < LONELY_ATTEMPTS
        seeds = [seed for seed in self._other_seeds() if lonely or not self._is_present(seed)]
        if seeds:
            seed = self._local.random.choice(seeds)
            self._local.send_to(seed.address, JoinRequest(self._local.zone))
        waits = not self._records.synchronized or lonely
        return now + (timing.join_period if waits else timing.seed_period)

    def _gossip(self, now: float) -> float:
        peers = self._local.zone_peers()
        fanout = min(len(peers), self._local.timing.gossip_fanout)
        for peer in self._local.random.sample(peers, fanout):
            updates = self._local.updates.take(UPDATE_BUDGET_BYTES)
            links = self._local.links.take(LINK_BUDGET_BYTES)
            if updates or links:
                self._local.send(peer, Gossip(updates, links))
        self._links.send_updates()
        return now + self._local.timing.gossip_period if self._has_news else NEVER

    def _publish(self, _now: float) -> float:
        view = self._local.table.view(self._links.unreachable())
        self._local.effects.append(Publish(view))
        return NEVER

    # Messages.

    def _receive_datagram(self, event: DatagramReceived, now: float) -> None:
        answerer = self._answerers.get(type(event.message))
        if answerer is None:
            self._receive(event.sender, event.message, now)
        elif event.sender != self._local.spec.node:
            answerer(event, now)

    def _receive(self, sender: NodeId, message: Any, now: float) -> None:
        taker = self._takers.get(type(message))
        if taker is not None and sender != self._local.spec.node:
            taker(sender, message, now)

    def _answer_ping(self, event: DatagramReceived, now: float) -> None:
        ping: Ping = event.message
        self._records.merge(ping.updates, event.sender, now)
        ack = self._prober.handle_ping(event.sender, ping)
        if ack is not None:
            self._local.send_to(event.source, ack)

    def _answer_indirect_ping(self, event: DatagramReceived, now: float) -> None:
        message: IndirectPing = event.message
        self._records.merge(message.updates, event.sender, now)
        self._prober.handle_indirect_ping(event.source, message, now)

    def _answer_join(self, event: DatagramReceived, _now: float) -> None:
        request: JoinRequest = event.message
        local = self._local
        own = local.spec.node
        present = local.table.present(request.zone)
        known = [node for node in present if node not in (event.sender, own)]
        chosen = local.random.sample(known, min(len(known), JOIN_CONTACTS))
        records = [local.table.update_for(node) for node in (*chosen, own)]
        contacts = tuple(record for record in records if record is not None)
        local.send_to(event.source, JoinReply(contacts))

    def _answer_digest(self, event: DatagramReceived, now: float) -> None:
        reply = self._synchronizer.handle_digest_request(event.sender, event.message, now)
        self._local.send_to(event.source, reply)

    def _take_ack(self, sender: NodeId, ack: Ack, now: float) -> None:
        self._records.merge(ack.updates, sender, now)
        self._records.record_reply(sender, now)
        self._prober.handle_ack(ack)

    def _take_gossip(self, sender: NodeId, gossip: Gossip, now: float) -> None:
        self._records.merge(gossip.updates, sender, now)
        self._merge_links(sender, gossip.links, now)

    def _take_join_reply(self, _sender: NodeId, reply: JoinReply, now: float) -> None:
        contacts = [update for update in reply.contacts if update.node != self._local.spec.node]
        self._records.merge(contacts, None, now)
        known = [update.node for update in contacts if update.node in self._local.table.members]
        if not known:
            return
        self._publish_now(now)
        self._local.pass_on(self._local.own)
        self._synchronizer.request_from(known[self._join_attempts % len(known)], now)
        self._join_attempts += 1

    def _take_digest_reply(self, sender: NodeId, reply: DigestReply, now: float) -> None:
        member = self._local.table.members.get(sender)
        from_outside = member is not None and member.spec.zone != self._local.zone
        if member is not None and from_outside and self._links.record_reply(member.spec.zone):
            self._view_changed(now)
        self._merge_links(sender, reply.links, now)
        self._synchronizer.handle_digest_reply(sender, reply, now, self._is_hurried(now))

    def _take_sync_request(self, sender: NodeId, request: SyncRequest, _now: float) -> None:
        self._synchronizer.handle_request(sender, request)

    def _take_sync_offer(self, sender: NodeId, offer: SyncOffer, now: float) -> None:
        self._merge_links(sender, offer.links, now)
        lacking = self._synchronizer.handle_offer(sender, offer)
        if not lacking:
            self._become_synchronized()

    def _take_sync_delta(self, sender: NodeId, delta: SyncDelta, now: float) -> None:
        self._records.merge(delta.updates, sender, now, pass_on=self._records.synchronized)
        if self._join_attempts > 0:
            self._become_synchronized()
        self._synchronizer.send_wanted(sender, delta.wanted)

    def _become_synchronized(self) -> None:
        if not self._records.synchronized:
            self._records.synchronized = True
            self._records.announce()

    def _merge_links(self, sender: NodeId, links: Iterable[LinkUpdate], now: float) -> None:
        if not self._local.is_zone_member(sender):
            return
        changed = [link for link in links if self._links.merge(link)]
        if changed:
            self._view_changed(now)

    def _view_changed(self, now: float) -> None:
        self._timers["publish"] = min(
            self._timers["publish"], now + self._local.timing.publish_delay
        )

    def _publish_now(self, now: float) -> None:
        self._timers["publish"] = self._publish(now)

    @property
    def _has_news(self) -> bool:
        local = self._local
        return bool(len(local.updates) or len(local.links) or self._links.has_updates)

    def _other_seeds(self) -> list[Seed]:
        own = self._local.spec.node
        return [seed for seed in (*self._seeds, *self._hints) if seed.node != own]

    def _is_present(self, seed: Seed) -> bool:
        member = self._local.table.members.get(seed.node)
        return member is not None and member.state is not MemberState.DEAD

    def _jittered(self, now: float, period: float) -> float:
        return now + period * (0.75 + 0.5 * self._local.random.random())
