"""Gates that admit new transactions where connections to a database are scarce."""

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
"""How often the connections are counted while a transaction waits. A connection that statements
outside transactions release lets it begin too, and causes no notification."""
_MILLISECONDS = 1_000


class GateAdmission:
    """The admission of a transaction by a gate, which counts until the transaction ends.

    `gate` None: it is not counted.
    """

    def __init__(self, gate: DatabaseGate | None, tenant: TenantId, began: float) -> None:
        self._gate = gate
        self._tenant = tenant
        self._began = began

    def release(self) -> None:
        """Release the admission to another transaction; further calls have no effect."""
        gate, self._gate = self._gate, None
        if gate is not None:
            gate.ended(self._tenant, self._began)


UNGATED = GateAdmission(None, NO_TENANT, 0.0)
"""The admission of a transaction that no gate limits."""


class DatabaseGate:
    """The gate of one database: waiting transactions, and the connections to the database."""

    def __init__(self, context: GatewayContext, pool: DatabasePool, node: OpenTransactions) -> None:
        self.pool = pool
        self._context = context
        self._gate = TransactionGate(node)
        self._turns: dict[int, asyncio.Future[None]] = {}
        self._numbers = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def connections(self) -> Connections:
        """The number of connections that are used or waited for, and their limit."""
        queue = self.pool.slots
        in_use = self.pool.load - (0 if queue is None else queue.waiting)
        return Connections(in_use, self.pool.budget.limit(self._context.now()))

    @property
    def is_unused(self) -> bool:
        """Whether no transaction is open or waiting at this gate."""
        return self._gate.open == 0 and not self._turns

    async def enter(self, request: Request) -> GateAdmission | Refusal:
        """Wait for a transaction's turn; return the refusal if it may not begin."""
        number = next(self._numbers)
        time_left = time_to_hold(self._context, request)
        candidate = WaitingTransaction(number, request.tenant)
        refused = self._gate.enqueue(candidate, self.connections, time_left)
        if refused is not None:
            return self._refuse(request, refused)
        turn = self._turns[number] = asyncio.get_running_loop().create_future()
        self._admit_waiting()
        try:
            async with asyncio.timeout(time_left):
                await turn
        except TimeoutError:
            self._withdraw(number, turn, request)
            return self._refuse(request, Refused(0.0))
        except asyncio.CancelledError:
            self._withdraw(number, turn, request)
            raise
        return GateAdmission(self, request.tenant, self._context.now())

    def ended(self, tenant: TenantId, began: float) -> None:
        """Record the end of a transaction, and admit the next ones."""
        self._gate.ended(tenant, self._context.now() - began)
        self._admit_waiting()

    def _withdraw(self, number: int, turn: asyncio.Future[None], request: Request) -> None:
        """Withdraw a waiting transaction; a turn that has just come goes to another one."""
        if self._turns.pop(number, None) is not None:
            self._gate.withdraw(number)
        elif turn.done():
            self._gate.ended(request.tenant, None)
            self._admit_waiting()

    def _admit_waiting(self) -> None:
        """Admit the transactions whose turn it is."""
        while (number := self._gate.next(self.connections)) is not None:
            turn = self._turns.pop(number)
            if not turn.done():
                turn.set_result(None)
        if self._gate.has_waiting and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(REVIEW_SECONDS, self._on_review_timer)

    def _on_review_timer(self) -> None:
        self._timer = None
        self._admit_waiting()

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
        detail = "open transactions hold the connections"
        return Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, detail, retry_after_ms)


class TransactionGates:
    """The gates of one node, one for each database."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._node = OpenTransactions()
        self._gates: dict[InstanceId, DatabaseGate] = {}

    async def enter(self, request: Request, instance: InstanceId | None) -> GateAdmission | Refusal:
        """Wait for a transaction's turn at a database; return its admission or the refusal.

        `instance` None: the database that will run it is not known yet.
        """
        pool = None if instance is None else self._context.placement.pools.get(instance)
        if pool is None or not self._context.load.enabled:
            return UNGATED
        return await self._gate(pool).enter(request)

    def _gate(self, pool: DatabasePool) -> DatabaseGate:
        self._remove_unused()
        instance = pool.entry.instance
        gate = self._gates.get(instance)
        if gate is None:
            gate = self._gates[instance] = DatabaseGate(self._context, pool, self._node)
        return gate

    def _remove_unused(self) -> None:
        """Remove unused gates of databases that are gone or whose pool was replaced."""
        pools = self._context.placement.pools
        for instance, gate in list(self._gates.items()):
            if gate.is_unused and pools.get(instance) is not gate.pool:
                del self._gates[instance]
