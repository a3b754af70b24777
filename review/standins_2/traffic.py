"""Callers' sessions over a deployment, the record of a run, and the check of session state."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable
from pathlib import Path

from databases import Run
from deployment import CannotRunError, Client, Deployment, Node

KINDS = ("handset", "dispatch", "tracking", "")
"""The value that a session sets; sessions without one set none."""
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


async def session(
    running: Deployment, node: Node, number: int, host: str, ends: float, chosen: random.Random
) -> None:
    """Run one caller's single statements, in sessions with a value and two prepared names."""
    client = Client(f"u{number}", running.answers)
    while time.monotonic() < ends:
        if not client.open:
            if not await client.start(node, host):
                await asyncio.sleep(0.1)
                continue
            kind = KINDS[number % len(KINDS)]
            settings = [f"SET app {kind}"] if kind else []
            for text in (*settings, "PREPARE r READ q1", "PREPARE w WRITE q1"):
                await client.run(text)
        thing = f"t{chosen.randrange(200)}"
        texts = [f"READ {thing}", f"EXEC r {thing}"]
        if host != "lookup" and chosen.random() < 0.3:
            texts = [f"WRITE {thing} v{number}", f"EXEC w {thing} v{number}"]
        answer = await client.run(chosen.choice(texts))
        if answer.code == "lost" or answer.state != "I":
            client.close()
        await asyncio.sleep(chosen.uniform(0.01, 0.06))
    client.close()


def runs_by_identifier(running: Deployment) -> dict[str, list[Run]]:
    found: dict[str, list[Run]] = defaultdict(list)
    for run in running.service.runs:
        found[run.identifier].append(run)
    return found


def write_record(running: Deployment, folder: Path, began: float, findings: list[str]) -> None:
    """Write what was sent, answered and run, in the order of time (seconds from the start)."""
    lines: list[tuple[float, str]] = list(running.service.notes)
    for answer in running.answers:
        lines.append((answer.sent, f"sent {answer.identifier} {answer.text} {answer.values}"))
        got = answer.code or f"DONE {answer.signature}"
        rows = " ".join(answer.rows)
        lines.append((answer.answered, f"answered {answer.identifier} {got} {answer.state} {rows}"))
    for run in running.service.runs:
        where = f"{run.database} connection {run.connection} transaction {run.transaction}"
        lines.append((run.time, f"run {run.identifier} {run.text} at {where}, {run.values}"))
    for done in running.service.commits:
        text = f"committed {done.identifier} at {done.database} as {done.term}.{done.number}"
        lines.append((done.time, text))
    for at, holder, token, target, status in running.platform.orders:
        lines.append((at, f"promotion of {target} by {holder}, token {token}: {status}"))
    text = "".join(f"{at - began:9.4f} {line}\n" for at, line in sorted(lines))
    (folder / "record.txt").write_text("".join(f"{line}\n" for line in findings) + text)


def foreign_values(running: Deployment) -> list[str]:
    """Return the statements that ran with other values than those acknowledged to their client."""
    runs = runs_by_identifier(running)
    return [
        f"PINNED: {answer.identifier} {answer.text}, answered {answer.code or 'DONE'}: its session "
        f"has {answer.values}, it ran at {run.database} with {run.values}"
        for answer in running.answers
        for run in runs.get(answer.identifier, [])
        if run.values != answer.values
    ]


def lost_names(running: Deployment) -> list[str]:
    """Return the statements whose prepared name was unknown although it was acknowledged."""
    return [
        f"PINNED: {answer.identifier} {answer.text} got NOSTMT, its PREPARE was acknowledged"
        for answer in running.answers
        if answer.code == "NOSTMT"
    ]


def in_transactions(running: Deployment) -> list[str]:
    """Return the acknowledged single writes that ran in a transaction that was open already."""
    runs = runs_by_identifier(running)
    committed = {done.identifier for done in running.service.commits}
    return [
        f"PINNED: {answer.identifier} {answer.text}, answered DONE {answer.signature}: it ran at "
        f"{run.database} in transaction {run.transaction}, which its client has not begun; "
        f"{'it was committed' if answer.identifier in committed else 'it was never committed'}"
        for answer in running.answers
        if not answer.code
        for run in runs.get(answer.identifier, [])
        if run.transaction and run.text.startswith("WRITE")
    ]


Case = Callable[[bool], Awaitable[list[str]]]


async def _until_terminated(run: Awaitable[list[str]]) -> list[str]:
    """Run a case; SIGTERM cancels it, so that it ends its processes first."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run


def run_case(case: Case) -> int:
    """Run a case; print its findings and return the exit code."""
    try:
        findings = asyncio.run(_until_terminated(case(os.environ.get("TROUBLE") != "0")))
    except (CannotRunError, OSError, asyncio.CancelledError) as error:
        print(f"the case can't run: {error}", file=sys.stderr)
        return CANNOT_RUN
    print(f"{len(findings)} statements break the rule" if findings else "the rule held")
    for line in findings[:5]:
        print(line)
    return BROKEN if findings else HELD


def all_answers(running: Deployment) -> dict[str, int]:
    """Return how many answers had each code."""
    counts: dict[str, int] = defaultdict(int)
    for answer in running.answers:
        counts[answer.code or "DONE"] += 1
    return dict(counts)
