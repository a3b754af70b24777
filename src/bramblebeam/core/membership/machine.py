"""The membership state machine of a node."""

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
PEERLESS_JOIN_ATTEMPTS = 20
"""Join attempts that a node without peers in its zone makes each `join_period` before it slows down
to `seed_period`."""
LINK_BUDGET_BYTES = 200
UPDATE_BUDGET_BYTES = 900
DEFAULT_TIMING = MembershipTiming()


class MembershipMachine:
    """Runs SWIM within the local zone, relays between zones, and anti-entropy over both.

    `incarnation` should exceed the incarnations of the node's earlier runs (seconds of a clock
    suffice); a lower one is corrected when the old record is received. `members`: records known
    at the start.
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
        self._has_left = False
        self._fast_sync_until = now + timing.fast_sync_seconds
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
            "dead": self._check_dead,
            "join": self._join,
            "gossip": self._gossip,
            "publish": self._publish,
        }
        self._handlers: dict[type, Callable[[NodeId, Any, float], None]] = {
            Ack: self._handle_ack,
            Gossip: self._handle_gossip,
            JoinReply: self._handle_join_reply,
            DigestReply: self._handle_digest_reply,
            SyncRequest: self._handle_sync_request,
            SyncOffer: self._handle_sync_offer,
            SyncDelta: self._handle_sync_delta,
        }
        self._request_handlers: dict[type, Callable[[DatagramReceived, float], None]] = {
            Ping: self._handle_ping,
            IndirectPing: self._handle_indirect_ping,
            JoinRequest: self._handle_join_request,
            DigestRequest: self._handle_digest_request,
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
        """Return when the next timer expires (seconds), or None after the node has left."""
        if self._has_left:
            return None
        return min(*self._timers.values(), self._prober.next_wakeup())

    def handle(self, event: Any, now: float) -> list[Any]:
        """Process an event at time `now` (seconds); return the effects in order."""
        if self._has_left:
            return []
        if isinstance(event, DatagramReceived):
            self._receive_datagram(event, now)
        elif isinstance(event, Received):
            self._receive(event.sender, event.message, now)
        elif isinstance(event, Wakeup):
            self._handle_wakeup(now)
        elif isinstance(event, SeedsHinted):
            self._hints = event.seeds
        elif isinstance(event, LeaveStarted):
            self._records.set_own_state(MemberState.LEAVING, now)
        elif isinstance(event, LeaveFinished):
            self._records.announce_leave(now)
            self._has_left = True
        self._schedule_follow_ups(now)
        effects = self._local.effects
        self._local.effects = []
        return effects

    def _schedule_follow_ups(self, now: float) -> None:
        if self._records.changed:
            self._records.changed = False
            self._schedule_publish(now)
        if self._records.reconnected:
            self._records.reconnected = False
            self._start_fast_sync(now)
        if self._has_updates and self._timers["gossip"] == NEVER:
            self._timers["gossip"] = now + self._local.timing.gossip_period

    # Timers.

    def _handle_wakeup(self, now: float) -> None:
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

    def _start_fast_sync(self, now: float) -> None:
        """Start a period of frequent table comparisons, since this node may lack many updates."""
        self._fast_sync_until = now + self._local.timing.fast_sync_seconds
        self._timers["digest"] = min(self._timers["digest"], now + self._digest_period(now))
        self._timers["link"] = min(self._timers["link"], now + self._link_period(now))

    def _is_fast_sync(self, now: float) -> bool:
        return now < self._fast_sync_until

    def _digest_period(self, now: float) -> float:
        timing = self._local.timing
        return timing.fast_digest_period if self._is_fast_sync(now) else timing.digest_period

    def _link_period(self, now: float) -> float:
        timing = self._local.timing
        return timing.fast_link_period if self._is_fast_sync(now) else timing.link_period

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
                self._schedule_publish(now)
        return self._jittered(now, self._link_period(now))

    def _check_dead(self, now: float) -> float:
        if self._local.table.forget_dead(now - self._local.timing.forget_after):
            self._schedule_publish(now)
        self._prober.ping_dead()
        return self._jittered(now, self._local.timing.dead_probe_period)

    def _join(self, now: float) -> float:
        """Send a join request to a seed.

        Any seed while this node has no peers in its zone and attempts remain, otherwise only seeds
        that are not known as present.
        """
        timing = self._local.timing
        is_peerless = not self._local.zone_peers() and self._join_attempts < PEERLESS_JOIN_ATTEMPTS
        seeds = [seed for seed in self._other_seeds() if is_peerless or not self._is_present(seed)]
        if seeds:
            seed = self._local.random.choice(seeds)
            self._local.send_to(seed.address, JoinRequest(self._local.zone))
        joins_often = not self._records.synchronized or is_peerless
        return now + (timing.join_period if joins_often else timing.seed_period)

    def _gossip(self, now: float) -> float:
        peers = self._local.zone_peers()
        fanout = min(len(peers), self._local.timing.gossip_fanout)
        for peer in self._local.random.sample(peers, fanout):
            updates = self._local.updates.take(UPDATE_BUDGET_BYTES)
            links = self._local.links.take(LINK_BUDGET_BYTES)
            if updates or links:
                self._local.send(peer, Gossip(updates, links))
        self._links.send_updates()
        return now + self._local.timing.gossip_period if self._has_updates else NEVER

    def _publish(self, _now: float) -> float:
        view = self._local.table.view(self._links.unreachable())
        self._local.effects.append(Publish(view))
        return NEVER

    # Messages.

    def _receive_datagram(self, event: DatagramReceived, now: float) -> None:
        handler = self._request_handlers.get(type(event.message))
        if handler is None:
            self._receive(event.sender, event.message, now)
        elif event.sender != self._local.spec.node:
            handler(event, now)

    def _receive(self, sender: NodeId, message: Any, now: float) -> None:
        handler = self._handlers.get(type(message))
        if handler is not None and sender != self._local.spec.node:
            handler(sender, message, now)

    def _handle_ping(self, event: DatagramReceived, now: float) -> None:
        ping: Ping = event.message
        self._records.merge(ping.updates, event.sender, now)
        ack = self._prober.handle_ping(event.sender, ping)
        if ack is not None:
            self._local.send_to(event.source, ack)

    def _handle_indirect_ping(self, event: DatagramReceived, now: float) -> None:
        message: IndirectPing = event.message
        self._records.merge(message.updates, event.sender, now)
        self._prober.handle_indirect_ping(event.source, message, now)

    def _handle_join_request(self, event: DatagramReceived, _now: float) -> None:
        request: JoinRequest = event.message
        local = self._local
        own = local.spec.node
        present = local.table.present(request.zone)
        known = [node for node in present if node not in (event.sender, own)]
        chosen = local.random.sample(known, min(len(known), JOIN_CONTACTS))
        records = [local.table.update_for(node) for node in (*chosen, own)]
        contacts = tuple(record for record in records if record is not None)
        local.send_to(event.source, JoinReply(contacts))

    def _handle_digest_request(self, event: DatagramReceived, now: float) -> None:
        reply = self._synchronizer.handle_digest_request(event.sender, event.message, now)
        self._local.send_to(event.source, reply)

    def _handle_ack(self, sender: NodeId, ack: Ack, now: float) -> None:
        self._records.merge(ack.updates, sender, now)
        self._records.record_reply(sender, now)
        self._prober.handle_ack(ack)

    def _handle_gossip(self, sender: NodeId, gossip: Gossip, now: float) -> None:
        self._records.merge(gossip.updates, sender, now)
        self._merge_links(sender, gossip.links, now)

    def _handle_join_reply(self, _sender: NodeId, reply: JoinReply, now: float) -> None:
        contacts = [update for update in reply.contacts if update.node != self._local.spec.node]
        self._records.merge(contacts, None, now)
        known = [update.node for update in contacts if update.node in self._local.table.members]
        if not known:
            return
        self._publish_now(now)
        self._local.pass_on(self._local.own)
        self._synchronizer.request_from(known[self._join_attempts % len(known)], now)
        self._join_attempts += 1

    def _handle_digest_reply(self, sender: NodeId, reply: DigestReply, now: float) -> None:
        member = self._local.table.members.get(sender)
        is_remote = member is not None and member.spec.zone != self._local.zone
        if member is not None and is_remote and self._links.record_reply(member.spec.zone):
            self._schedule_publish(now)
        self._merge_links(sender, reply.links, now)
        self._synchronizer.handle_digest_reply(sender, reply, now, self._is_fast_sync(now))

    def _handle_sync_request(self, sender: NodeId, request: SyncRequest, _now: float) -> None:
        self._synchronizer.handle_request(sender, request)

    def _handle_sync_offer(self, sender: NodeId, offer: SyncOffer, now: float) -> None:
        self._merge_links(sender, offer.links, now)
        is_lacking = self._synchronizer.handle_offer(sender, offer)
        if not is_lacking:
            self._set_synchronized()

    def _handle_sync_delta(self, sender: NodeId, delta: SyncDelta, now: float) -> None:
        self._records.merge(delta.updates, sender, now, pass_on=self._records.synchronized)
        if self._join_attempts > 0:
            self._set_synchronized()
        self._synchronizer.send_wanted(sender, delta.wanted)

    def _set_synchronized(self) -> None:
        if not self._records.synchronized:
            self._records.synchronized = True
            self._records.announce()

    def _merge_links(self, sender: NodeId, links: Iterable[LinkUpdate], now: float) -> None:
        if not self._local.is_zone_member(sender):
            return
        changed = [link for link in links if self._links.merge(link)]
        if changed:
            self._schedule_publish(now)

    def _schedule_publish(self, now: float) -> None:
        self._timers["publish"] = min(
            self._timers["publish"], now + self._local.timing.publish_delay
        )

    def _publish_now(self, now: float) -> None:
        self._timers["publish"] = self._publish(now)

    @property
    def _has_updates(self) -> bool:
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
