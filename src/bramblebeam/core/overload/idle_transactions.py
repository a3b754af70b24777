"""How many transactions may hold a database's connections while connections are scarce.

It answers callers who rest inside transactions: each holds a connection for seconds in which it
asks for nothing, and what is worth one statement waits for it. While connections are plenty nothing
is bounded. Once they are nearly all lent, a new transaction waits for its turn, or is refused at
once where its turn would come too late. Statements inside open transactions are never held back:
they end what others wait for.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from bramblebeam.core.overload.ports import Refused
from bramblebeam.core.tenants import TenantId

SCARCE_SHARE = 0.9
"""Connections are scarce while so many of those that there may be are in use: the rest is what
statements outside transactions need while another connection is opened."""
MAX_TRANSACTION_SHARE = 0.75
"""So many of a database's connections transactions may hold while connections are scarce: a
statement outside one needs its connection for milliseconds, so that a quarter of them carries most
of what is asked."""
MAX_NODE_TRANSACTIONS = 512
"""Transactions that hold connections of one node at all databases together: each takes a descriptor
on both sides and a few kilobytes, of the thousands that the smallest machines have."""
ASSUMED_SECONDS = 0.5
"""How long a transaction takes, as long as none was seen to end: a few statements with pauses."""
SMOOTHING = 0.2
"""Weight of the latest transaction in the usual length: a few decide it, one does not."""


class Connections(NamedTuple):
    """The connections of one node to one database. `most`: those that there may be."""

    in_use: int
    most: int

    @property
    def are_scarce(self) -> bool:
        """Whether they are nearly all in use."""
        return self.in_use >= SCARCE_SHARE * self.most


class WaitingTransaction(NamedTuple):
    """A transaction that waits for its turn. `number`: the user's ticket."""

    number: int
    tenant: TenantId


class OpenTransactions:
    """The transactions that hold connections of this node, at all databases together."""

    def __init__(self) -> None:
        self.count = 0

    @property
    def is_full(self) -> bool:
        """Whether the node's bound is reached."""
        return self.count >= MAX_NODE_TRANSACTIONS


class TransactionGate:
    """Lets transactions begin at one database. `node`: what they count against at all of them."""

    def __init__(self, node: OpenTransactions) -> None:
        self._node = node
        self._open: Counter[TenantId] = Counter()
        self._waiting: list[WaitingTransaction] = []
        self._usual_seconds = ASSUMED_SECONDS

    @property
    def open(self) -> int:
        """How many transactions are open."""
        return self._open.total()

    @property
    def has_waiting(self) -> bool:
        """Whether a transaction waits for its turn."""
        return bool(self._waiting)

    def enqueue(
        self, asker: WaitingTransaction, connections: Connections, time_left: float
    ) -> Refused | None:
        """Let a transaction wait for its turn, or refuse it as that would come too late.

        It begins once `next` returns its number. `time_left`: for how long it may wait (seconds).
        """
        room_in = self._room_in(asker.tenant, connections)
        if room_in > time_left:
            return Refused(room_in)
        self._waiting.append(asker)
        return None

    def next(self, connections: Connections) -> int | None:
        """Return and count the transaction that begins now; None: none waits that may."""
        tenants = {waiting.tenant for waiting in self._waiting}
        turns = sorted(self._waiting, key=lambda waiting: self._open[waiting.tenant])
        for waiting in turns:
            if self._may_begin(waiting.tenant, tenants, connections):
                self._waiting.remove(waiting)
                self._open[waiting.tenant] += 1
                self._node.count += 1
                return waiting.number
        return None

    def withdraw(self, number: int) -> None:
        """Forget one that waits, as its caller has left or its time is over."""
        self._waiting = [waiting for waiting in self._waiting if waiting.number != number]

    def ended(self, tenant: TenantId, seconds: float | None) -> None:
        """One that began has ended, after so many seconds; None: it was given up as it began."""
        self._open[tenant] -= 1
        if self._open[tenant] <= 0:
            del self._open[tenant]
        self._node.count -= 1
        if seconds is not None:
            self._usual_seconds += SMOOTHING * (max(0.0, seconds) - self._usual_seconds)

    def _may_begin(
        self, tenant: TenantId, waiting: set[TenantId], connections: Connections
    ) -> bool:
        if self._node.is_full:
            return False
        if not connections.are_scarce:
            return True
        bound = _bound(connections)
        if self.open >= bound:
            return False
        return self._open[tenant] < self._tenant_bound(tenant, waiting, bound)

    def _tenant_bound(self, tenant: TenantId, waiting: set[TenantId], bound: int) -> int:
        """Return how many a tenant may have: all of them, or its even part while others wait."""
        others_wait = bool(waiting - {tenant})
        if not others_wait:
            return bound
        sharers = len(self._open.keys() | waiting | {tenant})
        return max(1, bound // sharers)

    def _room_in(self, tenant: TenantId, connections: Connections) -> float:
        """Return after how long a transaction that comes now would begin (seconds).

        Those that are open end evenly over a transaction's usual length.
        """
        tenants = {waiting.tenant for waiting in self._waiting} | {tenant}
        if self._may_begin(tenant, tenants, connections):
            return 0.0
        ahead = 1 + sum(self._open[found.tenant] <= self._open[tenant] for found in self._waiting)
        return ahead * self._usual_seconds / max(1, self.open)


def _bound(connections: Connections) -> int:
    """Return how many transactions may be open while connections are scarce, at least one."""
    return max(1, int(MAX_TRANSACTION_SHARE * connections.most))
