"""Whose status renews a lease, by the connections that it was received on.

Guards against a replica that has forgotten its pause by a restart, and renews a lease on a leader
that is being replaced.
"""

import asyncio
import logging
from dataclasses import replace

import pytest

from bramblebeam.core.failover.change_lookup import (
    ChangeLookup,
    PendingChange,
    pending_change,
)
from bramblebeam.core.failover.lease import Lease, OrderedChange
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.leader_lease import LEASE_SECONDS, SIGHTING_SECONDS
from bramblebeam.core.gateway.witness_uptimes import SETTLED_SECONDS, WitnessUptimes
from bramblebeam.core.identity import GroupId, InstanceId, NodeId, Position
from bramblebeam.core.revision import FIRST_ERA, Revision
from bramblebeam.services.failover import change_lookups
from bramblebeam.services.failover.change_lookups import ChangeLookups
from bramblebeam.services.failover.ports import LeaseStoreUnavailableError
from bramblebeam.services.failover.service import FailoverService
from bramblebeam.services.gateway import leaders
from bramblebeam.services.gateway.leader_news import ChangeLookupRequested, LeaderEvent
from bramblebeam.services.gateway.leaders import LeaderTracker
from bramblebeam.services.gateway.member_probes import MemberAnswer, ProbeFailedError
from platform_standins.world import running_world, until
from test_database_lives import SECOND_AGAIN, register
from test_gateway_leaders import (
    FIRST,
    GROUP,
    SECOND,
    THIRD,
    make_tracker,
    now,
    primary_answer,
    replica_answer,
    take_all,
)

START = 100.0
"""When SECOND had started and its connection was opened."""
LATER = START + SETTLED_SECONDS + 0.1
"""By then SECOND has outlasted any change that ends in time."""


def lookup(requested_at: float, found: PendingChange = PendingChange.NONE) -> ChangeLookup:
    return ChangeLookup(requested_at, found)


@pytest.mark.parametrize(
    ("lookups", "is_valid", "is_valid_later"),
    [
        ([], False, True),
        ([lookup(START - 0.1)], False, True),
        ([lookup(START)], True, True),
        ([lookup(START + 0.1, PendingChange.UNKNOWN)], False, True),
        ([lookup(START + 0.1, PendingChange.PENDING)], False, False),
        ([lookup(START - 0.1, PendingChange.PENDING), lookup(START + 0.1)], True, True),
        ([lookup(START + 0.1), lookup(START + 0.2, PendingChange.PENDING)], True, True),
        ([lookup(START + 0.2), lookup(START - 0.1)], True, True),
        ([lookup(START + 0.2, PendingChange.PENDING), lookup(START - 0.1)], False, False),
    ],
    ids=[
        "no lookup",
        "before the start",
        "after the start",
        "unknown",
        "pending",
        "pending before",
        "pending since",
        "out of order",
        "pending, out of order",
    ],
)
def test_a_status_is_valid_once_no_change_was_pending_after_the_members_start(
    lookups: list[ChangeLookup], is_valid: bool, is_valid_later: bool
) -> None:
    uptimes = WitnessUptimes()
    uptimes.record_reply(SECOND, START, START)
    for found in lookups:
        uptimes.record_lookup(found)
    assert uptimes.has_outlasted_changes(SECOND, START, START + 0.3) is is_valid
    assert uptimes.has_outlasted_changes(SECOND, START, LATER) is is_valid_later


CHANGE_TO_SECOND = OrderedChange(SECOND, 2)
CHANGE_TO_FIRST = OrderedChange(FIRST, 2)
GROUP_LEASE = Lease(GROUP, NodeId("node-1"), Revision(FIRST_ERA, 5))
RESTORED = Revision(FIRST_ERA + 1, 5)


@pytest.mark.parametrize(
    ("lease", "term", "is_first_era", "found"),
    [
        (None, 1, True, PendingChange.NONE),
        (None, 1, False, PendingChange.UNKNOWN),
        (GROUP_LEASE, 1, True, PendingChange.NONE),
        (replace(GROUP_LEASE, preparing=True), 1, True, PendingChange.PENDING),
        (replace(GROUP_LEASE, unsettled=CHANGE_TO_SECOND), 1, True, PendingChange.PENDING),
        (replace(GROUP_LEASE, unsettled=CHANGE_TO_FIRST), 1, True, PendingChange.PENDING),
        (replace(GROUP_LEASE, unsettled=CHANGE_TO_FIRST), 2, True, PendingChange.NONE),
        (
            replace(GROUP_LEASE, unsettled=CHANGE_TO_FIRST, preparing=True),
            2,
            True,
            PendingChange.PENDING,
        ),
        (replace(GROUP_LEASE, last_change=CHANGE_TO_SECOND), 1, True, PendingChange.UNKNOWN),
        (replace(GROUP_LEASE, last_change=CHANGE_TO_SECOND), 2, True, PendingChange.NONE),
        (replace(GROUP_LEASE, last_change=CHANGE_TO_FIRST), 1, True, PendingChange.NONE),
        (replace(GROUP_LEASE, token=RESTORED), 1, False, PendingChange.UNKNOWN),
        (replace(GROUP_LEASE, token=RESTORED, era=RESTORED.era), 1, False, PendingChange.NONE),
    ],
    ids=[
        "no lease yet",
        "no lease since a restore",
        "no change",
        "being prepared",
        "ordered",
        "ordered, of the leader before its promotion",
        "ordered, of the leader, in effect",
        "ordered, of the leader, and prepared again",
        "carried out, unknown to this node",
        "carried out before",
        "of the leader itself",
        "written before a restore",
        "written since a restore",
    ],
)
def test_what_the_lease_shows_of_pending_changes(
    lease: Lease | None, term: int, is_first_era: bool, found: PendingChange
) -> None:
    assert pending_change(lease, FIRST, term, is_first_era) is found


@pytest.mark.parametrize(
    ("queried_at", "has_outlasted"),
    [(START, False), (START + SETTLED_SECONDS - 0.1, False), (START + SETTLED_SECONDS + 0.1, True)],
)
def test_a_member_that_outlasted_any_change_is_valid_by_itself(
    queried_at: float, has_outlasted: bool
) -> None:
    uptimes = WitnessUptimes()
    uptimes.record_reply(SECOND, START, queried_at)
    assert uptimes.has_outlasted_changes(SECOND, START, queried_at) is has_outlasted


AGE = SETTLED_SECONDS + 0.1
NEWEST = AGE - 1.0
"""When the last connection was opened, after the first (seconds): too recently to suffice alone."""


@pytest.mark.parametrize(
    ("connections", "has_outlasted"),
    [
        # Times of opening and query: the second was open while the first still replied.
        ([(0.0, NEWEST + 0.5), (NEWEST, AGE)], True),
        ([(0.0, NEWEST - 0.5), (NEWEST, AGE)], False),
        # The first one replies again after the second was opened.
        ([(0.0, 0.1), (NEWEST, NEWEST), (0.0, AGE)], True),
        # One connection joins two that were in use one after the other.
        ([(0.0, 0.5), (NEWEST, NEWEST + 0.1), (0.4, AGE)], True),
        # A reply of the former incarnation arrives late.
        ([(NEWEST, AGE), (0.0, 0.5)], False),
    ],
    ids=[
        "overlapping",
        "a gap between them",
        "the old one still replies",
        "joined",
        "a late reply",
    ],
)
def test_connections_in_use_at_the_same_time_belong_to_one_incarnation(
    connections: list[tuple[float, float]], has_outlasted: bool
) -> None:
    uptimes = WitnessUptimes()
    for opened_at, queried_at in connections:
        uptimes.record_reply(SECOND, START + opened_at, START + queried_at)
    assert uptimes.has_outlasted_changes(SECOND, START + NEWEST, START + AGE) is has_outlasted


def make_using_tracker(
    published: list[LeaderEvent], *members: InstanceId, leader: MemberAnswer | None = None
) -> LeaderTracker:
    """Return a tracker that has found a leader, FIRST in term 1 unless given."""
    tracker = make_tracker(published)
    register(tracker, *members)
    tracker.handle_answer(primary_answer(FIRST, 1) if leader is None else leader)
    return tracker


def restarted(answer: MemberAnswer) -> MemberAnswer:
    """Return a reply on a connection that was opened just now."""
    return answer._replace(opened_at=now())


async def test_the_status_of_a_restarted_member_confirms_once_no_change_is_pending() -> None:
    tracker = make_using_tracker([], FIRST, SECOND, THIRD)
    answers = [restarted(replica_answer(instance, 1)) for instance in (SECOND, THIRD)]
    take_all(tracker, answers)
    assert not tracker.may_use(FIRST)
    tracker.record_lookup(lookup(now()))
    take_all(tracker, answers[:1])
    assert tracker.may_use(FIRST)


@pytest.mark.parametrize("found", [PendingChange.PENDING, PendingChange.UNKNOWN])
@pytest.mark.parametrize("members", [[FIRST, SECOND], [FIRST, SECOND, THIRD]], ids=["two", "three"])
async def test_a_pending_change_keeps_restarted_members_from_confirming(
    members: list[InstanceId], found: PendingChange
) -> None:
    """Guards against the restarted target of a change, alone or with all other replicas."""
    tracker = make_using_tracker([], *members)
    tracker.record_lookup(lookup(now() + 1.0, found))
    for instance in members[1:]:
        tracker.handle_answer(restarted(replica_answer(instance, 1)))
        tracker.record_position(instance, Position(1, 9), now(), now())
    assert not tracker.may_use(FIRST)


async def test_a_lookup_is_requested_while_only_restarted_members_confirm() -> None:
    published: list[LeaderEvent] = []
    tracker = make_using_tracker(published, FIRST, SECOND)
    published.clear()
    for _ in range(3):
        tracker.handle_answer(restarted(replica_answer(SECOND, 1)))
    assert published == [ChangeLookupRequested(GROUP)]


async def test_a_new_leader_is_looked_up_at_once() -> None:
    """Guards against half a second without writes after a change of primary or a cut."""
    published: list[LeaderEvent] = []
    tracker = make_using_tracker(published, FIRST, SECOND, THIRD)
    tracker.handle_answer(restarted(replica_answer(THIRD, 1)))
    tracker.handle_answer(primary_answer(SECOND, 2))
    published.clear()
    tracker.handle_answer(restarted(replica_answer(THIRD, 2)))
    assert published == [ChangeLookupRequested(GROUP)]


@pytest.mark.parametrize(
    ("found", "is_confirmed"),
    [
        (PendingChange.NONE, True),
        (PendingChange.PENDING, False),
        (PendingChange.UNKNOWN, False),
    ],
)
async def test_a_leader_without_listed_members_is_used_only_under_the_stores_word(
    found: PendingChange, is_confirmed: bool
) -> None:
    """Guards against "no other member is listed" as "no other member can be promoted"."""
    tracker = make_using_tracker([], FIRST)
    assert not tracker.may_use(FIRST)
    tracker.record_lookup(lookup(now(), found))
    assert tracker.may_use(FIRST) is is_confirmed


async def test_a_group_of_one_is_served_while_the_store_answers_and_not_without_it() -> None:
    """Guards a lone leader against a node that can't know whether another was promoted."""
    async with running_world() as world:
        for name in (SECOND, THIRD):
            world.platform.delete("servers", name)
            await world.group.members[name].crash()
        context = world.nodes[0].gateway.context
        await until(lambda: list(context.placement.pools) == [FIRST])
        client = await world.client("latest")
        while (await client.run("WRITE k v")).code:
            pass
        tracker = context.leader(GROUP)
        lapses: list[float] = []
        tracker.record_lapse = lambda: lapses.append(now())  # type: ignore[method-assign]
        for _ in range(4):
            confirmed_at = tracker.lease.confirmed_at
            await until(lambda at=confirmed_at: tracker.lease.confirmed_at > at)  # type: ignore[misc]
            assert not (await client.run("WRITE k v")).code
        assert lapses == []
        del tracker.record_lapse
        world.platform.fault.status = 503
        await until(lambda: not tracker.may_use(FIRST))
        assert (await client.run("WRITE k v")).code
        world.platform.fault.status = 0
        await until(lambda: tracker.may_use(FIRST))
        assert not (await client.run("WRITE k v")).code


async def test_the_stores_word_is_as_old_as_the_request_for_it() -> None:
    """Guards against an answer that was on its way while a change was recorded."""
    tracker = make_using_tracker([], FIRST)
    tracker.record_lookup(lookup(now() - LEASE_SECONDS))
    assert not tracker.may_use(FIRST)


async def test_the_stores_word_alone_confirms_nothing_while_another_member_is_registered() -> None:
    tracker = make_using_tracker([], FIRST, SECOND)
    tracker.record_lookup(lookup(now()))
    assert not tracker.may_use(FIRST)


async def test_the_stores_word_from_before_a_loss_starts_no_lease() -> None:
    """Guards against a word that another node, which was told of the loss, does not wait for."""
    tracker = make_using_tracker([], FIRST)
    requested_at = now()
    await asyncio.sleep(0.01)
    tracker.reject(FIRST, "it gave no answer")
    tracker.handle_answer(primary_answer(FIRST, 1))
    tracker.record_lookup(lookup(requested_at))
    assert not tracker.may_use(FIRST)


async def test_a_departed_member_has_to_be_accounted_for_beside_the_one_that_confirms() -> None:
    """Guards against one member's word as that of all, by a list that lacks the one promoted."""
    tracker = make_using_tracker([], FIRST, SECOND, THIRD)
    register(tracker, FIRST, SECOND, departed=[THIRD])
    tracker.handle_answer(replica_answer(SECOND, 1))
    assert not tracker.may_use(FIRST)
    tracker.record_lookup(lookup(now()))
    tracker.handle_answer(replica_answer(SECOND, 1))
    assert tracker.may_use(FIRST)


async def test_a_departed_member_that_has_ended_is_accounted_for_without_the_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a store outage that stops writes after a replica left as planned."""
    tracker = make_using_tracker([], FIRST, SECOND, THIRD)
    register(tracker, FIRST, SECOND, departed=[THIRD])

    async def refuse_connection(entry: DatabaseEntry, timeout: float) -> None:
        raise ProbeFailedError("connection refused", is_gone=True)

    monkeypatch.setattr(tracker._probes, "reach", refuse_connection)
    tracker.handle_answer(replica_answer(SECOND, 1))
    await until(lambda: THIRD not in tracker._queries)
    tracker.handle_answer(replica_answer(SECOND, 1))
    assert tracker.may_use(FIRST)


async def test_no_lookup_is_requested_while_another_member_confirms() -> None:
    published: list[LeaderEvent] = []
    tracker = make_using_tracker(published, FIRST, SECOND, THIRD)
    take_all(tracker, [replica_answer(instance, 1) for instance in (SECOND, THIRD)])
    assert tracker.may_use(FIRST)
    published.clear()
    tracker.handle_answer(restarted(replica_answer(SECOND, 1)))
    assert published == []


async def test_the_lookup_reads_the_lease_and_informs_the_tracker() -> None:
    async with running_world() as world:
        client = await world.client("latest")
        assert not (await client.run("WRITE k v")).code
        node = world.nodes[0]
        uptimes = node.gateway.context.leader(GROUP)._uptimes
        before = now()
        assert not uptimes.has_outlasted_changes(SECOND, before, before)
        node.kernel.publish(ChangeLookupRequested(GROUP))
        await until(lambda: uptimes.has_outlasted_changes(SECOND, before, before))


async def test_a_store_that_does_not_answer_informs_nobody() -> None:
    async with running_world() as world:
        client = await world.client("latest")
        assert not (await client.run("WRITE k v")).code
        node = world.nodes[0]
        tracker = node.gateway.context.leader(GROUP)
        before = now()
        await ChangeLookups(node.gateway.context, SilentLeases()).run(GROUP)
        assert not tracker._uptimes.has_outlasted_changes(SECOND, before, before)


@pytest.mark.parametrize("is_silent", [False, True], ids=["answers", "silent"])
async def test_lookups_with_the_same_result_are_logged_once(
    is_silent: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against two lines a second from each node that uses a group of one."""
    caplog.set_level(logging.INFO, change_lookups.__name__)
    async with running_world() as world:
        client = await world.client("latest")
        assert not (await client.run("WRITE k v")).code
        node = world.nodes[0]
        await until(lambda: world.platform.has("leases", GROUP))
        failover = node.kernel._services["failover"]
        assert isinstance(failover, FailoverService)
        leases = SilentLeases() if is_silent else failover.leases
        lookups = ChangeLookups(node.gateway.context, leases)
        caplog.clear()
        for _ in range(3):
            await lookups.run(GROUP)
        own = [record for record in caplog.records if record.name == change_lookups.__name__]
        assert len(own) == 1


class SilentLeases:
    """A lease store that is unavailable."""

    async def read(self, group: GroupId, timeout: float) -> Lease | None:
        raise LeaseStoreUnavailableError("no answer")

    async def create(self, group: GroupId, holder: NodeId, timeout: float) -> Lease | None:
        raise LeaseStoreUnavailableError("no answer")

    async def write(self, lease: Lease, content: Lease, timeout: float) -> Lease | None:
        raise LeaseStoreUnavailableError("no answer")


async def test_a_former_leader_that_still_claims_to_lead_blocks_no_confirmation() -> None:
    """Guards against seconds without a lease on a new leader while a former or dead one remains."""
    tracker = make_using_tracker([], FIRST, SECOND, THIRD, leader=primary_answer(SECOND, 2))
    tracker.handle_answer(primary_answer(FIRST, 1))
    confirmation = restarted(replica_answer(THIRD, 2))
    tracker.record_lookup(lookup(now()))
    tracker.handle_answer(confirmation)
    assert tracker.may_use(SECOND)


async def test_a_member_that_has_ended_blocks_no_confirmation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tracker = make_using_tracker([], FIRST, SECOND, THIRD)

    async def refuse_connection(instance: InstanceId, timeout: float) -> None:
        raise ProbeFailedError("connection refused", is_gone=True)

    monkeypatch.setattr(tracker._probes, "query_status", refuse_connection)
    await tracker._run_query(SECOND, tracker._probes.query_status)
    confirmation = restarted(replica_answer(THIRD, 1))
    tracker.record_lookup(lookup(now()))
    tracker.handle_answer(confirmation)
    assert tracker.may_use(FIRST)


async def test_a_silent_member_blocks_no_confirmation() -> None:
    """Guards against seconds without a lease after a start whose list names an ended member."""
    tracker = make_using_tracker([], FIRST, SECOND, THIRD)
    confirmation = restarted(replica_answer(THIRD, 1))
    tracker.record_lookup(lookup(now()))
    tracker.handle_answer(confirmation)
    assert tracker.may_use(FIRST)


async def test_a_replica_that_has_received_nothing_yet_blocks_no_confirmation() -> None:
    """Guards against an unnecessary change of primary right after the start of a group."""
    tracker = make_using_tracker([], FIRST, SECOND_AGAIN, THIRD)
    empty = restarted(replica_answer(SECOND_AGAIN, 1))
    assert empty.status is not None
    nothing = empty.status._replace(received=Position(1, 0))
    tracker.record_lookup(lookup(now()))
    tracker.handle_answer(empty._replace(position=Position(1, 0), status=nothing))
    assert not tracker.may_use(FIRST)
    confirmation = restarted(replica_answer(THIRD, 1))
    tracker.record_lookup(lookup(now()))
    tracker.handle_answer(confirmation)
    assert tracker.may_use(FIRST)


async def test_received_positions_confirm_once_no_change_is_pending() -> None:
    """Guards against no lease right after a start, when busy databases refuse status queries."""
    tracker = make_using_tracker([], FIRST, SECOND, THIRD)
    opened_at = now()
    tracker.record_proof(FIRST, Position(1, 6), now())
    tracker.record_position(SECOND, Position(1, 7), now(), opened_at)
    assert not tracker.may_use(FIRST)
    tracker.record_lookup(lookup(now()))
    tracker.record_position(SECOND, Position(1, 7), now(), opened_at)
    assert tracker.may_use(FIRST)


async def test_the_position_of_a_restarted_member_confirms_nothing() -> None:
    tracker = make_using_tracker([], FIRST, SECOND)
    tracker.record_proof(FIRST, Position(1, 6), now())
    tracker.record_position(SECOND, Position(1, 9), now(), now())
    assert not tracker.may_use(FIRST)
    tracker.record_position(SECOND, Position(1, 9), now(), now() - SETTLED_SECONDS - 0.1)
    assert tracker.may_use(FIRST)


# A node that orders a change may ignore a member that it does not reach. To a node that does, its
# confirmations count only while all other members were seen unpaused.


@pytest.mark.parametrize(
    ("held", "may_use"),
    [
        (None, False),
        (0, True),
        (2, False),
    ],
    ids=["silent", "unpaused", "paused"],
)
async def test_a_member_confirms_only_while_the_others_were_seen_unpaused(
    held: int | None, may_use: bool
) -> None:
    """`held`: the term that the other replica was paused for; None if it does not reply."""
    tracker = make_using_tracker([], FIRST, SECOND, THIRD)
    if held is not None:
        tracker.handle_answer(replica_answer(THIRD, 1, held))
    tracker.handle_answer(replica_answer(SECOND, 1))
    assert tracker.may_use(FIRST) is may_use


@pytest.mark.parametrize(("age", "may_use"), [(0.1, True), (SIGHTING_SECONDS + 0.1, False)])
@pytest.mark.parametrize("is_lookup", [False, True], ids=["seen", "no change pending"])
async def test_a_sighting_is_valid_for_a_while(age: float, may_use: bool, is_lookup: bool) -> None:
    tracker = make_using_tracker([], FIRST, SECOND, THIRD)
    if is_lookup:
        tracker.record_lookup(lookup(now() - age))
    else:
        tracker.handle_answer(replica_answer(THIRD, 1)._replace(queried_at=now() - age))
    tracker.lease.confirmed_at = float("-inf")
    tracker.handle_answer(replica_answer(SECOND, 1))
    assert tracker.may_use(FIRST) is may_use


async def test_a_sighting_by_a_restarted_member_does_not_count() -> None:
    tracker = make_using_tracker([], FIRST, SECOND, THIRD)
    take_all(tracker, [restarted(replica_answer(THIRD, 1)), replica_answer(SECOND, 1)])
    assert not tracker.may_use(FIRST)


async def test_the_store_is_looked_up_for_a_member_that_stays_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(leaders, "NEXT_WITNESS_SECONDS", 0.0)
    published: list[LeaderEvent] = []
    tracker = make_using_tracker(published, FIRST, SECOND, THIRD)
    published.clear()
    tracker.handle_answer(replica_answer(SECOND, 1))
    assert published == [ChangeLookupRequested(GROUP)]
