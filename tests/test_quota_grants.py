"""Parts of limits that nodes lend: never to two holders of one tenant at the same time."""

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
LENDER = NodeId("lender")
TENANTS = [TenantId(f"tenant-{number}") for number in range(40)]
LONG_AGO = -60.0
MOST_OVER_LIMIT = 1.1
"""No span may count more than this part of what a limit allows, but for a few operations."""


def fleet(*serving: NodeId) -> Fleet:
    return Fleet(frozenset(serving), (LENDER,), 1)


def grantor(started_at: float = LONG_AGO) -> Grantor:
    made = Grantor(LENDER, 7_000)
    made.start(started_at)
    return made


class Loan:
    """One holder's dealings with the grantor."""

    def __init__(self, lender: Grantor, node: NodeId) -> None:
        self.lender = lender
        self.node = node
        self.holdings = HeldGrants(node)

    def ask(self, known: Fleet, now: float, late: float = 0.0) -> Grant:
        """Ask, and take the answer `late` seconds after the question was sent."""
        request = self.holdings.request(LENDER, now)
        grant = self.lender.answer(self.node, request, known, now + late)
        self.holdings.handle_grant(LENDER, grant, now + late)
        return grant

    def tenants(self, now: float) -> set[TenantId]:
        return {tenant for tenant in TENANTS if self.holdings.share(tenant, 1, now) > 0}


def test_tenants_are_divided_among_those_that_ask() -> None:
    lender = grantor()
    a, b = Loan(lender, A), Loan(lender, B)
    for now in (0.0, 0.1, 0.2):
        a.ask(fleet(A, B, C), now)
        b.ask(fleet(A, B, C), now)
    assert a.tenants(0.3) | b.tenants(0.3) == set(TENANTS)
    assert not a.tenants(0.3) & b.tenants(0.3)
    assert a.tenants(0.3) == {t for t in TENANTS if counting_node(t, (A, B)) == A}


def test_nothing_is_lent_to_a_node_that_serves_nobody_or_by_one_that_is_no_grantor() -> None:
    assert not Loan(grantor(), A).ask(fleet(B), 0.0).part
    not_of_them = Fleet(frozenset({A}), (C,), 1)
    assert not Loan(grantor(), A).ask(not_of_them, 0.0).part


# One that was lost, cut off or paused may count by its grant until that is over.


def test_a_lost_holders_tenants_are_lent_again_only_after_its_grant_is_over() -> None:
    lender = grantor()
    a, b = Loan(lender, A), Loan(lender, B)
    for now in (0.0, 0.1, 0.2):
        a.ask(fleet(A, B), now)
        b.ask(fleet(A, B), now)
    lost = a.tenants(0.3)
    now = 0.3
    while lost & a.tenants(now):
        assert not lost & b.tenants(now)
        now += 0.1
        b.ask(fleet(A, B), now)
    for _ in range(5):
        now += 0.1
        b.ask(fleet(A, B), now)
    assert b.tenants(now) == set(TENANTS)
    assert now <= 0.2 + GRANT_SECONDS + CLOCK_MARGIN + 0.7


def test_a_grant_counts_from_the_question_not_from_the_answer() -> None:
    """An answer that was a second on its way must not be good for a second more."""
    a = Loan(grantor(), A)
    a.ask(fleet(A), 0.0, late=1.0)
    assert a.tenants(GRANT_SECONDS - 0.01)
    assert not a.tenants(GRANT_SECONDS)


def test_a_node_that_joins_waits_until_the_former_holder_uses_the_new_grant() -> None:
    lender = grantor()
    a, b = Loan(lender, A), Loan(lender, B)
    a.ask(fleet(A), 0.0)
    assert a.tenants(0.1) == set(TENANTS)
    assert b.ask(fleet(A, B), 0.2).blocking
    assert not b.tenants(0.2)
    a.ask(fleet(A, B), 0.3)
    b.ask(fleet(A, B), 0.4)
    assert not b.tenants(0.4), "the grantor does not know yet that the answer arrived"
    a.ask(fleet(A, B), 0.5)
    b.ask(fleet(A, B), 0.6)
    assert a.tenants(0.6) | b.tenants(0.6) == set(TENANTS)
    assert not a.tenants(0.6) & b.tenants(0.6)


def test_what_is_given_back_is_lent_to_others_at_once() -> None:
    lender = grantor()
    a, b = Loan(lender, A), Loan(lender, B)
    a.ask(fleet(A, B), 0.0)
    ((grantor_of_it, returned),) = a.holdings.release_all()
    assert grantor_of_it == LENDER
    lender.release(A, returned.number)
    b.ask(fleet(A, B), 0.1)
    assert b.tenants(0.1) == set(TENANTS)
    assert not a.tenants(0.1)


# A node that stops serving for a moment gives back, and asks again at once. The datagram that gives
# back may arrive last: the grantor would lend to another one what the node counts by once more.


def test_a_return_that_arrives_late_takes_back_no_later_grant() -> None:
    lender = grantor()
    a, b = Loan(lender, A), Loan(lender, B)
    a.ask(fleet(A), 0.0)
    ((_, returned),) = a.holdings.release_all()
    a.ask(fleet(A), 0.1)
    lender.release(A, returned.number)
    b.ask(fleet(B), 0.2)
    assert a.tenants(0.2) == set(TENANTS)
    assert not b.tenants(0.2)


def test_right_after_its_start_a_grantor_lends_less() -> None:
    a = Loan(grantor(started_at=0.0), A)
    assert a.ask(fleet(A), 0.1).part == RESTART_PART
    assert a.ask(fleet(A), GRANT_SECONDS + CLOCK_MARGIN).part == 1.0
    never_started = Loan(Grantor(LENDER, 1), A)
    assert never_started.ask(fleet(A), 9.0).part == RESTART_PART


def test_three_of_five_grantors_that_start_at_once_stay_within_a_tenth_over_the_limit() -> None:
    """Guards against a whole part that is lent anew while its former holder still counts by it."""
    names = tuple(NodeId(f"grantor-{number}") for number in range(5))
    lenders = {name: Grantor(name, 7_000) for name in names}
    old, new = HeldGrants(A), HeldGrants(B)
    for name, lender in lenders.items():
        lender.start(LONG_AGO)
        lend(lender, name, A, old, Fleet(frozenset({A}), names, len(names)), 0.0)
    for name in names[:3]:
        lenders[name] = Grantor(name, 9_000)
        lenders[name].start(0.1)
        lend(lenders[name], name, B, new, Fleet(frozenset({B}), names, len(names)), 0.2)
    for tenant in TENANTS:
        lent = sum(holdings.share(tenant, len(names), 0.3) for holdings in (old, new))
        assert 1.0 < lent <= MOST_OVER_LIMIT / ADMITTED_SHARE


def lend(
    lender: Grantor, name: NodeId, holder: NodeId, holdings: HeldGrants, known: Fleet, now: float
) -> None:
    """Let a holder ask a grantor, and take its answer."""
    grant = lender.answer(holder, holdings.request(name, now), known, now)
    holdings.handle_grant(name, grant, now)


# Answers that nobody asked for, late ones, and absurd ones.


@pytest.mark.parametrize(
    "grant",
    [
        pytest.param(Grant(99, 5, (A,), 1.0, 1), id="nobody asked"),
        pytest.param(Grant(1, 5, (A,), 0.0, 1), id="nothing is lent"),
        pytest.param(Grant(1, 5, (A,), -3.0, 1), id="less than nothing"),
        pytest.param(Grant(1, 5, (A,), math.nan, 1), id="no number"),
        pytest.param(Grant(1, 5, (B,), 1.0, 1), id="for another node"),
        pytest.param(Grant(1, 5, (), 1.0, 1), id="for nobody"),
    ],
)
def test_an_answer_that_lends_nothing_changes_nothing(grant: Grant) -> None:
    holdings = HeldGrants(A)
    assert holdings.request(LENDER, 0.0).number == 1
    holdings.handle_grant(LENDER, grant, 0.0)
    assert not any(holdings.share(tenant, 1, 0.1) for tenant in TENANTS)


def test_one_grantor_never_lends_more_than_its_part() -> None:
    holdings = HeldGrants(A)
    holdings.request(LENDER, 0.0)
    holdings.handle_grant(LENDER, Grant(1, 5, (A,), 1e9, 0), 0.0)
    assert holdings.share(TENANTS[0], MAXIMUM_GRANTORS, 0.1) == pytest.approx(1 / MAXIMUM_GRANTORS)


def test_an_older_answer_that_comes_later_changes_nothing() -> None:
    lender = grantor()
    holdings = HeldGrants(A)
    first, second = holdings.request(LENDER, 0.0), holdings.request(LENDER, 1.0)
    older = lender.answer(A, first, fleet(A), 0.0)
    newer = lender.answer(A, second, fleet(A), 1.0)
    holdings.handle_grant(LENDER, newer, 1.1)
    holdings.handle_grant(LENDER, older, 1.2)
    assert holdings.share(TENANTS[0], 1, GRANT_SECONDS + 0.9) == 1.0


def test_the_parts_that_others_know_of_count_where_they_are_more() -> None:
    """A node that has just started knows few others, and would take one part for the whole."""
    holdings = HeldGrants(A)
    holdings.request(LENDER, 0.0)
    holdings.handle_grant(LENDER, Grant(1, 5, (A,), 1.0, 32), 0.0)
    assert holdings.share(TENANTS[0], 1, 0.1) == pytest.approx(1 / 32)


def test_a_grant_is_asked_for_again_in_time_and_at_once_where_it_is_new() -> None:
    a = Loan(grantor(), A)
    assert a.holdings.pending_grantors([LENDER], 0.0) == [LENDER]
    a.ask(fleet(A), 0.0)
    assert a.holdings.pending_grantors([LENDER], 0.0) == [LENDER]
    a.ask(fleet(A), 0.0)
    assert a.holdings.pending_grantors([LENDER], REQUEST_INTERVAL - 0.01) == []
    assert a.holdings.pending_grantors([LENDER], REQUEST_INTERVAL) == [LENDER]


def test_limits_are_divided_over_a_bounded_number_of_nodes_the_same_at_all() -> None:
    nodes = frozenset(NodeId(f"n{number}") for number in range(5_200))
    chosen = select_grantors(nodes)
    assert len(chosen) == MAXIMUM_GRANTORS
    lost = select_grantors(nodes - {chosen[0]})
    assert len(set(chosen) & set(lost)) == MAXIMUM_GRANTORS - 1


def test_messages_travel_and_an_earlier_version_s_are_read() -> None:
    codec = Codec(GATEWAY_NODE_MESSAGES)
    asked = AdmissionRequest(TENANTS[0], RateLimit(1.0, 2.0), 5)
    lender = grantor()
    lender.answer(B, GrantRequest(1), fleet(B), 0.0)
    granted = lender.answer(A, GrantRequest(3, NO_GRANT), fleet(A, B), 0.1)
    assert granted.blocking
    for message in (asked, GrantRequest(3, 9), granted):
        assert codec.decode(codec.encode(message)) == message
    before = Codec({703: _FormerRequest})
    assert codec.decode(before.encode(_FormerRequest(TENANTS[0]))) == AdmissionRequest(TENANTS[0])


class _FormerRequest(AdmissionRequest):
    """As a node of an earlier version asks."""

    def __iter__(self):  # type: ignore[no-untyped-def]
        return iter((self.tenant,))


# Fleets in virtual time, by the seed (quota_search).


@pytest.mark.parametrize("seed", range(1, 13))
def test_no_span_has_more_than_the_limit_allows_whatever_happens_to_nodes(seed: int) -> None:
    assert play(setting_of(seed)).worst <= 1.0


@pytest.mark.parametrize(
    ("trouble", "share", "first_seconds"),
    [
        pytest.param("none", 0.79, 0.79, id="nothing happens"),
        pytest.param("restarts", 0.6, 0.5, id="all are restarted in turn"),
        pytest.param("stops", 0.6, 0.5, id="all are stopped in turn, as planned"),
        pytest.param("home_killed", 0.6, 0.5, id="the node that counts is killed"),
        pytest.param("cut", 0.6, 0.5, id="a cut"),
    ],
)
def test_a_tenant_far_past_its_limit_still_gets_most_of_it(
    trouble: str, share: float, first_seconds: float
) -> None:
    result = play(Setting(1, trouble))
    assert result.worst <= 1.0
    assert result.share >= share
    assert result.first_seconds >= first_seconds
