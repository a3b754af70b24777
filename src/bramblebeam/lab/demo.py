"""The demo: a load with faults on real processes, checked and reported."""

import asyncio
import tempfile
import time
from pathlib import Path
from random import Random

from bramblebeam.lab.load.client import CallerClient
from bramblebeam.lab.load.session import LoadSession, SessionPlan
from bramblebeam.lab.processes import ProcessStartError
from bramblebeam.lab.result import RunResult
from bramblebeam.lab.run import Run, open_run
from bramblebeam.lab.scenario import load_scenario
from bramblebeam.lab.setup import SetupError
from bramblebeam.pages.text import format_number, format_percentage

SEED = 1
SETTLE_SECONDS = 3.0
EDIT_DELAY_SECONDS = 4.0
MOVES = 20
FAILED = 1
EDITED_INSTANCE = "deliveries-c"


async def run_demo() -> int:
    """Run the demo; return the exit code (0: no violations)."""
    started = time.monotonic()
    with tempfile.TemporaryDirectory() as directory:
        try:
            async with open_run(load_scenario("demo"), SEED, Path(directory)) as run:
                result = await _run_steps(run)
        except (ProcessStartError, SetupError) as error:
            print(f"failed: {error}")
            return FAILED
    _report(result, time.monotonic() - started)
    return FAILED if result.violated else 0


async def _run_steps(run: Run) -> RunResult:
    run.settle_seconds = SETTLE_SECONDS
    print("starting the simulated platform, a group of three databases and three nodes …")
    await run.begin()
    print(f"ready: {', '.join(sorted(run.cluster.clients))}; running the load …")
    load = asyncio.create_task(run.offer_load())
    moved = await _move_session(run)
    print(f"session moves with a write before and an answered read after: {moved}")
    await asyncio.sleep(max(0.0, run.start + EDIT_DELAY_SECONDS - time.monotonic()))
    await _edit_row(run)
    await load
    print("load, primary kill and planned node stop are done; checking the history …")
    return await run.end()


async def _move_session(run: Run) -> int:
    """Write at one node and read at another; return the number of answered reads.

    Whether each read saw the write is checked later, from the history.
    """
    service = run.scenario.load.services[0]
    client = CallerClient("mover", service.name, service.group, carries_token=False)
    plan = SessionPlan(run.scenario.load.keys, roaming=0.0)
    session = LoadSession(client, run.cluster.clients, plan, run.history, Random(SEED))
    nodes = sorted(run.cluster.clients)
    await session.move_to(nodes[0])
    answered = 0
    for step in range(1, MOVES + 1):
        key = f"k{step % plan.keys}"
        await session.write_key(key)
        await session.move_to(nodes[step % len(nodes)])
        _, answer = await session.read_key(key)
        answered += answer.ok
    await client.close()
    return answered


async def _edit_row(run: Run) -> None:
    version = await run.operators.edit(
        "weight", EDITED_INSTANCE, lambda spec: {**spec, "read_weight": 50}
    )
    print(f"weight row of {EDITED_INSTANCE} edited, version {version}")


def _report(result: RunResult, seconds: float) -> None:
    print()
    print(f"{result.statements} statements, {result.moves} moves of sessions between nodes")
    print(f"reads served by replicas   {format_percentage(result.replica_read_share)}")
    gaps = ", ".join(f"{gap:.0f}" for gap in result.failover_gap_ms)
    print(f"failover gap               {gaps or 'none measured'} ms")
    print(f"edit in force everywhere   {format_number(result.config_in_force_ms.max)} ms")
    print(f"latency p50, p99           {format_number(result.latency_ms.p50)}, ", end="")
    print(f"{format_number(result.latency_ms.p99)} ms")
    errors = result.errors
    print(f"errors                     {errors.not_run} not run, {errors.ran} ran, ", end="")
    print(f"{errors.unknown} may have run, {errors.lost} connections lost")
    print()
    print(f"{'invariant':44}{'observations':>14}{'violations':>12}")
    for name, count in result.invariant_violations.items():
        print(f"{name:44}{result.examined.get(name, 0):>14}{count:>12}")
    for violation in result.violations:
        print(f"  {violation}")
    verdict = "no violations" if not result.violated else "VIOLATED"
    print(f"\n{verdict}; {seconds:.0f} s")
