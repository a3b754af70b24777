"""Kills a node with open transactions and checks that they roll back and free their slots."""

import asyncio
import time
from pathlib import Path
from random import Random

import aiohttp
from pydantic import BaseModel, ConfigDict

from bramblebeam.lab.history.records import FaultInjected, NodeStopped
from bramblebeam.lab.load.client import CallerClient
from bramblebeam.lab.load.session import LoadSession, SessionPlan
from bramblebeam.lab.result import RunResult
from bramblebeam.lab.rows import OPERATOR_TOKEN
from bramblebeam.lab.run import Run, open_run
from bramblebeam.lab.scenario import load_scenario

MAX_TRANSACTION_SECONDS = 600.0
WARMUP_SECONDS = 1.0
SLOTS_TIMEOUT_SECONDS = 20.0
SETTLE_SECONDS = 2.0


class CrashResult(BaseModel):
    """The result of killing a node with open transactions.

    `outcomes`: number of open transactions by the outcome that their callers saw.
    `slots_free_ms`: time from the kill until other callers held all slots in transactions at
    once; None if that did not happen within the timeout.
    """

    model_config = ConfigDict(extra="forbid")

    killed: str
    transactions: int
    outcomes: dict[str, int]
    slots: int
    slots_free_ms: float | None
    run: RunResult


async def run_crash(owner: bool, directory: Path) -> CrashResult:
    """Kill the callers' node, or with `owner` the node that owns the primary's slots."""
    async with open_run(load_scenario("demo"), 1, directory) as run:
        run.settle_seconds = SETTLE_SECONDS
        await run.begin()
        run.start = time.monotonic()
        owner_node = await _slot_owner_of_primary(run)
        others = [node for node in sorted(run.cluster.clients) if node != owner_node]
        killed, entry_node = (owner_node, others[0]) if owner else (others[0], others[0])
        slots = run.scenario.load.services[0].slots
        sessions = [_session(run, f"open-{number}") for number in range(slots)]
        tasks = [
            asyncio.create_task(_write_until_failure(session, run, entry_node))
            for session in sessions
        ]
        await asyncio.sleep(WARMUP_SECONDS)
        killed_at = await _kill(run, killed)
        survivor = next(node for node in others if node != killed)
        free = await _measure_slots_free(run, survivor, slots, killed_at)
        for task in tasks:
            task.cancel()
        outcomes = _count_outcomes(await asyncio.gather(*tasks, return_exceptions=True))
        result = await run.end()
        result.scenario = "crash"
        return CrashResult(
            killed=f"{killed} ({'owner' if owner else 'edge'})",
            transactions=slots,
            outcomes=outcomes,
            slots=slots,
            slots_free_ms=free,
            run=result,
        )


async def _kill(run: Run, node: str) -> float:
    run.cluster.clients.pop(node, None)
    killed_at = time.monotonic()
    run.history.add(FaultInjected(killed_at, "node_kill", node, True))
    process = run.cluster.nodes[node]
    process.kill()
    await process.wait()
    run.history.add(NodeStopped(time.monotonic(), node))
    return killed_at


async def _slot_owner_of_primary(run: Run) -> str:
    group = run.scenario.topology.groups[0].name
    node = sorted(run.cluster.clients)[0]
    url = f"{run.cluster.admin_url(node)}/api/v1/groups/{group}"
    headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
    async with aiohttp.ClientSession(headers=headers) as http, http.get(url) as response:
        body = await response.json()
    return next(
        str(member["owner"]) for member in body["members"] if member["instance"] == body["primary"]
    )


def _session(run: Run, name: str) -> LoadSession:
    service = run.scenario.load.services[0]
    client = CallerClient(name, service.name, service.group, carries_token=True)
    plan = SessionPlan(run.scenario.load.keys, roaming=0.0)
    return LoadSession(client, run.cluster.clients, plan, run.history, Random(name))


async def _write_until_failure(session: LoadSession, run: Run, node: str) -> str:
    """Write in one transaction until a write fails; return that write's outcome and reason."""
    await session.client.connect(node, run.cluster.clients[node])
    await session.client.execute("BEGIN")
    name = f"crash-{session.client.name}"
    end = time.monotonic() + MAX_TRANSACTION_SECONDS
    while time.monotonic() < end:
        _, answer = await session.write_key("k1", transaction=name)
        if not answer.ok:
            return f"{answer.outcome.outcome} {answer.outcome.reason}".strip()
        await asyncio.sleep(0.05)
    return "still open"


def _count_outcomes(results: list[str | BaseException]) -> dict[str, int]:
    counts: dict[str, int] = {}
    for result in results:
        text = result if isinstance(result, str) else "still open"
        counts[text] = counts.get(text, 0) + 1
    return counts


async def _measure_slots_free(run: Run, node: str, slots: int, killed_at: float) -> float | None:
    """Return the time from the kill until all slots are held at once through `node` (ms)."""
    clients = []
    try:
        async with asyncio.timeout(SLOTS_TIMEOUT_SECONDS):
            for number in range(slots):
                client = _session(run, f"after-{number}").client
                clients.append(client)
                await client.connect(node, run.cluster.clients[node])
            await asyncio.gather(*(_hold_slot(client) for client in clients))
            free = time.monotonic() - killed_at
    except TimeoutError:
        return None
    finally:
        for client in clients:
            await client.close()
    return round(free * 1000, 1)


async def _hold_slot(client: CallerClient) -> None:
    answer = await client.execute("BEGIN")
    while not answer.ok:
        await asyncio.sleep(0.05)
        answer = await client.execute("BEGIN")
