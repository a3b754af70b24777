"""Tracks which database leads a group, and for how long this node may use it.

A database's own status is not enough, since a replaced leader may still consider itself the leader.
Only the newest term that any member reports is accepted, and a leader is used only under a lease
(see `core/gateway/leader_lease.py`) that another member confirms.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from bramblebeam.core.failover.change_lookup import ChangeLookup, PendingChange
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.floors import Watermark, Watermarks, age_ms
from bramblebeam.core.gateway.group_view import (
    GroupView,
    LeaseSources,
    OtherMember,
    Standing,
    lease_sources,
)
from bramblebeam.core.gateway.leader_lease import (
    SIGHTING_RENEWAL_SECONDS,
    SIGHTING_SECONDS,
    STATUS_RENEWAL_SECONDS,
    LeaderLease,
)
from bramblebeam.core.gateway.leader_outlook import LeaderOutlook
from bramblebeam.core.gateway.leader_promise import LeaderPromise
from bramblebeam.core.gateway.member_sightings import MemberSightings
from bramblebeam.core.gateway.restart_tracker import ReportedPosition, RestartTracker
from bramblebeam.core.gateway.served_position import ServedPosition
from bramblebeam.core.gateway.witness_uptimes import WitnessUptimes
from bramblebeam.core.identity import (
    ZERO_POSITION,
    GroupId,
    InstanceId,
    Position,
    ServerName,
    incarnation_of,
    server_name,
)
from bramblebeam.core.role import Role
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    CONFLICTING_LEADERS,
    FORMER_LEADER_FOUND,
    LEADER_BLOCKED,
    LEADER_CONFIRMED,
    LEADER_LOST,
    LEADER_PROVEN,
)
from bramblebeam.services.gateway.leader_news import (
    ChangeLookupRequested,
    FormerLeaderFound,
    LeaderEvent,
    LeaderProven,
    LeaderSuspected,
)
from bramblebeam.services.gateway.lease_keeper import NEXT_WITNESS_SECONDS, LeaseKeeper
from bramblebeam.services.gateway.member_probes import MemberAnswer, MemberProbes, ProbeFailedError
from bramblebeam.services.gateway.placement import Placement
from bramblebeam.services.waiting import loop_time, pause

logger = logging.getLogger(__name__)

PROOF_INTERVAL = 0.3
"""Age at which a leader's proof is renewed while the group is in use (seconds)."""
UNUSED_SECONDS = 5.0
"""Time without statements after which this node stops watching a group."""
UNUSED_ELSEWHERE_SECONDS = 1.0
"""The same for a group that only other nodes serve."""
SEARCH_INTERVAL = 0.08
"""Interval at which all members are queried while no leader is known (seconds)."""
PROOF_LIFETIME = 1.5
"""Age at which a leader must be proven again before it is used (seconds)."""
PROBE_TIMEOUT = 0.45
"""Time without a reply after which a member is unresponsive (seconds)."""
UNCONFIRMED_SECONDS = 0.8
"""Time without a lease after which a leader is suspected, so that it is replaced (seconds)."""
CONFIRMER_LOG_INTERVAL = 1.0
"""Minimum interval between log lines about a change of the confirming member."""
LOOKUP_INTERVAL = 0.5
"""Minimum interval between two lookups of pending changes in the store (seconds)."""
DEPARTED_SIGHTING_SECONDS = SIGHTING_RENEWAL_SECONDS + LOOKUP_INTERVAL
"""Time without an answer of the store after which the address of a departed member is tried."""
STORE_CONFIRMER = "the store"
"""Logged as the confirming member where the store confirms a lease."""
STALLED_WRITES = 2
"""Consecutive writes that timed out, after which the leader counts as stalled."""


Query = Callable[[InstanceId, float], Awaitable[MemberAnswer | None]]
"""Queries a member, with a timeout in seconds. Raises ProbeFailedError."""


class LeaderTracker:
    """Tracks one group's leader: renews its proof and its lease, and searches for a new leader."""

    def __init__(
        self,
        group: GroupId,
        placement: Placement,
        publish: Callable[[LeaderEvent], None],
        spawn: Callable[..., asyncio.Task[None]],
    ) -> None:
        self.group = group
        self.leader: InstanceId | None = None
        self.last_leader: InstanceId | None = None
        self.last_term = 0
        self.denied_term = 0
        self.last_commit = ZERO_POSITION
        self.lease = LeaderLease(0)
        self.highest_term = 0
        self.watermarks = Watermarks()
        self.suspected_since: float | None = None
        self.unconfirmed_since: float | None = None
        self.serves = True
        self.outlook = LeaderOutlook()
        self.stalled_since: float | None = None
        self._lost_writes = 0
        self._losses = 0
        self._lost_at = float("-inf")
        self._write_answered_at = float("-inf")
        self._newest_proof = Watermark()
        self._served = ServedPosition()
        self._restarts = RestartTracker()
        self._uptimes = WitnessUptimes()
        self._sightings = MemberSightings()
        self._disputed_term = 0
        self._promise = LeaderPromise()
        self._blocked: InstanceId | None = None
        self._confirmer: str | None = None
        self._confirmer_logged_at = float("-inf")
        self._lookup_requested_at = float("-inf")
        self._unseen_since: float | None = None
        self._placement = placement
        self._probes = MemberProbes(placement)
        self._queries: dict[InstanceId, asyncio.Task[None]] = {}
        self._used_at = asyncio.get_running_loop().time()
        self._publish = publish
        self._spawn = spawn
        self._changed = asyncio.Event()
        self._wakeup = asyncio.Event()
        self._keeper = LeaseKeeper(self)
        self._is_running = False

    def members(self) -> list[DatabaseEntry]:
        """Return the group's databases."""
        return [pool.entry for pool in self._placement.members(self.group)]

    def lease_sources(self) -> LeaseSources:
        """Return what may confirm a lease on the leader, the members in the order to query them."""
        pools = self._placement.by_distance(self.group)
        sources = lease_sources(self._view([pool.entry for pool in pools]), loop_time())
        return sources._replace(
            ask=tuple(sorted(sources.ask, key=lambda member: not self._may_confirm(member)))
        )

    def _view(self, listed: list[DatabaseEntry]) -> GroupView:
        """Return what the list tells of the other members, of the listed ones in that order."""
        placement = self._placement
        others = [
            OtherMember(entry.instance, Standing.LAPSED if entry.lapsed else Standing.REGISTERED)
            for entry in listed
            if entry.instance != self.leader
        ]
        others += [
            OtherMember(entry.instance, Standing.DEPARTED, placement.departed_since(entry.instance))
            for entry in placement.departed(self.group)
            if entry.instance != self.leader
        ]
        return GroupView(tuple(others), placement.list_confirmed_at())

    @property
    def has_witness(self) -> bool:
        """Whether a listed member may confirm a lease on the leader, or no other is listed."""
        members = self.lease_sources().ask
        return not members or self._may_confirm(members[0])

    def has_caught_up(self, instance: InstanceId, received: Position) -> bool:
        """Whether a member holds all that it has acknowledged, despite any restart."""
        return self._restarts.has_caught_up(instance, received)

    def _may_confirm(self, instance: InstanceId) -> bool:
        proven = self._newest_proof.position
        return self._restarts.may_confirm(instance, self.lease.term, proven)

    @property
    def in_use(self) -> bool:
        """Whether a statement has used the group recently, so that its leader is watched."""
        unused = loop_time() - self._used_at
        return unused <= (UNUSED_SECONDS if self.serves else UNUSED_ELSEWHERE_SECONDS)

    def may_use(self, instance: InstanceId) -> bool:
        """Whether a statement that only the leader may run can be sent to `instance` now."""
        return instance == self.leader and self.lease.may_send(loop_time())

    # Observations of statements.

    def record_proof(self, instance: InstanceId, position: Position, queried_at: float) -> bool:
        """Record that the leader served a request as leader at some time after `queried_at`.

        Returns False if it seems to have restarted, so that its replies are unreliable.
        """
        if instance != self.leader or position == ZERO_POSITION:
            return True
        if not self.has_expected_log(instance, position, queried_at):
            return False
        self._served.observe(position, loop_time())
        self._observe_proof(position, queried_at)
        return True

    def has_expected_log(self, instance: InstanceId, position: Position, queried_at: float) -> bool:
        """Whether the leader's reported position reaches the positions that it served before.

        `queried_at`: when it was queried. If False, the leader is rejected until its status shows
        whether it has restarted.
        """
        is_leader = instance == self.leader and position != ZERO_POSITION
        if not is_leader or not self._served.is_beyond(position, queried_at, self.lease.term):
            return True
        self.reject(instance, "its log seems to be shorter than before")
        return False

    def _observe_proof(self, position: Position, queried_at: float) -> None:
        """Record the end of the leader's log at some time after `queried_at`."""
        known = self._newest_proof
        if queried_at < known.queried_at or position == ZERO_POSITION:
            return
        # The log doesn't shrink: a smaller position is an older one, or that of a part of the log.
        self._newest_proof = Watermark(max(position, known.position), queried_at, self.lease.term)
        self.lease.record_proof(self._newest_proof)
        self._restarts.observe_proof(self._newest_proof.position)
        self._add_watermark()

    def _depose_restarted(self, instance: InstanceId, term: int) -> None:
        """Have a database step down that still claims to lead `term` after a restart.

        Its log lacks commits of its previous incarnation.
        """
        newer = term + 1
        log_event(
            logger,
            FORMER_LEADER_FOUND,
            group=self.group,
            instance=instance,
            term=term,
            newest_term=newer,
        )
        self._publish(FormerLeaderFound(self.group, instance, newer))
        self.reject(instance, "its log lacks commits from before its restart")

    def record_position(
        self, instance: InstanceId, position: Position, queried_at: float, opened_at: float
    ) -> None:
        """Record the position in a member's reply to a query that was sent at `queried_at`.

        `opened_at`: when the connection of the reply was opened.
        """
        if position == ZERO_POSITION:
            return
        self._uptimes.record_reply(instance, opened_at, queried_at)
        if instance != self.leader:
            self._observe_position(instance, position, queried_at)
        if self.leader is None:
            return
        if instance == self.leader:
            self.lease.record_proof(Watermark(position, queried_at))
        elif position.term <= self.lease.term and not self._may_confirm(instance):
            return
        elif position.term <= self.lease.term:
            self._renew_by_received(instance, position, queried_at, opened_at)
        else:
            self.highest_term = max(self.highest_term, position.term)
            self.reject(self.leader, "a member received from a newer leader")

    def _renew_by_received(
        self, instance: InstanceId, position: Position, queried_at: float, opened_at: float
    ) -> None:
        """Renew the lease by a member's received position, if its confirmation is valid."""
        unpaused_at = self.lease.unpaused_at(position)
        if not self._is_sighting(instance, opened_at, queried_at, unpaused_at):
            return
        if not self._has_seen_others(instance):
            return
        if unpaused_at > self.lease.confirmed_at:
            self._log_confirmer(instance, "received", opened_at)
        self.lease.record_received(position)
        self.record_renewal()

    def _observe_position(
        self, instance: InstanceId, position: Position, queried_at: float
    ) -> None:
        reported = ReportedPosition(position, loop_time())
        self._restarts.observe_position(instance, reported, queried_at, self._newest_known_term())

    def record_missing_commit(self, instance: InstanceId, observed: Position) -> None:
        """Record that a session has observed a commit that the leader's log lacks.

        The commit is of the leader's term or a later one. Either a newer leader made it, or this
        leader leads a newer term than was known and the commit was rolled back. The leader's status
        shows which.
        """
        if instance != self.leader:
            return
        self.highest_term = max(self.highest_term, observed.term)
        if self.highest_term > self.lease.term:
            self.reject(instance, "a session has observed a newer term")
        else:
            self.start_status_query(instance)

    def record_write_reply(self) -> None:
        """Record that the leader acknowledged or refused a write."""
        self._lost_writes = 0
        self._write_answered_at = loop_time()
        self.stalled_since = None

    def record_commit(self, position: Position) -> None:
        """Record a commit that the leader acknowledged to a caller of this node."""
        self.last_commit = max(self.last_commit, position)

    def record_write_timeout(self, instance: InstanceId, queried_at: float) -> None:
        """Record that a write sent at `queried_at` timed out although the leader may be healthy.

        If another write was answered since, the connection is at fault, not the leader.
        """
        if instance != self.leader or self._write_answered_at > queried_at:
            return
        self._lost_writes += 1
        if self._lost_writes >= STALLED_WRITES and self.stalled_since is None:
            self.stalled_since = loop_time()
            self._publish(LeaderSuspected(self.group, instance, self.stalled_since))

    def reject(self, instance: InstanceId, reason: str) -> None:
        """Stop using `instance` as the leader: it does not lead, or cannot be queried."""
        now = loop_time()
        if self.leader in (None, instance) and self.suspected_since is None:
            self.suspected_since = now
            if self.leader is None:
                # Possibly no node knows a former leader: all may have restarted during a change.
                self._publish(LeaderSuspected(self.group, None, now))
        if self.leader != instance:
            return
        self.leader = None
        self._losses += 1
        self._lost_at = now
        self.lease = LeaderLease(0)
        self.unconfirmed_since = None
        log_event(
            logger,
            LEADER_LOST,
            group=self.group,
            instance=instance,
            reason=reason,
            proof_age_ms=age_ms(self._newest_proof.queried_at, now),
        )
        self._publish(LeaderSuspected(self.group, instance, now))
        self._notify()
        self._wakeup.set()

    def record_denial(self, instance: InstanceId, reason: str) -> None:
        """Record that `instance` itself denies that it leads.

        If it is the known leader, it has been replaced or is about to be.
        """
        if instance == self.leader:
            self.denied_term = self.lease.term
        self.reject(instance, reason)

    def relinquish(self, name: ServerName | None, term: int) -> None:
        """Stop using the database `name`, and any leader of a term below `term`.

        Another node is about to order a new leader. The term also covers the same database if it
        comes back under another name.
        """
        self._promise.give(term, loop_time())
        self._blocked = None
        if self.leader is None:
            return
        if server_name(self.leader) == name or self.lease.term < term:
            self.reject(self.leader, "another node is replacing it")

    def directory_changed(self) -> None:
        """Check the members now: one joined, left, restarted or changed its role."""
        members = [entry.instance for entry in self.members()]
        restarted = self._placement.restarted(self.group)
        self._restarts.update_members(members, restarted, self._newest_known_term())
        self._uptimes.keep_only(members)
        departed = [entry.instance for entry in self._placement.departed(self.group)]
        self._sightings.keep_only([*members, *departed])
        if self.leader is not None and self._placement.has_restarted(self.group, self.leader):
            self.reject(self.leader, "it has restarted")
        self._wakeup.set()

    def _newest_known_term(self) -> int:
        return max(self.highest_term, self.lease.term)

    # The lease.

    def record_renewal(self) -> None:
        """Handle a renewal of the lease."""
        self._keeper.renewed()
        self._add_watermark()
        if self.unconfirmed_since is not None and self.lease.may_send(loop_time()):
            self.unconfirmed_since = None
            self._notify()

    def _is_sighting(
        self, instance: InstanceId, opened_at: float, queried_at: float, unpaused_at: float
    ) -> bool:
        """Record that a member was not paused, unless it may have forgotten a pause by a restart.

        In that case the store is looked up for a pending change, if the lease needs to be renewed.
        """
        if self._uptimes.has_outlasted_changes(instance, opened_at, queried_at):
            self._sightings.record(instance, unpaused_at)
            return True
        if loop_time() - self.lease.confirmed_at >= STATUS_RENEWAL_SECONDS:
            self.request_lookup()
        return False

    def _has_seen_others(self, instance: InstanceId) -> bool:
        """Whether the members besides `instance` and the leader can't be paused for long.

        Those not seen for a while are queried. If one is silent, the store is looked up instead.
        """
        now = loop_time()
        others = set(lease_sources(self._view(self.members()), now).account_for) - {instance}
        for member in self._sightings.unseen(others, now - SIGHTING_RENEWAL_SECONDS):
            self._start_sighting(member)
        if not self._sightings.unseen(others, now - SIGHTING_SECONDS):
            self._unseen_since = None
            return True
        if self._unseen_since is None:
            self._unseen_since = now
        is_silent = now - self._unseen_since >= NEXT_WITNESS_SECONDS
        if is_silent and not self._uptimes.none_pending_since(now - SIGHTING_RENEWAL_SECONDS):
            self.request_lookup()
        return self._uptimes.none_pending_since(now - SIGHTING_SECONDS)

    def _start_sighting(self, instance: InstanceId) -> None:
        """Start to find out whether a member is unpaused, or has ended if it left the list.

        The address of one that left is tried only where the store does not answer either.
        """
        departed = {entry.instance: entry for entry in self._placement.departed(self.group)}
        if instance not in departed:
            self.start_status_query(instance)
        elif not self._uptimes.none_pending_since(loop_time() - DEPARTED_SIGHTING_SECONDS):
            entry = departed[instance]
            self._start_query(instance, lambda _, timeout: self._probes.reach(entry, timeout))

    def request_lookup(self) -> None:
        """Have the store looked up for a pending change."""
        now = loop_time()
        if now - self._lookup_requested_at < LOOKUP_INTERVAL:
            return
        self._lookup_requested_at = now
        self._publish(ChangeLookupRequested(self.group))

    def record_lookup(self, lookup: ChangeLookup) -> None:
        """Record whether the store records a pending change, and query the members again.

        A request from before this node lost a leader confirms nothing: another node may rely on
        this one having no lease any more.
        """
        self._uptimes.record_lookup(lookup)
        is_clear = lookup.found is PendingChange.NONE and lookup.requested_at > self._lost_at
        if self.leader is not None and is_clear and self.lease_sources().store:
            self.lease.record_store_clear(lookup.requested_at)
            self._log_confirmer(None, "store", lookup.requested_at)
            self.record_renewal()
        self._keeper.wake()

    def _log_confirmer(self, instance: InstanceId | None, kind: str, opened_at: float) -> None:
        """Log that a different member confirms the lease than before, or the store (None).

        `kind`: how it is confirmed, "status", "received" (it has received a later commit of the
        leader) or "store" (`opened_at` is then when it was requested).
        """
        now = loop_time()
        confirmer = instance or STORE_CONFIRMER
        is_due = now - self._confirmer_logged_at >= CONFIRMER_LOG_INTERVAL
        if confirmer == self._confirmer or not is_due:
            return
        self._confirmer, self._confirmer_logged_at = confirmer, now
        log_event(
            logger,
            LEADER_CONFIRMED,
            group=self.group,
            instance=self.leader,
            member=confirmer,
            word=kind,
            connection_ms=age_ms(opened_at, now),
        )

    def record_lapse(self) -> None:
        """Record that the lease has expired; nothing is sent to the leader until it is renewed."""
        now = loop_time()
        if self.unconfirmed_since is None:
            self.unconfirmed_since = now
        if now - self.unconfirmed_since >= UNCONFIRMED_SECONDS:
            self._publish(LeaderSuspected(self.group, self.leader, self.unconfirmed_since))

    def _add_watermark(self) -> None:
        """Add the newest proof as a watermark, if the lease covers its time."""
        proof = self._newest_proof
        if proof.queried_at > self.watermarks.newest.queried_at and self.lease.covers(
            proof.queried_at
        ):
            self.watermarks.add(proof)

    # Waits of statements.

    async def wait(self, deadline: float) -> InstanceId | None:
        """Wait for a leader that may be used; return None at `deadline` (monotonic, seconds)."""
        self.record_use()
        while self.leader is None or self._needs_proof() or not self.may_use(self.leader):
            if not self._expects_leader():
                return None
            if self.leader is not None and self._needs_proof():
                is_changed = await self.wait_proof(loop_time() - PROOF_LIFETIME, deadline)
            else:
                is_changed = await self._wait_usable(deadline)
            if not is_changed:
                return None
        return self.leader

    async def wait_to_use(self, instance: InstanceId, deadline: float) -> bool:
        """Wait until `instance` may be used; False if it no longer leads, or at the deadline."""
        self.record_use()
        while not self.may_use(instance):
            if self.leader != instance or not await self._wait_usable(deadline):
                return False
        return True

    def await_logs(self, count: int) -> None:
        """Set the number of logs that a change of primary waits for; others need not wait then."""
        self.outlook.awaited_logs = count
        if count:
            self._notify()

    def _expects_leader(self) -> bool:
        if self.leader is not None:
            return True
        synchronous = self._placement.synchronous_replicas(self.group) > 0
        return self.outlook.expects_leader(self.suspected_since, synchronous, loop_time())

    def _needs_proof(self) -> bool:
        return loop_time() - self._newest_proof.queried_at >= PROOF_LIFETIME

    async def _wait_usable(self, deadline: float) -> bool:
        """Wait for another leader or for a lease on this one; return False at the deadline.

        False at once if no leader can be expected soon.
        """
        if not self._expects_leader():
            return False
        if self.leader is not None:
            self.record_lapse()
            self._keeper.wake()
        return await self.wait_change(deadline)

    async def wait_change(self, deadline: float) -> bool:
        """Wait until a leader is found, lost or usable again; return False at the deadline."""
        changed = self._changed
        try:
            async with asyncio.timeout_at(deadline):
                await changed.wait()
        except TimeoutError:
            return False
        return True

    async def wait_proof(self, queried_after: float, deadline: float) -> bool:
        """Wait for a watermark queried after a time; return False at the deadline."""
        self.record_use()
        while self.watermarks.newest.queried_at < queried_after:
            if loop_time() >= deadline:
                return False
            leader = self.leader
            if leader is None or not self.lease.covers(loop_time()):
                if not await self._wait_usable(deadline):
                    return False
            else:
                await self._prove(leader, max(0.01, min(PROBE_TIMEOUT, deadline - loop_time())))
        return True

    def record_use(self) -> None:
        """Record a use of the group, so that it is watched; unused groups are not queried."""
        if not self.in_use:
            self.outlook.record_first_use(loop_time())
            self._wakeup.set()
            self._keeper.wake()
        self._used_at = loop_time()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # Background task.

    async def run(self) -> None:
        """Renew the leader's proof and lease; search for a leader while there is none."""
        if self._is_running:
            return
        self._is_running = True
        try:
            await asyncio.gather(self._follow(), self._keeper.run())
        finally:
            self._is_running = False

    async def _follow(self) -> None:
        while True:
            if not self.in_use:
                await self._wakeup.wait()
                self._wakeup.clear()
                continue
            self._query_others()
            if self.leader is None:
                await pause(self._wakeup, SEARCH_INTERVAL)
                continue
            age = loop_time() - self._newest_proof.queried_at
            if age < PROOF_INTERVAL:
                await pause(self._wakeup, PROOF_INTERVAL - age)
                continue
            await self._prove(self.leader, PROBE_TIMEOUT)

    def _query_others(self) -> None:
        """Query other members registered as primary; without a leader, query all members."""
        for entry in self.members():
            is_rival = entry.role is Role.PRIMARY and entry.instance != self.leader
            if self.leader is None or is_rival:
                self._start_query(entry.instance, self._probes.find)

    async def _prove(self, instance: InstanceId, timeout: float) -> None:
        """Verify that the leader still leads, by a query that only a leader accepts."""
        try:
            answer = await self._probes.prove(instance, timeout)
        except ProbeFailedError as error:
            if timeout >= PROBE_TIMEOUT:
                # A shorter timeout, that of a statement near its deadline, proves nothing.
                self.reject(instance, str(error))
            return
        if answer is not None and answer.leads:
            self.record_proof(instance, answer.position, answer.queried_at)
        elif answer is not None:
            self.record_denial(instance, "it refused to begin a transaction")

    def start_status_query(self, instance: InstanceId) -> None:
        """Start to query a member other than the leader for its status."""
        self._start_query(instance, self._probes.query_status)

    def start_position_query(self, instance: InstanceId) -> None:
        """Start to query a member other than the leader for its position."""
        self._start_query(instance, self._probes.query_position)

    def _start_query(self, instance: InstanceId, query: Query) -> None:
        """Start a query, unless one to the same member is in flight."""
        if instance not in self._queries:
            task = self._spawn(self._run_query(instance, query))
            self._queries[instance] = task
            task.add_done_callback(lambda _: self._queries.pop(instance, None))

    async def _run_query(self, instance: InstanceId, query: Query) -> None:
        losses, began = self._losses, loop_time()
        try:
            answer = await query(instance, PROBE_TIMEOUT)
        except ProbeFailedError as error:
            if error.is_gone:
                self._sightings.record(instance, began)
            self.reject(instance, str(error))
            return
        if answer is not None:
            self.handle_answer(answer, may_confirm=losses == self._losses)

    # Replies of members.

    def handle_answer(self, answer: MemberAnswer, may_confirm: bool = True) -> None:
        """Handle a member's reply to a probe.

        `may_confirm`: False if it was queried before a leader was lost. Another node may rely on
        this node having no lease any more, so the reply must not start one.
        """
        self._uptimes.record_reply(answer.instance, answer.opened_at, answer.queried_at)
        term = answer.position.term if answer.status is None else answer.status.term
        self.highest_term = max(self.highest_term, term)
        if answer.leads:
            self._handle_claim(answer, term)
        elif answer.instance == self.leader:
            self.record_denial(answer.instance, "it reports that it is a replica")
        elif self.leader is None:
            self.reject(answer.instance, "it is a replica")
        else:
            self._handle_replica(answer, may_confirm)
        if self.leader is not None and self.lease.term < self.highest_term:
            self.reject(self.leader, "a member reports a newer term")

    def _handle_claim(self, answer: MemberAnswer, term: int) -> None:
        instance = answer.instance
        if term < self.highest_term:
            self._sightings.record(instance, answer.queried_at)
            log_event(
                logger,
                FORMER_LEADER_FOUND,
                group=self.group,
                instance=instance,
                term=term,
                newest_term=self.highest_term,
            )
            self._publish(FormerLeaderFound(self.group, instance, self.highest_term))
        elif term <= self._disputed_term or self._is_blocked(instance, term):
            return
        elif instance != self.leader and self._has_lost_commits(answer, term):
            self._depose_restarted(instance, term)
        elif self.leader is None or term > self.lease.term:
            self._adopt(answer, term)
        elif instance == self.leader:
            self._observe_proof(answer.position, answer.queried_at)
        elif answer.status is not None:
            self._reject_both(instance, term)

    def _is_blocked(self, instance: InstanceId, term: int) -> bool:
        """Whether a promise of this node currently forbids using a leader of `term`."""
        if not self._promise.blocks(term, loop_time()):
            return False
        if instance != self._blocked:
            log_event(logger, LEADER_BLOCKED, group=self.group, instance=instance, term=term)
        self._blocked = instance
        return True

    def _has_lost_commits(self, answer: MemberAnswer, term: int) -> bool:
        """Whether a member that claims to lead `term` has lost commits of that term.

        It led that term before a restart, as its registry entry or its shorter log shows, or its
        log is empty while another member's is not.
        """
        former = self.last_leader
        is_restarted = (
            former is not None
            and server_name(former) == server_name(answer.instance)
            and incarnation_of(former) < incarnation_of(answer.instance)
        )
        if is_restarted and term <= self.last_term:
            return True
        is_same_lead = answer.instance == former and term == self.last_term
        if is_same_lead and self._served.is_beyond(answer.position, answer.queried_at, term):
            return True
        is_empty = answer.status is not None and answer.position.offset == 0
        is_log_elsewhere = self._restarts.is_log_elsewhere(answer.instance, term)
        return is_empty and (is_log_elsewhere or self.last_commit.term >= term)

    def _reject_both(self, instance: InstanceId, term: int) -> None:
        """Reject both of two members that claim to lead the same term."""
        assert self.leader is not None
        log_event(
            logger,
            CONFLICTING_LEADERS,
            group=self.group,
            instance=instance,
            leader=self.leader,
            term=term,
        )
        self._disputed_term = term
        self.reject(self.leader, "another member claims to lead the same term")

    def _adopt(self, answer: MemberAnswer, term: int) -> None:
        instance = answer.instance
        if term > self.last_term and answer.position != ZERO_POSITION:
            # Commits that a leader of a newer term lacks were rolled back.
            self.last_commit = min(self.last_commit, answer.position)
        if instance != self.last_leader or term != self.last_term:
            self._served = ServedPosition()
        self.leader = self.last_leader = instance
        self.last_term = term
        self.lease = LeaderLease(term)
        self.suspected_since = None
        self.unconfirmed_since = None
        self.outlook.awaited_logs = 0
        self._confirmer = None
        self._lookup_requested_at = float("-inf")
        self._newest_proof = Watermark()
        self.watermarks.forget_former()
        self.record_write_reply()
        self._observe_proof(answer.position, answer.queried_at)
        log_event(
            logger,
            LEADER_PROVEN,
            group=self.group,
            instance=instance,
            term=term,
            position=str(answer.position),
        )
        self._publish(LeaderProven(self.group, instance, answer.position))
        self._keeper.wake()
        self._notify()

    def _handle_replica(self, answer: MemberAnswer, may_confirm: bool) -> None:
        """Handle the reply of a member that does not claim to lead."""
        status = answer.status
        instance = answer.instance
        if status is None:
            self.record_position(instance, answer.position, answer.queried_at, answer.opened_at)
            return
        self._observe_position(instance, status.received, answer.queried_at)
        if self.lease.is_contradicted_by(status.term, status.held_term):
            return
        opened_at, queried_at = answer.opened_at, answer.queried_at
        is_valid = self._is_sighting(instance, opened_at, queried_at, queried_at)
        if not is_valid or not may_confirm or not self._may_confirm(instance):
            return
        if not self._has_seen_others(instance):
            return
        self.lease.record_status(status.term, status.held_term, answer.queried_at)
        self._log_confirmer(instance, "status", answer.opened_at)
        self.record_renewal()
