"""Which database of a group is its leader, and for how long this node may use it.

What a database says of itself is not enough: one that was replaced may go on in the belief that it
leads. The newest term that any member tells of rules, and a leader is used only under a lease (see
`core/gateway/leader_lease.py`), which another member confirms.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.floors import Watermark, Watermarks, age_ms
from bramblebeam.core.gateway.leader_lease import POSITION_RENEWAL_SECONDS, LeaderLease
from bramblebeam.core.gateway.leader_promise import LeaderPromise
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
    FORMER_LEADER_FOUND,
    LEADER_BARRED,
    LEADER_CONFIRMED,
    LEADER_LOST,
    LEADER_PROVEN,
    LEADERS_CONTRADICT,
)
from bramblebeam.services.gateway.leader_news import (
    FormerLeaderFound,
    LeaderEvent,
    LeaderProven,
    LeaderSuspected,
)
from bramblebeam.services.gateway.lease_keeper import LeaseKeeper
from bramblebeam.services.gateway.member_probes import MemberAnswer, MemberProbes, ProbeFailedError
from bramblebeam.services.gateway.placement import Placement
from bramblebeam.services.waiting import loop_time, pause

logger = logging.getLogger(__name__)

PROOF_INTERVAL = 0.3
"""A proof older than this is renewed while the group is in use (seconds)."""
UNUSED_SECONDS = 5.0
"""A group that no statement has used for so long is not watched by this node."""
UNUSED_ELSEWHERE_SECONDS = 1.0
"""The same for a group that other nodes serve."""
SEARCH_INTERVAL = 0.08
"""Seconds between questions to all members while no leader is known."""
PROOF_LIFETIME = 1.5
"""A leader that was not proven for so long is asked again before it is used (seconds)."""
PROBE_TIMEOUT = 0.45
"""For how long a member may be silent before it counts as unresponsive (seconds)."""
UNCONFIRMED_SECONDS = 0.8
"""A leader on which no lease was to be had for so long is to be replaced (seconds)."""
CONFIRMER_LINE_SECONDS = 1.0
"""At most one line in so long tells that another member confirms the lease (seconds)."""
STALLED_WRITES = 2
"""So many writes in a row without an answer in their time: the leader acknowledges none."""


Question = Callable[[InstanceId, float], Awaitable[MemberAnswer | None]]


class LeaderTracker:
    """Knows the leader of one group, renews its proof and its lease, and searches for another."""

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
        self.stalled_since: float | None = None
        self._lost_writes = 0
        self._losses = 0
        self._write_answered_at = float("-inf")
        self._newest_proof = Watermark()
        self._served = ServedPosition()
        self._memory = RestartTracker()
        self._lives = WitnessUptimes()
        self._distrusted_term = 0
        self._promise = LeaderPromise()
        self._barred: InstanceId | None = None
        self._confirmer: InstanceId | None = None
        self._confirmer_told_at = float("-inf")
        self._placement = placement
        self._probes = MemberProbes(placement)
        self._queries: dict[InstanceId, asyncio.Task[None]] = {}
        self._used_at = asyncio.get_running_loop().time()
        self._publish = publish
        self._spawn = spawn
        self._changed = asyncio.Event()
        self._wanted = asyncio.Event()
        self._keeper = LeaseKeeper(self)
        self._is_running = False

    def members(self) -> list[DatabaseEntry]:
        """Return the group's databases."""
        return [pool.entry for pool in self._placement.members(self.group)]

    def witnesses(self) -> list[InstanceId]:
        """Return the registered members beside the leader, the one to ask first in front."""
        pools = self._placement.by_distance(self.group)
        members = [
            pool.entry.instance
            for pool in pools
            if pool.entry.instance != self.leader and not pool.entry.lapsed
        ]
        return sorted(members, key=lambda member: not self._may_confirm(member))

    @property
    def has_witness(self) -> bool:
        """Whether some member may confirm a lease on the leader, or none needs to."""
        members = self.witnesses()
        return not members or self._may_confirm(members[0])

    def has_caught_up(self, instance: InstanceId, received: Position) -> bool:
        """Whether a member has, or has again, what it was acknowledged to have received."""
        return self._memory.has_caught_up(instance, received)

    def _may_confirm(self, instance: InstanceId) -> bool:
        record_proof = self._newest_proof.position
        return self._memory.may_confirm(instance, self.lease.term, record_proof)

    @property
    def in_use(self) -> bool:
        """Whether a statement used the group lately, so that its leader is watched."""
        rested = loop_time() - self._used_at
        return rested <= (UNUSED_SECONDS if self.serves else UNUSED_ELSEWHERE_SECONDS)

    def may_use(self, instance: InstanceId) -> bool:
        """Whether something that only the leader may run can be sent to `instance` right now."""
        return instance == self.leader and self.lease.may_send(loop_time())

    # What statements report.

    def record_proof(self, instance: InstanceId, position: Position, asked_at: float) -> bool:
        """Note that the leader served something as one, at some moment after `asked_at`.

        False: it seems to have started again, and nothing it says is to be relied on.
        """
        if instance != self.leader or position == ZERO_POSITION:
            return True
        if not self.has_expected_log(instance, position, asked_at):
            return False
        self._served.observe(position, loop_time())
        self._take_proof(position, asked_at)
        return True

    def has_expected_log(self, instance: InstanceId, position: Position, asked_at: float) -> bool:
        """Whether the leader's position, told after `asked_at`, reaches what it has served.

        False: it is not used until its status tells whether it has started again.
        """
        is_leader = instance == self.leader and position != ZERO_POSITION
        if not is_leader or not self._served.is_beyond(position, asked_at, self.lease.term):
            return True
        self.reject(instance, "it seems to lack what it had")
        return False

    def _take_proof(self, position: Position, asked_at: float) -> None:
        """Take the end of the leader's log, as it was at some moment after `asked_at`."""
        known = self._newest_proof
        if asked_at < known.queried_at or position == ZERO_POSITION:
            return
        # Its log does not shrink: a smaller position was told earlier, or of a part of the log.
        self._newest_proof = Watermark(max(position, known.position), asked_at, self.lease.term)
        self.lease.record_proof(self._newest_proof)
        self._memory.observe_proof(self._newest_proof.position)
        self._take_watermark()

    def _forgot_its_lead(self, instance: InstanceId, term: int) -> None:
        """Have a database that started again, and says that it leads on, step down.

        It leads `term` with a log that lacks what its former start committed.
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
        self.reject(instance, "its log lacks what it had")

    def record_position(
        self, instance: InstanceId, position: Position, asked_at: float, opened_at: float
    ) -> None:
        """Note the position of a member that answered something at some moment after `asked_at`.

        `opened_at`: since when the connection was open that it answered on.
        """
        if position == ZERO_POSITION:
            return
        self._lives.record_reply(instance, opened_at, asked_at)
        if instance != self.leader:
            self._take_position(instance, position, asked_at)
        if self.leader is None:
            return
        if instance == self.leader:
            self.lease.record_proof(Watermark(position, asked_at))
        elif position.term <= self.lease.term and not self._may_confirm(instance):
            return
        elif position.term <= self.lease.term:
            self._take_received(instance, position, asked_at, opened_at)
        else:
            self.highest_term = max(self.highest_term, position.term)
            self.reject(self.leader, "a member received from a newer leader")

    def _take_received(
        self, instance: InstanceId, position: Position, asked_at: float, opened_at: float
    ) -> None:
        """Renew the lease by what a member has received, if its word counts."""
        unpaused_at = self.lease.unpaused_at(position)
        self._lives.record_unpaused(instance, unpaused_at)
        if not self._is_settled(instance, opened_at, asked_at):
            self._settle(instance, opened_at)
            return
        if unpaused_at > self.lease.confirmed_at:
            self._log_confirmer(instance, "received", opened_at)
        self.lease.record_received(position)
        self.record_renewal()

    def _take_position(self, instance: InstanceId, position: Position, asked_at: float) -> None:
        told = ReportedPosition(position, loop_time())
        self._memory.observe_position(instance, told, asked_at, self._newest_known_term())

    def record_missing_commit(self, instance: InstanceId, observed: Position) -> None:
        """Note that a session has observed what the log of the leader lacks, in its term or later.

        Either a newer leader committed that, or this one leads a newer term than it was known to,
        and the commit was rolled back: its status tells.
        """
        if instance != self.leader:
            return
        self.highest_term = max(self.highest_term, observed.term)
        if self.highest_term > self.lease.term:
            self.reject(instance, "a session has observed a newer term")
        else:
            self.start_status_query(instance)

    def record_write_reply(self) -> None:
        """Note that the leader acknowledged or refused a write."""
        self._lost_writes = 0
        self._write_answered_at = loop_time()
        self.stalled_since = None

    def record_commit(self, position: Position) -> None:
        """Note a commit that the leader acknowledged to a caller of this node."""
        self.last_commit = max(self.last_commit, position)

    def record_write_timeout(self, instance: InstanceId, asked_at: float) -> None:
        """Note that a write asked then got no answer in its time although the leader may be well.

        Where another write was answered since, it is the connection that was at fault.
        """
        if instance != self.leader or self._write_answered_at > asked_at:
            return
        self._lost_writes += 1
        if self._lost_writes >= STALLED_WRITES and self.stalled_since is None:
            self.stalled_since = loop_time()
            self._publish(LeaderSuspected(self.group, instance, self.stalled_since))

    def reject(self, instance: InstanceId, reason: str) -> None:
        """Note that `instance` does not lead, or cannot be asked."""
        now = loop_time()
        if self.leader in (None, instance) and self.suspected_since is None:
            self.suspected_since = now
            if self.leader is None:
                # No node may know of a former leader, as after a restart of all during a change.
                self._publish(LeaderSuspected(self.group, None, now))
        if self.leader != instance:
            return
        self.leader = None
        self._losses += 1
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
        self._wanted.set()

    def record_denial(self, instance: InstanceId, reason: str) -> None:
        """Note that `instance` says itself that it leads no more, or never did.

        Of the leader it shows that somebody has replaced it, or is about to.
        """
        if instance == self.leader:
            self.denied_term = self.lease.term
        self.reject(instance, reason)

    def relinquish(self, name: ServerName | None, term: int) -> None:
        """Use a database no more, nor any other leader of a term below `term`: one is ordered.

        The same database may come back under another name.
        """
        self._promise.give(term, loop_time())
        self._barred = None
        if self.leader is None:
            return
        if server_name(self.leader) == name or self.lease.term < term:
            self.reject(self.leader, "another node replaces it")

    def directory_changed(self) -> None:
        """Look again at once: a member came, went, started again or changed its role."""
        members = [entry.instance for entry in self.members()]
        restarted = self._placement.restarted(self.group)
        self._memory.update_members(members, restarted, self._newest_known_term())
        self._lives.keep_only(members)
        if self.leader is not None and self._has_started_again(self.leader):
            self.reject(self.leader, "it has started again")
        self._wanted.set()

    def _has_started_again(self, instance: InstanceId) -> bool:
        """Whether a database is registered with a later start than an instance of it."""
        registered = self._placement.instance_named(self.group, server_name(instance))
        return incarnation_of(registered) > incarnation_of(instance)

    def _newest_known_term(self) -> int:
        return max(self.highest_term, self.lease.term)

    # The lease.

    def record_renewal(self) -> None:
        """Note that the lease was renewed."""
        self._keeper.renewed()
        self._take_watermark()
        if self.unconfirmed_since is not None and self.lease.may_send(loop_time()):
            self.unconfirmed_since = None
            self._notify()

    def _is_settled(self, instance: InstanceId, opened_at: float, asked_at: float) -> bool:
        """Whether a member's word counts: it forgot no pause for a change that is under way."""
        if self._lives.has_outlasted_changes(instance, opened_at, asked_at):
            return True
        return not self._lives.not_seen_unpaused(instance, opened_at, self._others(instance))

    def _settle(self, instance: InstanceId, opened_at: float) -> None:
        """Ask those members whose word makes another one's count, where the lease needs it."""
        if loop_time() - self.lease.confirmed_at < POSITION_RENEWAL_SECONDS:
            return
        for missing in self._lives.not_seen_unpaused(instance, opened_at, self._others(instance)):
            self.start_status_query(missing)

    def _others(self, instance: InstanceId) -> list[InstanceId]:
        """Return the members beside the leader and one other, lapsed ones included."""
        members = [entry.instance for entry in self.members()]
        return [member for member in members if member not in (self.leader, instance)]

    def _log_confirmer(self, instance: InstanceId, word: str, opened_at: float) -> None:
        """Log that another member than before confirms the lease.

        `word`: "status", or "received" where it has what the leader committed later.
        """
        now = loop_time()
        is_due = now - self._confirmer_told_at >= CONFIRMER_LINE_SECONDS
        if instance == self._confirmer or not is_due:
            return
        self._confirmer, self._confirmer_told_at = instance, now
        log_event(
            logger,
            LEADER_CONFIRMED,
            group=self.group,
            instance=self.leader,
            member=instance,
            word=word,
            connection_ms=age_ms(opened_at, now),
        )

    def record_lapse(self) -> None:
        """Note that the lease has run out; nothing is sent to the leader until it is renewed."""
        now = loop_time()
        if self.unconfirmed_since is None:
            self.unconfirmed_since = now
        if now - self.unconfirmed_since >= UNCONFIRMED_SECONDS:
            self._publish(LeaderSuspected(self.group, self.leader, self.unconfirmed_since))

    def _take_watermark(self) -> None:
        """Take the newest proof for what is committed, if the lease covers its moment."""
        proof = self._newest_proof
        if proof.queried_at > self.watermarks.newest.queried_at and self.lease.covers(
            proof.queried_at
        ):
            self.watermarks.add(proof)

    # What statements wait for.

    async def wait(self, deadline: float) -> InstanceId | None:
        """Return a leader that may be used, waiting until `deadline` (steady clock, seconds)."""
        self._use()
        while self.leader is None or self._is_old() or not self.may_use(self.leader):
            if self.leader is not None and self._is_old():
                is_news = await self.wait_proof(loop_time() - PROOF_LIFETIME, deadline)
            else:
                is_news = await self._wait_usable(deadline)
            if not is_news:
                return None
        return self.leader

    async def wait_to_use(self, instance: InstanceId, deadline: float) -> bool:
        """Wait until `instance` may be used; False: it leads no more, or the time is over."""
        while not self.may_use(instance):
            if self.leader != instance or not await self._wait_usable(deadline):
                return False
        return True

    def _is_old(self) -> bool:
        return loop_time() - self._newest_proof.queried_at >= PROOF_LIFETIME

    async def _wait_usable(self, deadline: float) -> bool:
        """Wait for another leader or for the lease on this one; False at the deadline."""
        if self.leader is not None:
            self.record_lapse()
            self._keeper.wake()
        return await self.wait_change(deadline)

    async def wait_change(self, deadline: float) -> bool:
        """Wait until a leader is found, lost, or may be used again; False at the deadline."""
        changed = self._changed
        try:
            async with asyncio.timeout_at(deadline):
                await changed.wait()
        except TimeoutError:
            return False
        return True

    async def wait_proof(self, asked_after: float, deadline: float) -> bool:
        """Wait for a watermark that was asked for after a time; False at the deadline."""
        self._use()
        while self.watermarks.newest.queried_at < asked_after:
            if loop_time() >= deadline:
                return False
            leader = self.leader
            if leader is None or not self.lease.covers(loop_time()):
                await self._wait_usable(deadline)
            else:
                await self._prove(leader, max(0.01, min(PROBE_TIMEOUT, deadline - loop_time())))
        return True

    def _use(self) -> None:
        """Keep the group watched; one that nobody uses costs nothing."""
        if not self.in_use:
            self._wanted.set()
            self._keeper.wake()
        self._used_at = loop_time()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # The task.

    async def run(self) -> None:
        """Renew the proof and the lease while there is a leader; search while there is none."""
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
                await self._wanted.wait()
                self._wanted.clear()
                continue
            self._ask_about_others()
            if self.leader is None:
                await pause(self._wanted, SEARCH_INTERVAL)
                continue
            age = loop_time() - self._newest_proof.queried_at
            if age < PROOF_INTERVAL:
                await pause(self._wanted, PROOF_INTERVAL - age)
                continue
            await self._prove(self.leader, PROBE_TIMEOUT)

    def _ask_about_others(self) -> None:
        """Ask every member while there is no leader, else those that are registered as one."""
        for entry in self.members():
            is_rival = entry.role is Role.PRIMARY and entry.instance != self.leader
            if self.leader is None or is_rival:
                self._start(entry.instance, self._probes.find)

    async def _prove(self, instance: InstanceId, timeout: float) -> None:
        """Have the leader answer as one."""
        try:
            answer = await self._probes.prove(instance, timeout)
        except ProbeFailedError as error:
            if timeout >= PROBE_TIMEOUT:
                # Less time, that of a statement which is nearly over, shows nothing.
                self.reject(instance, str(error))
            return
        if answer is not None and answer.leads:
            self.record_proof(instance, answer.position, answer.queried_at)
        elif answer is not None:
            self.record_denial(instance, "it refused to begin a transaction")

    def start_status_query(self, instance: InstanceId) -> None:
        """Ask a member other than the leader for its status."""
        self._start(instance, self._probes.query_status)

    def start_glancing(self, instance: InstanceId) -> None:
        """Ask a member other than the leader how far it is."""
        self._start(instance, self._probes.glance)

    def _start(self, instance: InstanceId, question: Question) -> None:
        """Ask a member; one question a member is under way at a time."""
        if instance not in self._queries:
            task = self._spawn(self._ask(instance, question))
            self._queries[instance] = task
            task.add_done_callback(lambda _: self._queries.pop(instance, None))

    async def _ask(self, instance: InstanceId, question: Question) -> None:
        losses, began = self._losses, loop_time()
        try:
            answer = await question(instance, PROBE_TIMEOUT)
        except ProbeFailedError as error:
            if error.is_gone:
                self._lives.record_unpaused(instance, began)
            self.reject(instance, str(error))
            return
        if answer is not None:
            self.handle_answer(answer, may_confirm=losses == self._losses)

    # Answers of members.

    def handle_answer(self, answer: MemberAnswer, may_confirm: bool = True) -> None:
        """Take what a member said of itself.

        `may_confirm` False: it was asked before a leader was lost. Another node may rely on that
        this one has no lease any more, so that the answer must not begin one.
        """
        self._lives.record_reply(answer.instance, answer.opened_at, answer.queried_at)
        term = answer.position.term if answer.status is None else answer.status.term
        self.highest_term = max(self.highest_term, term)
        if answer.leads:
            self._take_claim(answer, term)
        elif answer.instance == self.leader:
            self.record_denial(answer.instance, "it says that it is a replica")
        elif self.leader is None:
            self.reject(answer.instance, "it is a replica")
        else:
            self._take_word(answer, may_confirm)
        if self.leader is not None and self.lease.term < self.highest_term:
            self.reject(self.leader, "a member tells of a newer term")

    def _take_claim(self, answer: MemberAnswer, term: int) -> None:
        instance = answer.instance
        if term < self.highest_term:
            # A leader isn't paused, so that no change is to promote it.
            self._lives.record_unpaused(instance, answer.queried_at)
            log_event(
                logger,
                FORMER_LEADER_FOUND,
                group=self.group,
                instance=instance,
                term=term,
                newest_term=self.highest_term,
            )
            self._publish(FormerLeaderFound(self.group, instance, self.highest_term))
        elif term <= self._distrusted_term or self._is_barred(instance, term):
            return
        elif instance != self.leader and self._has_forgotten(answer, term):
            self._forgot_its_lead(instance, term)
        elif self.leader is None or term > self.lease.term:
            self._adopt(answer, term)
        elif instance == self.leader:
            self._take_proof(answer.position, answer.queried_at)
        elif answer.status is not None:
            self._distrust(instance, term)

    def _is_barred(self, instance: InstanceId, term: int) -> bool:
        """Whether this node has promised not to use a leader of that term for now."""
        if not self._promise.blocks(term, loop_time()):
            return False
        if instance != self._barred:
            log_event(logger, LEADER_BARRED, group=self.group, instance=instance, term=term)
        self._barred = instance
        return True

    def _has_forgotten(self, answer: MemberAnswer, term: int) -> bool:
        """Whether a member that says it leads `term` does so without what was committed in it.

        It led that term before it started again, as its entry or its shorter log tells, or it has
        no log where another member has one.
        """
        former = self.last_leader
        is_reborn = (
            former is not None
            and server_name(former) == server_name(answer.instance)
            and incarnation_of(former) < incarnation_of(answer.instance)
        )
        if is_reborn and term <= self.last_term:
            return True
        is_same_lead = answer.instance == former and term == self.last_term
        if is_same_lead and self._served.is_beyond(answer.position, answer.queried_at, term):
            return True
        is_empty = answer.status is not None and answer.position.offset == 0
        is_log_elsewhere = self._memory.is_log_elsewhere(answer.instance, term)
        return is_empty and (is_log_elsewhere or self.last_commit.term >= term)

    def _distrust(self, instance: InstanceId, term: int) -> None:
        """Two members say that they lead one term: neither is believed."""
        assert self.leader is not None
        log_event(
            logger,
            LEADERS_CONTRADICT,
            group=self.group,
            instance=instance,
            leader=self.leader,
            term=term,
        )
        self._distrusted_term = term
        self.reject(self.leader, "another member says that it leads the same term")

    def _adopt(self, answer: MemberAnswer, term: int) -> None:
        instance = answer.instance
        if term > self.last_term and answer.position != ZERO_POSITION:
            # What a leader of a newer term lacks was given up.
            self.last_commit = min(self.last_commit, answer.position)
        if instance != self.last_leader or term != self.last_term:
            self._served = ServedPosition()
        self.leader = self.last_leader = instance
        self.last_term = term
        self.lease = LeaderLease(term)
        self.suspected_since = None
        self.unconfirmed_since = None
        self._confirmer = None
        self._newest_proof = Watermark()
        self.watermarks.forget_former()
        self.record_write_reply()
        self._take_proof(answer.position, answer.queried_at)
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

    def _take_word(self, answer: MemberAnswer, may_confirm: bool) -> None:
        """Take what a member other than the leader says."""
        status = answer.status
        instance = answer.instance
        if status is None:
            self.record_position(instance, answer.position, answer.queried_at, answer.opened_at)
            return
        self._take_position(instance, status.received, answer.queried_at)
        if self.lease.is_contradicted_by(status.term, status.held_term):
            return
        self._lives.record_unpaused(instance, answer.queried_at)
        if not may_confirm or not self._may_confirm(instance):
            return
        if not self._is_settled(instance, answer.opened_at, answer.queried_at):
            self._settle(instance, answer.opened_at)
            return
        self.lease.record_status(status.term, status.held_term, answer.queried_at)
        self._log_confirmer(instance, "status", answer.opened_at)
        self.record_renewal()
