"""Counts of one operation: one per attempt that a database may run; the rest is refunded."""

from bramblebeam.core.identity import NodeId
from bramblebeam.core.quota.account import Count, OperationAccount
from bramblebeam.core.tenants import TenantId

FIRST = Count(TenantId("acme"), NodeId("a"))
SECOND = Count(TenantId("acme"), NodeId("b"))


def test_the_count_of_a_refused_attempt_is_reused_and_refunded_once() -> None:
    account = OperationAccount()
    account.add(FIRST)
    for _ in range(3):
        assert account.has_unused
        account.charge()
        assert not account.has_unused
        account.record_not_run()
    assert account.surely_not_run
    assert account.take_unused() == [FIRST]
    assert account.take_unused() == []


# The last attempt was refused as not run, but the one before may have run: one count is unused.


def test_an_attempt_that_may_have_run_keeps_its_count_if_the_next_one_is_refused() -> None:
    account = OperationAccount()
    account.add(FIRST)
    account.charge()
    account.add(SECOND)
    account.charge()
    account.record_not_run()
    assert not account.surely_not_run
    assert len(account.take_unused()) == 1


def test_attempts_of_a_tenant_without_a_limit_are_recorded_without_counts() -> None:
    account = OperationAccount()
    account.charge()
    assert not account.surely_not_run
    account.record_not_run()
    account.record_not_run()
    assert account.surely_not_run
    assert account.take_unused() == []
