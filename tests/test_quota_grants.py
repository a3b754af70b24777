"""Grants of parts of limits: for each tenant, a part has one holder at a time."""

import math

import pytest

from bramblebeam.core.identity import NodeId
from bramblebeam.core.quota.bucket import ADMITTED_SHARE
from bramblebeam.core.quota.grantor import (
    CLOCK_MARGIN,
    GRANT_SECONDS,
    MAXIMUM_GRANTORS,
    RESTART_PART,
    Fleet,
    Grantor,
    select_grantors,
)
from bramblebeam.core.quota.held_grants import REQUEST_INTERVAL, HeldGrants
from bramblebeam.core.quota.messages import (
    NO_GRANT,
    AdmissionRequest,
    Grant,
    GrantRequest,
    counting_node,
)
from bramblebeam.core.tenants import RateLimit, TenantId
from bramblebeam.wire.codec import Codec
from bramblebeam.wire.gateway_registry import GATEWAY_NODE_MESSAGES
from quota_search import Setting, play, setting_of

A, B, C = NodeId("a"), NodeId("b"), NodeId("c")
GRANTOR = NodeId("lender")
TENANTS = [TenantId(f"tenant-{number}") for number in range(40)]
LONG_AGO = -60.0
MOST_OVER_LIMIT = 1.1
"""Maximum admitted in any span, as a multiple of the limit, apart from a few operations."""


def fleet(*serving: NodeId) -> Fleet:
    return Fleet(frozenset(serving), (GRANTOR,), 1)


def started_grantor(started_at: float = LONG_AGO) -> Grantor:
    made = Grantor(GRANTOR, 7_000)
    made.start(started_at)
    return made


class Holder:
    """A holder and the grantor that it requests grants from."""

    def __init__(self, grantor: Grantor, node: NodeId) -> None:
        self.grantor = grantor
        self.node = node
        self.holdings = HeldGrants(node)

    def request(self, known: Fleet, now: float, late: float = 0.0) -> Grant:
        """Request a grant, which arrives `late` seconds after the request was sent."""
        request = self.holdings.request(GRANTOR, now)
        grant = self.grantor.answer(self.node, request, known, now + late)
        self.holdings.handle_grant(GRANTOR, grant, now + late)
        return grant

    def tenants(self, now: float) -> set[TenantId]:
        return {tenant for tenant in TENANTS if self.holdings.share(tenant, 1, now) > 0}


def test_tenants_are_divided_among_the_nodes_that_request_grants() -> None:
    grantor = started_grantor()
    a, b = Holder(grantor, A), Holder(grantor, B)
    for now in (0.0, 0.1, 0.2):
        a.request(fleet(A, B, C), now)
        b.request(fleet(A, B, C), now)
    assert a.tenants(0.3) | b.tenants(0.3) == set(TENANTS)
    assert not a.tenants(0.3) & b.tenants(0.3)
    assert a.tenants(0.3) == {t for t in TENANTS if counting_node(t, (A, B)) == A}


def test_nothing_is_granted_to_a_node_that_does_not_serve_or_by_one_that_is_no_grantor() -> None:
    assert not Holder(started_grantor(), A).request(fleet(B), 0.0).part
    without_grantor = Fleet(frozenset({A}), (C,), 1)
    assert not Holder(started_grantor(), A).request(without_grantor, 0.0).part


# A holder that was lost, partitioned off or paused may count by its grant until that expires.


def test_a_lost_holders_tenants_are_granted_again_only_after_its_grant_expires() -> None:
    grantor = started_grantor()
    a, b = Holder(grantor, A), Holder(grantor, B)
    for now in (0.0, 0.1, 0.2):
        a.request(fleet(A, B), now)
        b.request(fleet(A, B), now)
    lost = a.tenants(0.3)
    now = 0.3
    while lost & a.tenants(now):
        assert not lost & b.tenants(now)
        now += 0.1
        b.request(fleet(A, B), now)
    for _ in range(5):
        now += 0.1
        b.request(fleet(A, B), now)
    assert b.tenants(now) == set(TENANTS)
    assert now <= 0.2 + GRANT_SECONDS + CLOCK_MARGIN + 0.7


def test_a_grant_is_valid_from_the_request_not_from_its_arrival() -> None:
    """A grant that took a second to arrive must not be valid for a second longer."""
    a = Holder(started_grantor(), A)
    a.request(fleet(A), 0.0, late=1.0)
    assert a.tenants(GRANT_SECONDS - 0.01)
    assert not a.tenants(GRANT_SECONDS)


def test_a_node_that_joins_waits_until_the_former_holder_uses_its_new_grant() -> None:
    grantor = started_grantor()
    a, b = Holder(grantor, A), Holder(grantor, B)
    a.request(fleet(A), 0.0)
    assert a.tenants(0.1) == set(TENANTS)
    assert b.request(fleet(A, B), 0.2).blocking
    assert not b.tenants(0.2)
    a.request(fleet(A, B), 0.3)
    b.request(fleet(A, B), 0.4)
    assert not b.tenants(0.4), "the grantor does not know yet that the answer arrived"
    a.request(fleet(A, B), 0.5)
    b.request(fleet(A, B), 0.6)
    assert a.tenants(0.6) | b.tenants(0.6) == set(TENANTS)
    assert not a.tenants(0.6) & b.tenants(0.6)


def test_a_released_part_is_granted_to_others_at_once() -> None:
    grantor = started_grantor()
    a, b = Holder(grantor, A), Holder(grantor, B)
    a.request(fleet(A, B), 0.0)
    ((grantor_of_it, returned),) = a.holdings.release_all()
    assert grantor_of_it == GRANTOR
    grantor.release(A, returned.number)
    b.request(fleet(A, B), 0.1)
    assert b.tenants(0.1) == set(TENANTS)
    assert not a.tenants(0.1)


# A node that stops serving briefly releases its grant and requests one again at once. The datagram
# of the release may arrive last, and the grantor would grant to another node what the first one
# counts by again.


def test_a_release_that_arrives_late_does_not_affect_a_later_grant() -> None:
    grantor = started_grantor()
    a, b = Holder(grantor, A), Holder(grantor, B)
    a.request(fleet(A), 0.0)
    ((_, returned),) = a.holdings.release_all()
    a.request(fleet(A), 0.1)
    grantor.release(A, returned.number)
    b.request(fleet(B), 0.2)
    assert a.tenants(0.2) == set(TENANTS)
    assert not b.tenants(0.2)


def test_right_after_its_start_a_grantor_grants_less() -> None:
    a = Holder(started_grantor(started_at=0.0), A)
    assert a.request(fleet(A), 0.1).part == RESTART_PART
    assert a.request(fleet(A), GRANT_SECONDS + CLOCK_MARGIN).part == 1.0
    never_started = Holder(Grantor(GRANTOR, 1), A)
    assert never_started.request(fleet(A), 9.0).part == RESTART_PART


def test_three_of_five_grantors_that_start_at_once_stay_within_a_tenth_over_the_limit() -> None:
    """Guards against a whole part granted again while its former holder still counts by it."""
    names = tuple(NodeId(f"grantor-{number}") for number in range(5))
    grantors = {name: Grantor(name, 7_000) for name in names}
    old, new = HeldGrants(A), HeldGrants(B)
    for name, grantor in grantors.items():
        grantor.start(LONG_AGO)
        hand_over_grant(grantor, name, A, old, Fleet(frozenset({A}), names, len(names)), 0.0)
    for name in names[:3]:
        grantors[name] = Grantor(name, 9_000)
        grantors[name].start(0.1)
        hand_over_grant(grantors[name], name, B, new, Fleet(frozenset({B}), names, len(names)), 0.2)
    for tenant in TENANTS:
        granted = sum(holdings.share(tenant, len(names), 0.3) for holdings in (old, new))
        assert 1.0 < granted <= MOST_OVER_LIMIT / ADMITTED_SHARE


def hand_over_grant(
    grantor: Grantor, name: NodeId, holder: NodeId, holdings: HeldGrants, known: Fleet, now: float
) -> None:
    """Request a grant for a holder, and hand it over."""
    grant = grantor.answer(holder, holdings.request(name, now), known, now)
    holdings.handle_grant(name, grant, now)


# Unrequested, late and invalid grants.


@pytest.mark.parametrize(
    "grant",
    [
        pytest.param(Grant(99, 5, (A,), 1.0, 1), id="not requested"),
        pytest.param(Grant(1, 5, (A,), 0.0, 1), id="nothing granted"),
        pytest.param(Grant(1, 5, (A,), -3.0, 1), id="negative part"),
        pytest.param(Grant(1, 5, (A,), math.nan, 1), id="not a number"),
        pytest.param(Grant(1, 5, (B,), 1.0, 1), id="for another node"),
        pytest.param(Grant(1, 5, (), 1.0, 1), id="no counting node"),
    ],
)
def test_a_grant_of_nothing_is_ignored(grant: Grant) -> None:
    holdings = HeldGrants(A)
    assert holdings.request(GRANTOR, 0.0).number == 1
    holdings.handle_grant(GRANTOR, grant, 0.0)
    assert not any(holdings.share(tenant, 1, 0.1) for tenant in TENANTS)


def test_no_grantor_grants_more_than_its_part() -> None:
    holdings = HeldGrants(A)
    holdings.request(GRANTOR, 0.0)
    holdings.handle_grant(GRANTOR, Grant(1, 5, (A,), 1e9, 0), 0.0)
    assert holdings.share(TENANTS[0], MAXIMUM_GRANTORS, 0.1) == pytest.approx(1 / MAXIMUM_GRANTORS)


def test_an_older_grant_that_arrives_later_is_ignored() -> None:
    grantor = started_grantor()
    holdings = HeldGrants(A)
    first, second = holdings.request(GRANTOR, 0.0), holdings.request(GRANTOR, 1.0)
    older = grantor.answer(A, first, fleet(A), 0.0)
    newer = grantor.answer(A, second, fleet(A), 1.0)
    holdings.handle_grant(GRANTOR, newer, 1.1)
    holdings.handle_grant(GRANTOR, older, 1.2)
    assert holdings.share(TENANTS[0], 1, GRANT_SECONDS + 0.9) == 1.0


def test_a_larger_reported_number_of_parts_is_used() -> None:
    """A node that has just started knows few others, and would mistake one part for the whole."""
    holdings = HeldGrants(A)
    holdings.request(GRANTOR, 0.0)
    holdings.handle_grant(GRANTOR, Grant(1, 5, (A,), 1.0, 32), 0.0)
    assert holdings.share(TENANTS[0], 1, 0.1) == pytest.approx(1 / 32)


def test_a_grant_is_requested_again_in_time_and_at_once_if_it_is_new() -> None:
    a = Holder(started_grantor(), A)
    assert a.holdings.pending_grantors([GRANTOR], 0.0) == [GRANTOR]
    a.request(fleet(A), 0.0)
    assert a.holdings.pending_grantors([GRANTOR], 0.0) == [GRANTOR]
    a.request(fleet(A), 0.0)
    assert a.holdings.pending_grantors([GRANTOR], REQUEST_INTERVAL - 0.01) == []
    assert a.holdings.pending_grantors([GRANTOR], REQUEST_INTERVAL) == [GRANTOR]


def test_limits_are_divided_over_a_bounded_number_of_grantors_that_is_stable() -> None:
    nodes = frozenset(NodeId(f"n{number}") for number in range(5_200))
    chosen = select_grantors(nodes)
    assert len(chosen) == MAXIMUM_GRANTORS
    lost = select_grantors(nodes - {chosen[0]})
    assert len(set(chosen) & set(lost)) == MAXIMUM_GRANTORS - 1


def test_messages_are_encoded_and_those_of_an_earlier_version_decoded() -> None:
    codec = Codec(GATEWAY_NODE_MESSAGES)
    requested = AdmissionRequest(TENANTS[0], RateLimit(1.0, 2.0), 5)
    grantor = started_grantor()
    grantor.answer(B, GrantRequest(1), fleet(B), 0.0)
    granted = grantor.answer(A, GrantRequest(3, NO_GRANT), fleet(A, B), 0.1)
    assert granted.blocking
    for message in (requested, GrantRequest(3, 9), granted):
        assert codec.decode(codec.encode(message)) == message
    before = Codec({703: _FormerRequest})
    assert codec.decode(before.encode(_FormerRequest(TENANTS[0]))) == AdmissionRequest(TENANTS[0])


class _FormerRequest(AdmissionRequest):
    """The request of a node of an earlier version."""

    def __iter__(self):  # type: ignore[no-untyped-def]
        return iter((self.tenant,))


# Simulated fleets in virtual time, by seed (see quota_search).


@pytest.mark.parametrize("seed", range(1, 13))
def test_no_span_exceeds_the_limit_whatever_happens_to_nodes(seed: int) -> None:
    assert play(setting_of(seed)).worst <= 1.0


@pytest.mark.parametrize(
    ("trouble", "share", "first_seconds"),
    [
        pytest.param("none", 0.79, 0.79, id="no trouble"),
        pytest.param("restarts", 0.6, 0.5, id="rolling restart"),
        pytest.param("stops", 0.6, 0.5, id="rolling planned stop"),
        pytest.param("home_killed", 0.6, 0.5, id="counting node killed"),
        pytest.param("cut", 0.6, 0.5, id="network partition"),
    ],
)
def test_a_tenant_far_past_its_limit_still_gets_most_of_it(
    trouble: str, share: float, first_seconds: float
) -> None:
    result = play(Setting(1, trouble))
    assert result.worst <= 1.0
    assert result.share >= share
    assert result.first_seconds >= first_seconds
