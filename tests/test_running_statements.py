"""Statements in progress: what ends which of them, and what their callers are told."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from bramblebeam.core.gateway.statements import Action
from bramblebeam.core.verdict import Reason, Verdict
from bramblebeam.services.gateway.running import RunningStatement, RunningStatements


def request(at_database: bool, passed_on: bool) -> Any:
    return SimpleNamespace(at_database=at_database, passed_on=passed_on, may_not_repeat=False)


WAITING = request(at_database=False, passed_on=False)
PASSED_ON = request(at_database=False, passed_on=True)
AT_DATABASE = request(at_database=True, passed_on=False)


class Play:
    """One statement in a task, with what it is told if it is ended."""

    def __init__(self, statements: RunningStatements, place: Any) -> None:
        self.place = place
        self.verdict: Verdict | None = None
        self.is_clean = False
        self._statements = statements
        self.task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        statement = RunningStatement("id", Action.WRITE, 0.0)
        statement.request = self.place
        try:
            with self._statements.track(statement):
                await asyncio.Event().wait()
        except asyncio.CancelledError:
            if statement.ended_for is None:
                raise
            refusal = statement.refusal()
            assert refusal.reason is Reason.STOPPING
            self.verdict = refusal.verdict
            await asyncio.sleep(0)
            self.is_clean = not self.task.cancelling()


@pytest.mark.parametrize(
    ("place", "refused", "expired"),
    [
        (WAITING, Verdict.NOT_RUN, Verdict.NOT_RUN),
        (PASSED_ON, None, Verdict.UNKNOWN),
        (AT_DATABASE, None, Verdict.UNKNOWN),
    ],
    ids=["waiting", "passed on", "at a database"],
)
async def test_what_waits_is_refused_and_the_rest_gets_a_verdict_in_the_end(
    place: Any, refused: Verdict | None, expired: Verdict
) -> None:
    statements = RunningStatements()
    play = Play(statements, place)
    await asyncio.sleep(0)
    statements.refuse_waiting()
    for _ in range(3):
        await asyncio.sleep(0)
    assert play.verdict is refused
    assert place.may_not_repeat
    statements.end_all()
    await play.task
    assert play.verdict is expired
    assert play.is_clean
    assert len(statements) == 0
