"""When the primary is changed, by which node, and which member is promoted."""

import pytest

from bramblebeam.core.failover.decision import (
    Action,
    Cause,
    FailoverTiming,
    Situation,
    decide,
    quiet_time,
)
from bramblebeam.core.failover.lease import Lease, OrderedChange
from bramblebeam.core.failover.target import (
    CandidateStatus,
    choose_target,
    covers_acknowledged,
    next_term,
)
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.identity import Address, GroupId, InstanceId, NodeId, Position, ZoneId
from bramblebeam.core.role import Role
from revisions import at

GROUP = GroupId("deliveries")
OWN = NodeId("node-1")
OTHER = NodeId("node-2")
TIMING = FailoverTiming()
TROUBLE_START = 0.0


def entry(name: str, leaving: bool = False) -> DatabaseEntry:
    address = Address("127.0.0.1", 1)
    return DatabaseEntry(
        InstanceId(name), GROUP, address, ZoneId("a"), Role.REPLICA, leaving, slots=3
    )


def status(
    term: int, received: tuple[int, int], paused: bool = False, primary: bool = False
) -> CandidateStatus:
    return CandidateStatus(primary, term, Position(*received), paused)


def situation(holder: NodeId | None, **changes: object) -> Situation:
    lease = None if holder is None else Lease(GROUP, holder, at(7))
    values: dict[str, object] = {
        "node": OWN,
        "rank": 0,
        "leader": None,
        "cause": Cause.LOST,
        "trouble_since": TROUBLE_START,
        "lease": lease,
        "quiet_until": float("-inf"),
    }
    return Situation(**{**values, **changes})  # type: ignore[arg-type]


def test_nothing_is_done_without_trouble() -> None:
    assert decide(situation(OWN, cause=None), TROUBLE_START + 9, TIMING) is Action.NONE


def test_the_holder_acts_after_the_suspicion_timeout() -> None:
    assert decide(situation(OWN), TROUBLE_START + 0.1, TIMING) is Action.NONE
    assert decide(situation(OWN), TROUBLE_START + TIMING.suspicion_timeout, TIMING) is Action.CHANGE


def test_the_holder_acts_at_once_if_the_leader_leaves() -> None:
    leaving = situation(OWN, cause=Cause.LEAVING, leader=InstanceId("a"))
    assert decide(leaving, TROUBLE_START, TIMING) is Action.CHANGE


def test_a_change_in_progress_is_not_repeated() -> None:
    ordered = situation(OWN, ordered_at=TROUBLE_START + 1)
    assert decide(ordered, TROUBLE_START + 2, TIMING) is Action.NONE
    assert decide(ordered, TROUBLE_START + 1 + TIMING.attempt_timeout, TIMING) is Action.CHANGE


@pytest.mark.parametrize("rank", [0, 3])
def test_another_node_takes_over_later_by_its_rank(rank: int) -> None:
    wait = TIMING.suspicion_timeout + rank * TIMING.rank_step + TIMING.takeover_delay
    other = situation(OTHER, rank=rank)
    assert decide(other, TROUBLE_START + wait - 0.01, TIMING) is Action.NONE
    assert decide(other, TROUBLE_START + wait, TIMING) is Action.TAKE_OVER


def test_a_lapsed_registration_gets_time_to_return() -> None:
    """While the store is unavailable every registration lapses; that must not change a primary."""
    lapsed = situation(OWN, cause=Cause.LAPSED, leader=InstanceId("a"))
    assert decide(lapsed, TROUBLE_START + TIMING.lapse_timeout - 0.1, TIMING) is Action.NONE
    assert decide(lapsed, TROUBLE_START + TIMING.lapse_timeout, TIMING) is Action.CHANGE


def test_a_released_lease_is_taken_over_without_waiting_for_its_holder() -> None:
    leaving = situation(NodeId(""), cause=Cause.LEAVING, leader=InstanceId("a"))
    assert decide(leaving, TROUBLE_START, TIMING) is Action.TAKE_OVER
    released = Lease(GROUP, NodeId(""), at(8))
    assert quiet_time(Lease(GROUP, OTHER, at(7)), released, False, TIMING) == 0


def test_a_lease_that_was_just_written_is_not_taken_over() -> None:
    acting = situation(OTHER, quiet_until=TROUBLE_START + 4)
    assert decide(acting, TROUBLE_START + 3, TIMING) is Action.NONE
    assert decide(acting, TROUBLE_START + 4, TIMING) is Action.TAKE_OVER


def test_quiet_time_distinguishes_unchanged_from_rewritten_leases() -> None:
    old, new = Lease(GROUP, OTHER, at(7)), Lease(GROUP, OTHER, at(8))
    assert quiet_time(old, old, False, TIMING) == 0
    assert quiet_time(old, new, False, TIMING) == TIMING.attempt_timeout
    assert quiet_time(old, new, True, TIMING) == TIMING.lease_observation
    assert quiet_time(None, new, True, TIMING) == TIMING.lease_observation


def test_the_longest_log_is_promoted_and_a_leaving_member_last() -> None:
    members = [entry("a"), entry("b"), entry("c", leaving=True)]
    statuses = {
        InstanceId("a"): status(1, (1, 10)),
        InstanceId("b"): status(1, (1, 12)),
        InstanceId("c"): status(1, (1, 15)),
    }
    assert choose_target(members, statuses, None) == "b"
    assert choose_target(members, statuses, InstanceId("b")) == "a"
    assert choose_target(members, statuses, None, synchronous=True) == "c"
    only_leaving = {InstanceId("c"): statuses[InstanceId("c")]}
    assert choose_target(members, only_leaving, None) == "c"
    assert choose_target(members, {}, None) is None


def test_a_former_primary_that_kept_its_old_log_is_not_promoted() -> None:
    """Its log is longer, but contains commits that the last change rolled back."""
    members = [entry("former"), entry("present"), entry("third")]
    last = OrderedChange(InstanceId("present"), term=2, cut=Position(1, 87))
    former = {InstanceId("former"): status(1, (1, 118))}
    assert choose_target(members, former, None, last) is None
    assert choose_target(members, former, None, None) == "former"


def test_members_of_the_new_term_and_short_logs_may_be_promoted() -> None:
    members = [entry("former"), entry("present"), entry("third")]
    last = OrderedChange(InstanceId("present"), term=2, cut=Position(1, 87))
    followed = {InstanceId("third"): status(2, (1, 87))}
    assert choose_target(members, followed, None, last) == "third"
    short = {InstanceId("third"): status(1, (1, 80))}
    assert choose_target(members, short, None, last) == "third"
    older = {InstanceId("third"): status(1, (1, 80))}
    later_cut = OrderedChange(InstanceId("present"), term=4, cut=Position(3, 87))
    assert choose_target(members, older, None, later_cut) is None
    assert choose_target(members, short, None, last, synchronous=True) is None
    target = {InstanceId("present"): status(1, (1, 90))}
    assert choose_target(members, target, None, last) == "present"


def test_a_log_with_an_entry_newer_than_the_cut_is_no_part_of_it() -> None:
    """A member that led in between made a few commits, which the last change rolled back."""
    members = [entry("between"), entry("present")]
    last = OrderedChange(InstanceId("present"), term=3, cut=Position(1, 87))
    between = {InstanceId("between"): status(2, (2, 80))}
    assert choose_target(members, between, None, last) is None


def test_the_next_term_is_above_an_unreachable_newer_one() -> None:
    """Found by the model: a term based on reachable members alone later qualified an old log."""
    last = OrderedChange(InstanceId("present"), term=5, cut=Position(4, 9))
    assert next_term({InstanceId("third"): status(1, (1, 3))}, last) == 6
    assert next_term({InstanceId("third"): status(7, (7, 3))}, last) == 8


def test_with_synchronous_replicas_enough_of_them_must_be_paused() -> None:
    members = [entry("primary"), entry("b"), entry("c")]
    primary = InstanceId("primary")
    both = {
        InstanceId("b"): status(1, (1, 5), paused=True),
        InstanceId("c"): status(1, (1, 6), paused=True),
    }
    one = {InstanceId("b"): status(1, (1, 5), paused=True)}
    unpaused = {**both, InstanceId("c"): status(1, (1, 6))}
    assert covers_acknowledged(members, both, primary, 1)
    assert not covers_acknowledged(members, one, primary, 1)
    assert not covers_acknowledged(members, unpaused, primary, 1)
    assert covers_acknowledged(members, one, primary, 0)
    assert covers_acknowledged(members, one, primary, 2)
