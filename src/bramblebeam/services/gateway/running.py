"""The statements in progress at a node: where each one is, and how it ends without its answer."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum

from bramblebeam.core.gateway.statements import Action
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.gateway.request import Request


class Stage(Enum):
    """Where a statement is. The value is logged."""

    WAITING = "waiting"
    """Neither a database nor another node has received it."""
    PASSED_ON = "passed on"
    """Another node has received it; it may have passed it to a database."""
    AT_DATABASE = "at a database"


class RunningStatement:
    """A statement in progress. `request`: None until it is created.

    `arrived`: monotonic clock, seconds. `keeps_nothing`: it is the COMMIT of a transaction that
    wrote nothing. `ended_for`: why it was ended; None: it was not.
    """

    def __init__(self, identifier: str, action: Action, arrived: float) -> None:
        self.identifier = identifier
        self.action = action
        self.arrived = arrived
        self.request: Request | None = None
        self.keeps_nothing = False
        self.ended_for: Reason | None = None
        self._task = asyncio.current_task()

    @property
    def stage(self) -> Stage:
        """Where the statement is."""
        if self.request is None:
            return Stage.WAITING
        if self.request.at_database:
            return Stage.AT_DATABASE
        return Stage.PASSED_ON if self.request.passed_on else Stage.WAITING

    @property
    def reached_no_database(self) -> bool:
        """Whether no database can have run any part of it."""
        return self.request is None or self.request.account.surely_not_run

    def end(self, reason: Reason) -> None:
        """Cancel the statement; `refusal` tells then whether it may have run."""
        self.ended_for = reason
        assert self._task is not None
        self._task.cancel()

    def refusal(self) -> Refusal:
        """Return the final outcome of a statement that was ended, and go on with its task."""
        assert self._task is not None and self.ended_for is not None
        self._task.uncancel()
        is_sure = self.keeps_nothing or self.stage is Stage.WAITING
        verdict = Verdict.NOT_RUN if is_sure else Verdict.UNKNOWN
        return Refusal(verdict, self.ended_for)


class RunningStatements:
    """The statements in progress, of callers or for other nodes."""

    def __init__(self) -> None:
        self._running: set[RunningStatement] = set()

    def __len__(self) -> int:
        return len(self._running)

    @contextmanager
    def track(self, statement: RunningStatement) -> Iterator[None]:
        """Keep a statement for as long as it is in progress."""
        self._running.add(statement)
        try:
            yield
        finally:
            self._running.discard(statement)

    def stages(self) -> Counter[Stage]:
        """Return the number of statements by stage."""
        return Counter(statement.stage for statement in self._running)

    def refuse_waiting(self) -> None:
        """End the statements that were not passed on; others wait for no further attempt."""
        for statement in list(self._running):
            if statement.request is not None:
                statement.request.may_not_repeat = True
            if statement.stage is Stage.WAITING and statement.ended_for is None:
                statement.end(Reason.STOPPING)

    def end_all(self) -> None:
        """End every statement."""
        for statement in list(self._running):
            if statement.ended_for is None:
                statement.end(Reason.STOPPING)
