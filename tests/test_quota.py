"""Tenant limits: the operations admitted in any time span, whichever nodes count them."""

import asyncio
import random

import pytest

from bramblebeam.core.gateway.owners import GroupSize, NodeLocation, OwnerTable
from bramblebeam.core.identity import NodeId, ZoneId
from bramblebeam.core.quota.bucket import (
    ADMITTED_SHARE,
    INITIAL_TOKENS,
    LIMIT_SECONDS,
    REFUND_SHARE,
    TokenBucket,
)
from bramblebeam.core.quota.counter import QuotaCounter
from bramblebeam.core.quota.held_grants import REQUEST_INTERVAL
from bramblebeam.core.quota.messages import NO_RECEIPT
from bramblebeam.core.tenants import RateLimit, TenantId
from member_views import nodes_in, view_of
from platform_standins.world import running_world, until
from quota_search import allowed, most_in_any_span
from test_tenants import (
    ACME,
    BOLT,
    OTHER_SECRET,
    SECRET,
    open_session,
    put_configuration,
    tenant_entry,
)

LIMIT = RateLimit(20.0, 20.0)


def counter_of() -> QuotaCounter:
    return QuotaCounter(1_000)


def keep_updating_shares(counter: QuotaCounter, share: float, begin: float, end: float) -> None:
    """Update the shares of the buckets at the interval of a running process."""
    now = begin
    while now < end:
        counter.update_shares(lambda tenant: LIMIT, lambda tenant: share, now)
        now += REQUEST_INTERVAL


def admitted(
    counter: QuotaCounter,
    rate: float,
    begin: float,
    end: float,
    limit: RateLimit = LIMIT,
    share: float = 1.0,
) -> list[float]:
    """Request `rate` operations a second; return when they were admitted."""
    step = 1 / rate
    moments = [begin + step * number for number in range(round((end - begin) * rate))]
    found = []
    followed_at = begin
    for at in moments:
        while at - followed_at >= REQUEST_INTERVAL:
            followed_at += REQUEST_INTERVAL
            counter.update_shares(lambda tenant: limit, lambda tenant: share, followed_at)
        if counter.admit(ACME, limit, share, at).admitted:
            found.append(at)
    return found


@pytest.mark.parametrize("times", [1.01, 2.0, 4.7, 8.0])
@pytest.mark.parametrize("limit", [LIMIT, RateLimit(105.0, 105.0), RateLimit(0.5, 3.0)], ids=str)
def test_a_tenant_far_past_its_limit_gets_all_of_it_and_no_more(
    times: float, limit: RateLimit
) -> None:
    moments = admitted(counter_of(), limit.rate * times, 0.0, 40.0, limit)
    assert most_in_any_span(moments) <= allowed(limit)
    assert len(moments) >= 40 * limit.rate * ADMITTED_SHARE * 0.97


def test_a_tenant_below_its_limit_is_never_refused() -> None:
    """Tenants usually send 1/1.6 of their limit, at irregular intervals."""
    rng = random.Random(1)
    counter = counter_of()
    now, refused = 0.0, 0
    for _ in range(10_000):
        now += rng.expovariate(LIMIT.rate / 1.6)
        refused += not counter.admit(ACME, LIMIT, 1.0, now).admitted
    assert refused <= 10


@pytest.mark.parametrize("takeovers", [1, 2, 3], ids=lambda n: f"{n} in one span")
def test_a_node_that_takes_over_begins_with_few_tokens(takeovers: int) -> None:
    """The former node may have admitted a whole burst just before it was lost."""
    limit = RateLimit(105.0, 105.0)
    admitted(counter_of(), 1.0, 0.0, 10.0, limit)
    moments: list[float] = []
    counter = counter_of()
    admitted(counter, 1.0, 0.0, 10.0, limit)
    begin = 10.0
    for _ in range(takeovers + 1):
        moments += admitted(counter, 840.0, begin, begin + 1.5, limit)
        begin += 1.5
        counter = counter_of()
    assert most_in_any_span(moments) <= allowed(limit)


@pytest.mark.parametrize("parts", [[59], [49, 10], [30, 29], [1] * 59, [57, 1, 1]], ids=str)
def test_the_parts_of_a_split_admit_no_more_than_the_whole(parts: list[int]) -> None:
    """Each part admits its share of the limit, although each receives 8 times the usual load."""
    limit = RateLimit(105.0, 105.0)
    moments = [
        at
        for part in parts
        for at in admitted(counter_of(), 500.0, 0.0, 10.0, limit, part / sum(parts))
    ]
    first = INITIAL_TOKENS * len(parts)
    assert len(moments) <= 10 * limit.rate + first + len(parts)


@pytest.mark.parametrize(
    ("lowered", "raised"),
    [
        pytest.param(RateLimit(1.0, 1.0), LIMIT, id="far below what is sent"),
        pytest.param(RateLimit(0.0, 0.0), LIMIT, id="to zero"),
    ],
)
def test_a_limit_that_changes_holds_at_once(lowered: RateLimit, raised: RateLimit) -> None:
    counter = counter_of()
    admitted(counter, 100.0, 0.0, 10.0)
    low = admitted(counter, 100.0, 10.0, 20.0, lowered)
    assert len(low) <= lowered.rate * 10 + lowered.burst + 1
    high = admitted(counter, 100.0, 20.0, 30.0, raised)
    assert len(high) >= raised.rate * 10 * ADMITTED_SHARE * 0.97


def test_a_limit_of_zero_admits_nothing_and_gives_no_wait() -> None:
    admission = counter_of().admit(ACME, RateLimit(0.0, 10.0), 1.0, 0.0)
    assert (admission.admitted, admission.wait) == (False, None)


def test_the_wait_is_until_there_is_room() -> None:
    bucket = TokenBucket(1.0, 0.0)
    limit = RateLimit(2.0 / ADMITTED_SHARE, 1.0 / ADMITTED_SHARE)
    assert bucket.take(limit, 1.0, 1, 0.0).admitted
    refused = bucket.take(limit, 1.0, 2, 0.0)
    assert not refused.admitted
    assert refused.wait == pytest.approx(0.5)
    assert bucket.take(limit, 1.0, 3, 0.5).admitted


def test_quick_refusals_by_databases_do_not_use_up_the_limit() -> None:
    """A full database refuses within a third of a second, and each caller makes three attempts."""
    counter = counter_of()
    waiting: list[tuple[float, int]] = []
    refused = 0
    for step in range(4_000):
        now = step / 100
        while waiting and now - waiting[0][0] >= 0.3:
            counter.refund(ACME, waiting.pop(0)[1], now)
        if step % 2:
            admission = counter.admit(ACME, LIMIT, 1.0, now)
            refused += not admission.admitted and now > 2.0
            if admission.admitted:
                waiting.append((now, admission.receipt))
    assert refused == 0


def test_an_operation_that_did_not_run_is_not_counted() -> None:
    """While a group has no leader, each operation is attempted three times."""
    counter = counter_of()
    for number in range(1_000):
        admission = counter.admit(ACME, LIMIT, 1.0, number / 1_000)
        assert admission.admitted
        assert counter.refund(ACME, admission.receipt, number / 1_000)


# Operations that wait for a leader are refunded after others were refused. All that were admitted
# in their place may run once there is a leader: without a bound their number keeps growing.


@pytest.mark.parametrize("seconds", [0.3, 1.0, 1.1, 2.0, 4.0], ids=lambda s: f"for {s} s")
def test_refunds_of_failed_waits_admit_no_more_waiting_operations_than_allowed(
    seconds: float,
) -> None:
    counter = counter_of()
    waiting: dict[int, float] = {}
    for step in range(2_000):
        now = step / 100
        for receipt, since in list(waiting.items()):
            if now - since >= seconds:
                counter.refund(ACME, receipt, now)
                del waiting[receipt]
        for _ in range(2):
            admission = counter.admit(ACME, LIMIT, 1.0, now)
            if admission.admitted:
                waiting[admission.receipt] = now
        assert len(waiting) <= (1 + REFUND_SHARE) * ADMITTED_SHARE * (LIMIT.rate * 5 + LIMIT.burst)


@pytest.mark.parametrize(
    ("receipt", "later"),
    [
        pytest.param(NO_RECEIPT, 0.0, id="never admitted"),
        pytest.param(-1, 0.0, id="of an earlier incarnation"),
        pytest.param(None, 0.0, id="refunded before"),
        pytest.param(None, LIMIT_SECONDS + 0.1, id="too late to matter"),
    ],
)
def test_a_refund_without_a_count_is_ignored(receipt: int | None, later: float) -> None:
    counter = counter_of()
    taken = counter.admit(ACME, LIMIT, 1.0, 0.0).receipt
    if not later:
        assert counter.refund(ACME, taken, 0.0)
    keep_updating_shares(counter, 1.0, 0.0, later)
    later_counts = counter.admit(ACME, LIMIT, 1.0, later)
    assert later_counts.admitted
    assert not counter.refund(ACME, taken if receipt is None else receipt, later)
    assert not counter.refund(TenantId("nobody"), taken, later)


# Changing shares.


def test_a_bucket_fills_by_the_smaller_of_two_shares() -> None:
    """Otherwise a node that held a tenth of a limit for a minute could start with all of it."""
    limit = RateLimit(100.0, 100.0)
    counter = counter_of()
    admitted(counter, 100.0, 0.0, 20.0, limit, share=0.1)
    assert len(admitted(counter, 5_000.0, 20.0, 20.01, limit)) <= 0.1 * limit.burst + 2


def test_unused_tokens_are_lost_with_the_share() -> None:
    counter = counter_of()
    admitted(counter, 1.0, 0.0, 10.0)
    assert not admitted(counter, 100.0, 10.0, 10.1, share=0.0)
    counter.update_shares(lambda tenant: LIMIT, lambda tenant: 0.0, 10.1)
    assert len(admitted(counter, 1_000.0, 20.0, 20.02)) <= 1
    assert len(admitted(counter, 1_000.0, 21.0, 21.02)) <= ADMITTED_SHARE * LIMIT.rate + 1


@pytest.mark.parametrize("asked_meanwhile", [True, False], ids=["asked", "not asked"])
def test_a_process_that_was_paused_begins_without_tokens(asked_meanwhile: bool) -> None:
    """Its parts were granted to others meanwhile, which admitted what it had tokens for."""
    counter = counter_of()
    admitted(counter, 1.0, 0.0, 10.0)
    if asked_meanwhile:
        assert not counter.admit(ACME, LIMIT, 0.0, 10.5).admitted
    assert len(admitted(counter, 1_000.0, 16.0, 16.01)) <= 1


def test_a_node_without_a_part_replies_that_another_node_counts() -> None:
    admission = counter_of().admit(ACME, LIMIT, 0.0, 0.0)
    assert (admission.admitted, admission.share) == (False, 0.0)


# Choice of the counting node.

SIZE = GroupSize(32, by_tenant=True)
TENANTS = [TenantId(f"tenant-{number}") for number in range(300)]


def tables(nodes: dict[ZoneId, tuple[NodeId, ...]]) -> list[OwnerTable]:
    view = view_of(nodes, lambda zone: zone // 2)
    found = []
    for zone, names in nodes.items():
        for name in names:
            table = OwnerTable(NodeLocation(name, zone, ""))
            table.update(view)
            found.append(table)
    return found


def test_every_node_chooses_the_same_home_for_a_tenant() -> None:
    found = tables(nodes_in(6, 10))
    for tenant in TENANTS:
        homes = {table.homes(SIZE, tenant) for table in found}
        assert len(homes) == 1
    owners = {home for tenant in TENANTS for home in found[0].homes(SIZE, tenant)[:1]}
    assert len(owners) == len(found[0].homes(SIZE, TENANTS[0]))


def test_the_loss_of_a_node_moves_mostly_its_own_tenants() -> None:
    nodes = nodes_in(6, 10)
    before = tables(nodes)[0]
    lost = before.homes(SIZE, TENANTS[0])[0]
    rest = {zone: tuple(node for node in names if node != lost) for zone, names in nodes.items()}
    after = tables(rest)[0]
    moved = 0
    for tenant in TENANTS:
        was, now = before.homes(SIZE, tenant)[0], after.homes(SIZE, tenant)[0]
        moved += was not in (lost, now)
    # One more node serves in its place, and becomes the home of some tenants.
    assert moved <= len(TENANTS) * 0.45


# End to end.


async def test_operations_over_the_limit_are_refused_at_once_as_not_run() -> None:
    async with running_world() as world:
        put_configuration(
            world,
            2,
            [tenant_entry(ACME, SECRET, rate=0.001, burst=3), tenant_entry(BOLT, OTHER_SECRET)],
        )
        hot, other = await open_session(world, SECRET), await open_session(world, OTHER_SECRET)
        answers = [await hot.run(f"WRITE k{number} v") for number in range(12)]
        refused = [answer for answer in answers if answer.code]
        assert {answer.code for answer in refused} == {"BUSY"}
        assert all("past its limit; retry after" in answer.text for answer in refused)
        assert len(answers) - len(refused) <= INITIAL_TOKENS
        assert len(world.group.primary.log) == len(answers) - len(refused)
        assert (await other.run("READ k0")).code == ""
        await hot.run("BEGIN")
        assert (await hot.run("READ k0")).code == "BUSY"
        assert (await hot.run("ROLLBACK")).state == "I"


async def test_a_transaction_is_one_operation() -> None:
    async with running_world() as world:
        put_configuration(world, 2, [tenant_entry(ACME, SECRET, rate=0.001, burst=2)])
        client = await open_session(world, SECRET)
        await client.run("BEGIN")
        for number in range(10):
            assert (await client.run(f"WRITE k{number} v")).code == ""
        assert (await client.run("COMMIT")).code == ""


async def test_a_changed_limit_applies_to_open_sessions() -> None:
    async with running_world() as world:
        put_configuration(world, 2, [tenant_entry(ACME, SECRET, rate=0, burst=0)])
        client = await open_session(world, SECRET)
        answer = await client.run("READ k")
        assert answer.code == "BUSY"
        assert "limit is zero" in answer.text
        context = world.nodes[0].gateway.context
        for version, rate, code in ((3, 1e6, ""), (4, 0, "BUSY")):
            put_configuration(world, version, [tenant_entry(ACME, SECRET, rate=rate, burst=rate)])
            await until(lambda expected=version: context.table.version == expected)
            await asyncio.sleep(0.05)
            assert (await client.run("READ k")).code == code
