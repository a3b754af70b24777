"""Transactions that rest on connections: bounded while connections are scarce."""

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
QUIET, LOUD = TenantId("quiet"), TenantId("loud")


def opened(gate: TransactionGate, tenant: TenantId, count: int, connections: Connections) -> int:
    """Return how many of so many transactions begin now; the others wait."""
    began = 0
    for number in range(count):
        gate.enqueue(WaitingTransaction(number, tenant), connections, LONG)
        began += gate.next(connections) is not None
    return began


def test_nothing_is_bounded_while_connections_are_plenty() -> None:
    gate = TransactionGate(OpenTransactions())
    assert opened(gate, LOUD, 2 * MOST, PLENTY) == 2 * MOST


def test_transactions_leave_a_part_of_scarce_connections_to_statements() -> None:
    gate = TransactionGate(OpenTransactions())
    assert opened(gate, LOUD, MOST, SCARCE) == BOUND
    assert gate.has_waiting
    gate.ended(LOUD, 0.2)
    assert gate.next(SCARCE) is not None
    assert gate.next(SCARCE) is None


def test_a_tenant_has_no_more_than_its_part_while_another_waits() -> None:
    """Load: one tenant opens 60 transactions that rest, then another one wants a few."""
    gate = TransactionGate(OpenTransactions())
    opened(gate, LOUD, 60, SCARCE)
    for number in range(100, 104):
        assert gate.enqueue(WaitingTransaction(number, QUIET), SCARCE, LONG) is None
    begun = []
    for _ in range(4):
        gate.ended(LOUD, 0.2)
        begun.append(gate.next(SCARCE))
    assert begun == [100, 101, 102, 103], "before those of the loud one that came earlier"


@pytest.mark.parametrize("seed", range(5))
def test_every_tenant_gets_its_turn_however_much_one_asks_for(seed: int) -> None:
    """Load: one tenant asks ten times as often as each of four others, connections are scarce."""
    numbers = random.Random(seed)
    tenants = [TenantId(f"t{at}") for at in range(5)]
    weights = [10, 1, 1, 1, 1]
    gate = TransactionGate(OpenTransactions())
    begun: Counter[TenantId] = Counter()
    asked: Counter[TenantId] = Counter()
    owners: dict[int, TenantId] = {}
    running: list[TenantId] = []
    for number in range(2_000):
        tenant = numbers.choices(tenants, weights)[0]
        owners[number] = tenant
        asked[tenant] += 1
        gate.enqueue(WaitingTransaction(number, tenant), SCARCE, 10 * LONG)
        if running and numbers.random() < 0.6:
            gate.ended(running.pop(0), 0.2)
        while (started := gate.next(SCARCE)) is not None:
            begun[owners[started]] += 1
            running.append(owners[started])
    assert all(begun[tenant] >= 0.9 * asked[tenant] for tenant in tenants[1:])
    assert gate.open <= BOUND


@pytest.mark.parametrize(
    ("time_left", "refused"),
    [
        pytest.param(10 * ASSUMED_SECONDS, False, id="its turn comes in time"),
        pytest.param(0.5 * ASSUMED_SECONDS / BOUND, True, id="its turn comes too late"),
    ],
)
def test_one_whose_turn_comes_too_late_is_refused_at_once(time_left: float, refused: bool) -> None:
    gate = TransactionGate(OpenTransactions())
    for number in range(BOUND):
        gate.enqueue(WaitingTransaction(number, LOUD), SCARCE, LONG)
        assert gate.next(SCARCE) is not None
    answer = gate.enqueue(WaitingTransaction(900, LOUD), SCARCE, time_left)
    assert isinstance(answer, Refused) == refused
    if answer is not None:
        assert answer.room_in == pytest.approx(ASSUMED_SECONDS / BOUND)
    assert gate.has_waiting != refused


def test_one_that_gives_up_is_not_begun() -> None:
    gate = TransactionGate(OpenTransactions())
    opened(gate, LOUD, BOUND, SCARCE)
    gate.enqueue(WaitingTransaction(800, QUIET), SCARCE, LONG)
    gate.enqueue(WaitingTransaction(801, QUIET), SCARCE, LONG)
    gate.withdraw(800)
    gate.ended(LOUD, 0.1)
    assert gate.next(SCARCE) == 801


def test_the_bound_of_a_node_holds_over_all_databases() -> None:
    node = OpenTransactions()
    first, second = TransactionGate(node), TransactionGate(node)
    wide = Connections(0, 10 * MAX_NODE_TRANSACTIONS)
    assert opened(first, LOUD, MAX_NODE_TRANSACTIONS, wide) == MAX_NODE_TRANSACTIONS
    assert opened(second, QUIET, 1, wide) == 0
    first.ended(LOUD, 0.1)
    assert second.next(wide) is not None


def test_one_connection_still_carries_a_transaction() -> None:
    gate = TransactionGate(OpenTransactions())
    assert opened(gate, QUIET, 3, Connections(1, 1)) == 1


def test_an_absurd_length_does_not_promise_room_in_the_past() -> None:
    gate = TransactionGate(OpenTransactions())
    opened(gate, LOUD, BOUND, SCARCE)
    for _ in range(BOUND):
        gate.ended(LOUD, -5.0)
        opened(gate, LOUD, 1, SCARCE)
    answer = gate.enqueue(WaitingTransaction(900, LOUD), SCARCE, 0.0)
    assert answer is None or answer.room_in >= 0.0
