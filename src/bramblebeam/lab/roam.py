"""Runs a session that moves to another node after each write while a replica lags."""

import time
from collections import Counter
from pathlib import Path
from random import Random

from bramblebeam.lab.history import History
from bramblebeam.lab.history.records import RequestAnswered
from bramblebeam.lab.load.client import CallerClient
from bramblebeam.lab.load.session import LoadSession, SessionPlan
from bramblebeam.lab.result import Errors, RunResult
from bramblebeam.lab.run import Run, open_run
from bramblebeam.lab.scenario import load_scenario

SETTLE_SECONDS = 1.0


async def run_roaming(
    moves: int, lag_ms: int, with_token: bool, mutation: str, directory: Path
) -> RunResult:
    """Write, move and read `moves` times in one session; check that each read saw the write.

    `lag_ms`: replication lag of one replica. `with_token`: the session sends its causal token.
    """
    async with open_run(load_scenario("demo"), 1, directory, mutation) as run:
        run.settle_seconds = SETTLE_SECONDS
        await run.begin()
        lagging = await _lagging_replica(run)
        await run.control.fault_database(lagging, lag_ms=lag_ms)
        run.start = time.monotonic()
        session = await _roam(run, moves, with_token)
        await run.control.fault_database(lagging, lag_ms=0)
        result = await run.end()
        result.scenario = "roaming"
        result.moves = session.moves
        result.statements = 2 * moves
        result.errors, result.reasons = _errors(run.history)
        result.duration_seconds = round(time.monotonic() - run.start, 1)
        return result


def _errors(history: History) -> tuple[Errors, dict[str, int]]:
    answers = history.of(RequestAnswered)
    outcomes = Counter(answer.outcome for answer in answers)
    reasons = Counter(answer.reason for answer in answers if answer.outcome != "ok")
    errors = Errors(
        not_run=outcomes["not_run"],
        ran=outcomes["ran"],
        unknown=outcomes["unknown"],
        lost=outcomes["lost"],
    )
    return errors, dict(reasons)


async def _lagging_replica(run: Run) -> str:
    group = run.scenario.topology.groups[0]
    primary = await run.control.primary_of(group.name)
    return next(member.instance for member in group.members if member.instance != primary)


async def _roam(run: Run, moves: int, with_token: bool) -> LoadSession:
    service = run.scenario.load.services[0]
    client = CallerClient("roamer", service.name, service.group, carries_token=with_token)
    plan = SessionPlan(run.scenario.load.keys, roaming=0.0)
    session = LoadSession(client, run.cluster.clients, plan, run.history, Random(1))
    nodes = sorted(run.cluster.clients)
    await session.move_to(nodes[0])
    for step in range(1, moves + 1):
        key = f"k{step % plan.keys}"
        await session.write_key(key)
        await session.move_to(nodes[step % len(nodes)])
        await session.read_key(key)
    await client.close()
    return session
