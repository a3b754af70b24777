"""Transactions that hold connections: limited while connections are scarce."""

import random
from collections import Counter

import pytest

from bramblebeam.core.overload.idle_transactions import (
    ASSUMED_SECONDS,
    MAX_NODE_TRANSACTIONS,
    MAX_TRANSACTION_SHARE,
    Connections,
    OpenTransactions,
    TransactionGate,
    WaitingTransaction,
)
from bramblebeam.core.overload.ports import Refused
from bramblebeam.core.tenants import TenantId

MOST = 40
BOUND = int(MAX_TRANSACTION_SHARE * MOST)
SCARCE = Connections(MOST, MOST)
PLENTY = Connections(MOST // 2, MOST)
LONG = 60.0
QUIET, BUSY = TenantId("quiet"), TenantId("busy")


def opened(gate: TransactionGate, tenant: TenantId, count: int, connections: Connections) -> int:
    """Return how many of `count` transactions begin now; the others wait."""
    began = 0
    for number in range(count):
        gate.enqueue(WaitingTransaction(number, tenant), connections, LONG)
        began += gate.next(connections) is not None
    return began


def test_no_limit_while_connections_are_plentiful() -> None:
    gate = TransactionGate(OpenTransactions())
    assert opened(gate, BUSY, 2 * MOST, PLENTY) == 2 * MOST


def test_transactions_leave_scarce_connections_to_statements() -> None:
    gate = TransactionGate(OpenTransactions())
    assert opened(gate, BUSY, MOST, SCARCE) == BOUND
    assert gate.has_waiting
    gate.ended(BUSY, 0.2)
    assert gate.next(SCARCE) is not None
    assert gate.next(SCARCE) is None


def test_tenant_is_limited_to_its_share_while_another_waits() -> None:
    """One tenant opens 60 idle transactions, then another one needs a few."""
    gate = TransactionGate(OpenTransactions())
    opened(gate, BUSY, 60, SCARCE)
    for number in range(100, 104):
        assert gate.enqueue(WaitingTransaction(number, QUIET), SCARCE, LONG) is None
    begun = []
    for _ in range(4):
        gate.ended(BUSY, 0.2)
        begun.append(gate.next(SCARCE))
    assert begun == [100, 101, 102, 103], "before the busy tenant's, which came earlier"


@pytest.mark.parametrize("seed", range(5))
def test_busy_tenant_does_not_starve_others(seed: int) -> None:
    """One tenant requests ten times as often as each of four others; connections are scarce."""
    numbers = random.Random(seed)
    tenants = [TenantId(f"t{at}") for at in range(5)]
    weights = [10, 1, 1, 1, 1]
    gate = TransactionGate(OpenTransactions())
    begun: Counter[TenantId] = Counter()
    requested: Counter[TenantId] = Counter()
    owners: dict[int, TenantId] = {}
    running: list[TenantId] = []
    for number in range(2_000):
        tenant = numbers.choices(tenants, weights)[0]
        owners[number] = tenant
        requested[tenant] += 1
        gate.enqueue(WaitingTransaction(number, tenant), SCARCE, 10 * LONG)
        if running and numbers.random() < 0.6:
            gate.ended(running.pop(0), 0.2)
        while (started := gate.next(SCARCE)) is not None:
            begun[owners[started]] += 1
            running.append(owners[started])
    assert all(begun[tenant] >= 0.9 * requested[tenant] for tenant in tenants[1:])
    assert gate.open <= BOUND


@pytest.mark.parametrize(
    ("time_left", "refused"),
    [
        pytest.param(10 * ASSUMED_SECONDS, False, id="turn in time"),
        pytest.param(0.5 * ASSUMED_SECONDS / BOUND, True, id="turn too late"),
    ],
)
def test_transaction_whose_turn_is_too_late_is_refused(time_left: float, refused: bool) -> None:
    gate = TransactionGate(OpenTransactions())
    for number in range(BOUND):
        gate.enqueue(WaitingTransaction(number, BUSY), SCARCE, LONG)
        assert gate.next(SCARCE) is not None
    answer = gate.enqueue(WaitingTransaction(900, BUSY), SCARCE, time_left)
    assert isinstance(answer, Refused) == refused
    if answer is not None:
        assert answer.room_in == pytest.approx(ASSUMED_SECONDS / BOUND)
    assert gate.has_waiting != refused


def test_withdrawn_transaction_does_not_begin() -> None:
    gate = TransactionGate(OpenTransactions())
    opened(gate, BUSY, BOUND, SCARCE)
    gate.enqueue(WaitingTransaction(800, QUIET), SCARCE, LONG)
    gate.enqueue(WaitingTransaction(801, QUIET), SCARCE, LONG)
    gate.withdraw(800)
    gate.ended(BUSY, 0.1)
    assert gate.next(SCARCE) == 801


def test_node_limit_applies_over_all_databases() -> None:
    node = OpenTransactions()
    first, second = TransactionGate(node), TransactionGate(node)
    wide = Connections(0, 10 * MAX_NODE_TRANSACTIONS)
    assert opened(first, BUSY, MAX_NODE_TRANSACTIONS, wide) == MAX_NODE_TRANSACTIONS
    assert opened(second, QUIET, 1, wide) == 0
    first.ended(BUSY, 0.1)
    assert second.next(wide) is not None


def test_single_connection_admits_a_transaction() -> None:
    gate = TransactionGate(OpenTransactions())
    assert opened(gate, QUIET, 3, Connections(1, 1)) == 1


def test_negative_duration_gives_no_negative_wait() -> None:
    gate = TransactionGate(OpenTransactions())
    opened(gate, BUSY, BOUND, SCARCE)
    for _ in range(BOUND):
        gate.ended(BUSY, -5.0)
        opened(gate, BUSY, 1, SCARCE)
    answer = gate.enqueue(WaitingTransaction(900, BUSY), SCARCE, 0.0)
    assert answer is None or answer.room_in >= 0.0
