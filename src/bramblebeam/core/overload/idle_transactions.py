"""Limits how many transactions may hold a database's connections while connections are scarce.

This guards against callers that are idle in transaction: each holds a connection for seconds
without using it, while statements that need it only briefly wait. While connections are plentiful
nothing is limited. Once nearly all are checked out, a new transaction waits for its turn, or is
refused immediately if its turn would come too late. Statements of open transactions are never held
back: they end transactions that others wait for.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from bramblebeam.core.overload.ports import Refused
from bramblebeam.core.tenants import TenantId

SCARCE_SHARE = 0.9
"""Connections are scarce while at least this part of the maximum is in use: statements outside
transactions use the rest while another connection is opened."""
MAX_TRANSACTION_SHARE = 0.75
"""Part of a database's connections that transactions may hold while connections are scarce. A
statement outside a transaction needs its connection for milliseconds, so that a quarter of them
carries most of the load."""
MAX_NODE_TRANSACTIONS = 512
"""Transactions that may hold connections of one node, over all databases: each takes a file
descriptor on both sides and a few kilobytes, out of the thousands that the smallest machines
have."""
ASSUMED_SECONDS = 0.5
"""Assumed duration of a transaction until one has ended (seconds): a few statements with pauses."""
SMOOTHING = 0.2
"""Weight of the latest transaction in the typical duration: a few determine it, one does not."""


class Connections(NamedTuple):
    """Connections of one node to one database: in use, and the maximum (`most`)."""

    in_use: int
    most: int

    @property
    def are_scarce(self) -> bool:
        """Whether they are nearly all in use."""
        return self.in_use >= SCARCE_SHARE * self.most


class WaitingTransaction(NamedTuple):
    """A transaction that waits for its turn. `number`: the caller's ticket."""

    number: int
    tenant: TenantId


class OpenTransactions:
    """Counts the transactions that hold connections of this node, over all databases."""

    def __init__(self) -> None:
        self.count = 0

    @property
    def is_full(self) -> bool:
        """Whether the node's limit is reached."""
        return self.count >= MAX_NODE_TRANSACTIONS


class TransactionGate:
    """Admits transactions to one database. `node`: the counter shared by all databases."""

    def __init__(self, node: OpenTransactions) -> None:
        self._node = node
        self._open: Counter[TenantId] = Counter()
        self._waiting: list[WaitingTransaction] = []
        self._typical_seconds = ASSUMED_SECONDS

    @property
    def open(self) -> int:
        """Number of open transactions."""
        return self._open.total()

    @property
    def has_waiting(self) -> bool:
        """Whether a transaction waits for its turn."""
        return bool(self._waiting)

    def enqueue(
        self, transaction: WaitingTransaction, connections: Connections, time_left: float
    ) -> Refused | None:
        """Queue a transaction, or refuse it if its turn would come too late.

        It begins once `next` returns its number. `time_left`: how long it may wait (seconds).
        """
        wait = self._expected_wait(transaction.tenant, connections)
        if wait > time_left:
            return Refused(wait)
        self._waiting.append(transaction)
        return None

    def next(self, connections: Connections) -> int | None:
        """Return the number of the transaction that begins now, or None if none may begin.

        It is counted as open from now on.
        """
        tenants = {waiting.tenant for waiting in self._waiting}
        candidates = sorted(self._waiting, key=lambda waiting: self._open[waiting.tenant])
        for waiting in candidates:
            if self._may_begin(waiting.tenant, tenants, connections):
                self._waiting.remove(waiting)
                self._open[waiting.tenant] += 1
                self._node.count += 1
                return waiting.number
        return None

    def withdraw(self, number: int) -> None:
        """Remove a waiting transaction whose caller has left or whose time is over."""
        self._waiting = [waiting for waiting in self._waiting if waiting.number != number]

    def ended(self, tenant: TenantId, seconds: float | None) -> None:
        """Record the end of a transaction after `seconds`; None if it was abandoned as it began."""
        self._open[tenant] -= 1
        if self._open[tenant] <= 0:
            del self._open[tenant]
        self._node.count -= 1
        if seconds is not None:
            self._typical_seconds += SMOOTHING * (max(0.0, seconds) - self._typical_seconds)

    def _may_begin(
        self, tenant: TenantId, waiting: set[TenantId], connections: Connections
    ) -> bool:
        if self._node.is_full:
            return False
        if not connections.are_scarce:
            return True
        bound = _max_open(connections)
        if self.open >= bound:
            return False
        return self._open[tenant] < self._max_open_of_tenant(tenant, waiting, bound)

    def _max_open_of_tenant(self, tenant: TenantId, waiting: set[TenantId], bound: int) -> int:
        """Return how many transactions a tenant may have open: an equal share while others wait."""
        others_wait = bool(waiting - {tenant})
        if not others_wait:
            return bound
        sharing_tenants = len(self._open.keys() | waiting | {tenant})
        return max(1, bound // sharing_tenants)

    def _expected_wait(self, tenant: TenantId, connections: Connections) -> float:
        """Return after how long a transaction that arrives now would begin (seconds).

        Open transactions are assumed to end evenly over the typical duration.
        """
        tenants = {waiting.tenant for waiting in self._waiting} | {tenant}
        if self._may_begin(tenant, tenants, connections):
            return 0.0
        ahead = 1 + sum(
            self._open[waiting.tenant] <= self._open[tenant] for waiting in self._waiting
        )
        return ahead * self._typical_seconds / max(1, self.open)


def _max_open(connections: Connections) -> int:
    """Return how many transactions may be open while connections are scarce, at least one."""
    return max(1, int(MAX_TRANSACTION_SHARE * connections.most))
