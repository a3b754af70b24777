"""New transactions wait for their turn where connections to a database are scarce."""

from __future__ import annotations

import asyncio
import itertools
import logging
from typing import TYPE_CHECKING

from bramblebeam.core.identity import InstanceId
from bramblebeam.core.overload.admission import RefusalCause
from bramblebeam.core.overload.idle_transactions import (
    Connections,
    OpenTransactions,
    TransactionGate,
    WaitingTransaction,
)
from bramblebeam.core.overload.ports import Refused
from bramblebeam.core.tenants import NO_TENANT, TenantId
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import TRANSACTION_REFUSED
from bramblebeam.services.gateway.lending import time_to_hold
from bramblebeam.services.gateway.pool import DatabasePool
from bramblebeam.services.gateway.request import Request

if TYPE_CHECKING:
    from bramblebeam.services.gateway.context import GatewayContext

logger = logging.getLogger(__name__)

REVIEW_SECONDS = 0.05
"""While a transaction waits, connections are counted so often: what statements outside transactions
give back lets it begin too, and nobody is told of that."""
_MILLISECONDS = 1_000


class Admitted:
    """The place of a transaction that may begin. It counts until its end.

    `gate` None: it is counted nowhere.
    """

    def __init__(self, gate: DatabaseGate | None, tenant: TenantId, began: float) -> None:
        self._gate = gate
        self._tenant = tenant
        self._began = began

    def end(self) -> None:
        """Give the place to another one; a second time changes nothing."""
        gate, self._gate = self._gate, None
        if gate is not None:
            gate.ended(self._tenant, self._began)


NO_PLACE = Admitted(None, NO_TENANT, 0.0)
"""Of a transaction that nothing bounds."""


class DatabaseGate:
    """Before one database: who waits for the turn of a transaction, and the connections there."""

    def __init__(self, context: GatewayContext, pool: DatabasePool, node: OpenTransactions) -> None:
        self.pool = pool
        self._context = context
        self._gate = TransactionGate(node)
        self._turns: dict[int, asyncio.Future[None]] = {}
        self._numbers = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def connections(self) -> Connections:
        """Return how many connections are used or waited for, and how many there may be."""
        queue = self.pool.slots
        in_use = self.pool.load - (0 if queue is None else queue.waiting)
        return Connections(in_use, self.pool.budget.limit(self._context.now()))

    @property
    def is_unused(self) -> bool:
        """Whether no transaction is open or waits here."""
        return self._gate.open == 0 and not self._turns

    async def enter(self, request: Request) -> Admitted | Refusal:
        """Wait for the turn of a transaction; return why it may not begin."""
        number = next(self._numbers)
        time_left = time_to_hold(self._context, request)
        asker = WaitingTransaction(number, request.tenant)
        refused = self._gate.enqueue(asker, self.connections, time_left)
        if refused is not None:
            return self._refuse(request, refused)
        turn = self._turns[number] = asyncio.get_running_loop().create_future()
        self._review()
        try:
            async with asyncio.timeout(time_left):
                await turn
        except TimeoutError:
            self._give_up(number, turn, request)
            return self._refuse(request, Refused(0.0))
        except asyncio.CancelledError:
            self._give_up(number, turn, request)
            raise
        return Admitted(self, request.tenant, self._context.now())

    def ended(self, tenant: TenantId, began: float) -> None:
        """A transaction has ended: the next ones may begin."""
        self._gate.ended(tenant, self._context.now() - began)
        self._review()

    def _give_up(self, number: int, turn: asyncio.Future[None], request: Request) -> None:
        """Withdraw one that waits; a turn that came at the same moment goes to another one."""
        if self._turns.pop(number, None) is not None:
            self._gate.withdraw(number)
        elif turn.done():
            self._gate.ended(request.tenant, None)
            self._review()

    def _review(self) -> None:
        """Let those begin whose turn it is."""
        while (number := self._gate.next(self.connections)) is not None:
            turn = self._turns.pop(number)
            if not turn.done():
                turn.set_result(None)
        if self._gate.has_waiting and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(REVIEW_SECONDS, self._review_again)

    def _review_again(self) -> None:
        self._timer = None
        self._review()

    def _refuse(self, request: Request, refused: Refused) -> Refusal:
        connections = self.connections
        retry_after_ms = self._context.load.schedule_retry(request, refused.room_in)
        self._context.metrics.refused_early(RefusalCause.TRANSACTIONS)
        log_event(
            logger,
            TRANSACTION_REFUSED,
            request=request.identifier,
            instance=self.pool.entry.instance,
            open=self._gate.open,
            in_use=connections.in_use,
            most=connections.most,
            retry_after_ms=retry_after_ms,
        )
        detail = "transactions hold the connections"
        return Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, detail, retry_after_ms)


class TransactionGates:
    """The gates of one node, before each database."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._node = OpenTransactions()
        self._gates: dict[InstanceId, DatabaseGate] = {}

    async def enter(self, request: Request, instance: InstanceId | None) -> Admitted | Refusal:
        """Wait for a transaction's turn at a database; return its place, or why it has none.

        `instance` None: where it will run is not known yet.
        """
        pool = None if instance is None else self._context.placement.pools.get(instance)
        if pool is None or not self._context.load.enabled:
            return NO_PLACE
        return await self._gate(pool).enter(request)

    def _gate(self, pool: DatabasePool) -> DatabaseGate:
        self._forget_unused()
        instance = pool.entry.instance
        gate = self._gates.get(instance)
        if gate is None:
            gate = self._gates[instance] = DatabaseGate(self._context, pool, self._node)
        return gate

    def _forget_unused(self) -> None:
        """Forget gates before databases that are gone, or whose connections are others now."""
        pools = self._context.placement.pools
        for instance, gate in list(self._gates.items()):
            if gate.is_unused and pools.get(instance) is not gate.pool:
                del self._gates[instance]
