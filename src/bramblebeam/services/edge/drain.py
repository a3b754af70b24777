"""What callers may still begin at a node that stops, and when nothing is left to wait for.

| from the stop signal on | a new statement or BEGIN | a statement of an open transaction |
|---|---|---|
| `LAST_ARRIVALS`: it may have been sent before | begins | begins |
| `TRANSACTIONS`: to the first part of `drain_seconds` | refused | begins |
| `ANSWERS`: to the end of `drain_seconds` | refused | refused: the transaction is rolled back |

Whatever has begun is awaited with its whole answer, in each phase.
"""

from __future__ import annotations

import asyncio
from collections.abc import Set
from enum import IntEnum
from typing import Protocol

DRAIN_GRACE_SECONDS = 0.25
"""Seconds for which a stopping node still accepts statements: longer than any caller's latency."""


class DrainPhase(IntEnum):
    """Phases of a planned stop, as in the module's table."""

    SERVING = 0
    LAST_ARRIVALS = 1
    TRANSACTIONS = 2
    ANSWERS = 3


class DrainingCaller(Protocol):
    """The parts of a caller's connection that a drain uses."""

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open."""

    @property
    def answering(self) -> bool:
        """Whether a statement has begun whose answer is not complete."""

    def end_transaction(self) -> None:
        """Roll an open transaction back, unless a statement of it has begun."""


class EdgeDrain:
    """The planned stop of one edge."""

    def __init__(self, callers: Set[DrainingCaller], transaction_seconds: float) -> None:
        self.phase = DrainPhase.SERVING
        self._callers = callers
        self._transaction_seconds = transaction_seconds
        self._awaited: DrainingCaller | None = None
        self._finished = asyncio.Event()

    def admits(self, in_transaction: bool) -> bool:
        """Whether a statement may begin now."""
        return self.phase < (DrainPhase.ANSWERS if in_transaction else DrainPhase.TRANSACTIONS)

    async def run(self) -> None:
        """Go through the phases; return once every statement that began has its answer."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.phase = DrainPhase.LAST_ARRIVALS
        await asyncio.sleep(DRAIN_GRACE_SECONDS)
        self.phase = DrainPhase.TRANSACTIONS
        self.check()
        try:
            async with asyncio.timeout_at(began + self._transaction_seconds):
                await self._finished.wait()
        except TimeoutError:
            self._end_transactions()
            await self._finished.wait()

    def check(self, caller: DrainingCaller | None = None) -> None:
        """Check whether nothing is left to wait for. `caller`: has just got its answer.

        Many callers are refused while one is awaited, so that one is looked at first.
        """
        if self.phase < DrainPhase.TRANSACTIONS or self._finished.is_set():
            return
        if self.phase is DrainPhase.ANSWERS and caller is not None:
            caller.end_transaction()
        if self._awaited is None or not self._awaits(self._awaited):
            self._awaited = next((one for one in self._callers if self._awaits(one)), None)
        if self._awaited is None:
            self._finished.set()

    def _awaits(self, caller: DrainingCaller) -> bool:
        if caller not in self._callers:
            return False
        may_go_on = caller.in_transaction and self.phase is DrainPhase.TRANSACTIONS
        return caller.answering or may_go_on

    def _end_transactions(self) -> None:
        self.phase = DrainPhase.ANSWERS
        for caller in self._callers:
            caller.end_transaction()
        self.check()
