"""One run of the process soak: deployment by seed, callers, faults and checks."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import shutil
import signal
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Coroutine, Iterable, Iterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

from platform_standins.records import RunRecord
from platform_standins.world import WAIT_TIMEOUT
from soak.change_faults import CHANGE_FAULTS
from soak.config_probe import ConfigurationProbe, answer_to_start
from soak.copy_faults import COPY_FAULTS
from soak.deployment import DeployedNode, Deployment, Size, deployment
from soak.faults import play
from soak.history import NO_ANSWER, Attempt, History, Statement
from soak.holding_callers import HoldingCaller
from soak.judge import Violation
from soak.node_process import GRACE_SECONDS
from soak.process_faults import FAULTS, PLANNED, RESTORES
from soak.run import (
    FEW_CONNECTIONS,
    MANY_CONNECTIONS,
    ROUTES,
    SESSIONS,
    Callers,
    call_during,
    judge,
    make_callers,
    served_again,
)
from soak.stop_faults import STOP_FAULTS
from soak.stop_judge import Stalls, StopRecords, judge_stops
from soak.tenants import LIMITS, TENANT_FAULTS, HotCallers, limit_summary, run_hot_callers_during
from soak.tenants import problems as limit_problems

NODES = (3, 4, 5)
"""Numbers of nodes that a seed chooses from."""
AT_ONCE = (2, 3, 4)
"""Numbers of parallel fault sequences that a seed chooses from."""
LASTS = (0.1, 4.0)
"""Minimum and maximum duration of a fault (seconds)."""
LAGS = (0.0, 0.005, 0.05)
"""Replication lags (seconds); an unplanned change of primary loses what the new one lacks."""
PLANNED_SHARE = 0.2
"""Share of the seeds that play only planned work."""
PROMOTION_SECONDS = (0.0, 0.3)
"""Delays until an ordered promotion takes effect (seconds; documented: some hundred ms)."""
STOPS_AT_ONCE = (1, 2)
"""Numbers of parallel sequences of planned stops that a seed chooses from."""
TIMEOUTS = (1.0, 2.5)
"""Timeouts of the routes beside planned stops (seconds)."""
WORK_SECONDS = ((0.002, 0.02), (0.01, 0.08))
"""Minimum and maximum times that databases work on a statement beside planned stops (seconds)."""
HOLDERS = (16, 32)
"""Numbers of callers that hold their sessions beside planned stops."""
POLL_SECONDS = 0.1
"""Polling interval for unexpected exits and for configuration changes (seconds)."""
FORBIDDEN_EVENTS = {
    1004: "a service failed",
    1005: "a service failed too often",
    1006: "a service failed while it was being closed",
    1008: "a service failed to drain",
    1329: "two databases led one term",
}
"""Events that must not be logged, whatever the faults."""


class ProcessReport(NamedTuple):
    """Result of a run. `problems`: failures other than violations by single attempts.

    `figures`: counts that are no failures.
    """

    seed: int
    kind: str
    faults: list[str]
    attempts: int
    succeeded: int
    promotions: int
    process_starts: int
    violations: list[Violation]
    problems: list[str]
    figures: str = ""

    @property
    def failed(self) -> bool:
        """Whether the run failed."""
        return bool(self.violations or self.problems)


class Plan(NamedTuple):
    """Parameters of a run, chosen by its seed."""

    size: Size
    deposes: bool
    sync_replicas: int
    promotion_seconds: float
    lag: float
    planned: bool
    at_once: int

    @property
    def kind(self) -> str:
        """Return a one-line description of the plan."""
        return (
            f"{self.size.nodes} nodes, {self.size.connections} connections, "
            f"{'deposes' if self.deposes else 'does not depose'}, sync {self.sync_replicas}, "
            f"lag {self.lag}, {self.at_once} at once{', planned work only' if self.planned else ''}"
        )


def plan_of(rng: random.Random, nodes: int = 0) -> Plan:
    """Return the plan that `rng` yields. `nodes`: overrides the number of nodes unless 0."""
    chosen = rng.choice(NODES)
    size = Size(nodes or chosen, rng.choice((FEW_CONNECTIONS, MANY_CONNECTIONS)))
    return Plan(
        size,
        deposes=rng.random() < 0.5,
        sync_replicas=rng.choice((0, 1)),
        promotion_seconds=rng.choice(PROMOTION_SECONDS),
        lag=rng.choice(LAGS),
        planned=rng.random() < PLANNED_SHARE,
        at_once=rng.choice(AT_ONCE),
    )


async def run(
    seed: int,
    seconds: float,
    keep: Path | None = None,
    nodes: int = 0,
    sessions: int = SESSIONS,
    only: Sequence[str] = (),
    restores: bool = False,
    tenants: bool = False,
    stops: bool = False,
) -> ProcessReport:
    """Play one seed.

    `keep`: folder for the logs of a failed run. `only`: names of the faults to choose from.
    `restores`: also restore the store from copies. `tenants`: callers have API keys, and one
    tenant sends far more than its limit. `stops`: planned stops of nodes, under callers that hold
    their sessions open.

    Raises KeyError for an unknown fault name.
    """
    plan = plan_of(_choices(seed, "plan"), nodes)
    faults = PLANNED if plan.planned else FAULTS
    if only:
        plan = plan._replace(planned=set(only) <= set(PLANNED))
        known = {**FAULTS, **RESTORES, **CHANGE_FAULTS, **COPY_FAULTS, **STOP_FAULTS}
        faults = {name: known[name] for name in only}
    if set(only) & set(COPY_FAULTS):
        # Two of them at once would leave no member that runs.
        plan = plan._replace(sync_replicas=1, at_once=1)
    if restores:
        plan = plan._replace(planned=False)
    chosen = _choices(seed, "stops")
    if stops:
        faults = {name: STOP_FAULTS[name] for name in only} if only else STOP_FAULTS
        # The rule's own check takes the place of the one of all planned work.
        plan = plan._replace(planned=False, at_once=chosen.choice(STOPS_AT_ONCE))
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    limit = _choices(seed, "tenants").choice(LIMITS) if tenants else None
    try:
        async with deployment(
            plan.size, folder, plan.deposes, plan.sync_replicas, ROUTES, limit
        ) as world:
            world.platform.promotion_seconds = plan.promotion_seconds
            for member in world.group.members.values():
                member.lag = plan.lag
            callers = make_callers(world, _choices(seed, "callers"), sessions)
            sequence = play(world, _choices(seed, "faults"), seconds, faults, plan.at_once, LASTS)
            if restores:
                sequence = _play_with_restores(world, seed, seconds, sequence)
            hot = HotCallers(world, _choices(seed, "hot callers"))
            if tenants:
                limits = play(world, _choices(seed, "limits"), seconds, TENANT_FAULTS, 1, LASTS)  # type: ignore[arg-type]
                sequence = run_hot_callers_during(hot, _play_both(sequence, limits))
            holders: list[HoldingCaller] = []
            stalls = Stalls()
            if stops:
                holders = _begin_stops(world, chosen)
                sequence = _hold_during(holders, stalls, sequence)
            report = await _play(world, plan, seed, sequence, callers, holders)
            if stops:
                report = _judge_stops(world, report, holders, stalls)
            if limit is not None:
                found = limit_problems(hot.sent, world.group.runs, limit)
                report = report._replace(
                    kind=f"{report.kind}, {limit_summary(hot.sent, world.group.runs, limit)}",
                    problems=[*report.problems, *found],
                )
        report = report._replace(problems=[*report.problems, *_log_problems(world)])
        if report.failed and keep is not None:
            history = [*callers.history, *_history(holders)]
            _save_findings(world, report, history, holders, folder, keep / str(seed))
        return report
    finally:
        shutil.rmtree(folder, ignore_errors=True)


async def _play_with_restores(
    world: Deployment, seed: int, seconds: float, sequence: Awaitable[list[str]]
) -> list[str]:
    """Play restores of the store, one after the other, in parallel with the other faults."""
    restores = play(world, _choices(seed, "restores"), seconds, RESTORES, 1, LASTS)  # type: ignore[arg-type]
    return await _play_both(sequence, restores)


async def _play_both(sequence: Awaitable[list[str]], other: Awaitable[list[str]]) -> list[str]:
    """Play two sequences of faults in parallel; return the names of both."""
    played = await asyncio.gather(sequence, other)
    return [*played[0], *played[1]]


def _choices(seed: int, part: str) -> random.Random:
    """Return the random generator of one part of a run, independent of the other parts."""
    return random.Random(f"{seed} {part}")


def _begin_stops(world: Deployment, chosen: random.Random) -> list[HoldingCaller]:
    """Set the routes' timeout and the databases' work; return callers that hold their sessions."""
    world.timeout = chosen.choice(TIMEOUTS)
    least, most = chosen.choice(WORK_SECONDS)
    work_seed = chosen.random()

    def work(text: str) -> float:
        return random.Random(f"{work_seed} {text}").uniform(least, most)

    world.usual_work = world.group.work = work
    timeout_ms = round(1000 * world.timeout)
    world.configure({name: {**route, "timeout_ms": timeout_ms} for name, route in ROUTES.items()})
    names = list(ROUTES)
    return [
        HoldingCaller(world, f"h{index}", names[index % len(names)], random.Random(chosen.random()))
        for index in range(chosen.choice(HOLDERS))
    ]


async def _hold_during(
    holders: list[HoldingCaller], stalls: Stalls, sequence: Awaitable[list[str]]
) -> list[str]:
    """Run callers that hold their sessions until the faults are over; return the faults' names."""
    is_over = False
    running = [asyncio.ensure_future(found.operate(lambda: is_over)) for found in holders]
    async with _running(stalls.watch()):
        played = await sequence
        is_over = True
        await asyncio.gather(*running)
    return played


def _history(holders: list[HoldingCaller]) -> History:
    return [attempt for holder in holders for attempt in holder.history]


def _judge_stops(
    world: Deployment, report: ProcessReport, holders: list[HoldingCaller], stalls: Stalls
) -> ProcessReport:
    """Add the violations and figures of planned stops to a report."""
    statements = [statement for holder in holders for statement in holder.statements]
    stops = {index: node.process.stops for index, node in enumerate(world.nodes)}
    records = StopRecords(
        statements, stops, world.group.works, world.timeout, GRACE_SECONDS, stalls
    )
    found = judge_stops(records)
    figures = (
        f"{sum(map(len, stops.values()))} stops, {len(statements)} statements of "
        f"{len(holders)} holders, timeout {world.timeout}: {len(found.lost)} lost, "
        f"{len(found.excused)} excused, {len(found.unread)} cut, no answer (each try), "
        f"{sum(holder.closed_at_rest for holder in holders)} sessions closed at rest, "
        f"{_refused(statements)} refused"
    )
    return report._replace(violations=[*report.violations, *found.lost], figures=figures)


def _refused(statements: list[Statement]) -> int:
    return sum(bool(found.code) and found.code != NO_ANSWER for found in statements)


async def _play(
    world: Deployment,
    plan: Plan,
    seed: int,
    sequence: Awaitable[list[str]],
    callers: Callers,
    holders: list[HoldingCaller],
) -> ProcessReport:
    probe = ConfigurationProbe(world)
    async with _running(_restart_ended(world)), _running(probe.run()):
        played = await call_during(callers, sequence)
        await _resume_all(world)
        problems = await _settle(world, callers)
    history = [*callers.history, *_history(holders)]
    violations = judge(world.group, history)
    if plan.planned:
        violations += cut_by_planned_work(history, world.group.runs)
    return ProcessReport(
        seed,
        plan.kind,
        played,
        len(history),
        sum(attempt.succeeded for attempt in history),
        len(world.group.promotions),
        sum(node.process.start_count for node in world.nodes),
        violations,
        [*problems, *probe.regressions(), *_unexpected_exits(world), *_token_regressions(world)],
    )


def _token_regressions(world: Deployment) -> Iterator[str]:
    """Yield the promotions ordered with a lower fencing token than an earlier one.

    Only if the platform does not check tokens itself.
    """
    if world.platform.checks_fences:
        return
    highest = 0
    for order in world.platform.promotions:
        if order.token < highest:
            yield f"ONE: {order.holder} ordered with {order.token} after {highest}"
        highest = max(highest, order.token)


@asynccontextmanager
async def _running(work: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Run `work` during the body and cancel it afterwards. Raises the error of `work`, if any."""
    task = asyncio.ensure_future(work)
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def _restart_ended(world: Deployment) -> None:
    """Restart processes that exit unrequested, as the platform does."""
    while True:
        await asyncio.sleep(POLL_SECONDS)
        for node in world.nodes:
            if not node.process.running and node.process.exited_unrequested:
                await node.process.restart()


async def _resume_all(world: Deployment) -> None:
    for node in world.nodes:
        node.process.send(signal.SIGCONT)
    await asyncio.gather(*(node.process.start() for node in world.nodes))


async def _settle(world: Deployment, callers: Callers) -> list[str]:
    """Return problems after the faults: callers not served, or nodes with an old configuration."""
    problems: list[str] = []
    try:
        await served_again(callers)
    except TimeoutError:
        problems.append(f"RECOVER: a caller was not served within {WAIT_TIMEOUT} s")
    dropped, added = "extra-dropped", "extra-added"
    world.configure({**world.routes, dropped: {"route_type": "primary"}})
    await _wait_for_all(world, dropped, "I", problems)
    kept = {name: values for name, values in world.routes.items() if name != dropped}
    world.configure({**kept, added: {"route_type": "primary"}})
    await _wait_for_all(world, added, "I", problems)
    await _wait_for_all(world, dropped, "closed", problems)
    return problems


async def _wait_for_all(world: Deployment, route: str, state: str, problems: list[str]) -> None:
    """Wait until each node answers a session start on `route` with `state`."""
    outcomes = await asyncio.gather(*(_wait_for_one(node, route, state) for node in world.nodes))
    for node, is_expected in zip(world.nodes, outcomes, strict=True):
        if not is_expected:
            wanted = "is not served" if state == "I" else "is still served"
            problems.append(f"CONFIG: {route} {wanted} by {node.process.name}")


async def _wait_for_one(node: DeployedNode, route: str, state: str) -> bool:
    try:
        async with asyncio.timeout(WAIT_TIMEOUT):
            while True:
                answer = await answer_to_start(node, route)
                if answer is not None and answer.state == state:
                    return True
                await asyncio.sleep(POLL_SECONDS)
    except TimeoutError:
        return False


# Checks.


def cut_by_planned_work(history: History, runs: list[RunRecord]) -> Iterator[Violation]:
    """Yield the attempts that a database ran but that planned work left without an answer."""
    ran = Counter(run.identifier for run in runs)
    for attempt in history:
        if _is_cut(attempt) and ran[attempt.identifier]:
            yield Violation("CUT", attempt, "planned work ended it without an answer")


def _is_cut(attempt: Attempt) -> bool:
    return attempt.was_sent and attempt.code == NO_ANSWER


def _unexpected_exits(world: Deployment) -> Iterator[str]:
    for node in world.nodes:
        for process_exit in node.process.exits:
            if not process_exit.as_requested:
                yield (
                    f"ENDED: {node.process.name} with code {process_exit.code}, "
                    f"requested signal {process_exit.requested}"
                )


def _log_problems(world: Deployment) -> list[str]:
    found: Counter[str] = Counter()
    for node in world.nodes:
        for line in node.process.log.read_text(errors="replace").splitlines():
            text = _log_line_problem(line)
            if text:
                found[f"LOGGED: {node.process.name}: {text}"] += 1
    return [f"{text} ({count} times)" for text, count in found.items()]


def _log_line_problem(line: str) -> str:
    """Return the problem with a line of a node's log, empty for none."""
    try:
        event = json.loads(line)
    except ValueError:
        return f"not a JSON event: {line[:200]}"
    number = event.get("event")
    if number in FORBIDDEN_EVENTS:
        return f"{FORBIDDEN_EVENTS[number]}: {event.get('fields')}"
    return ""


def _save_findings(
    world: Deployment,
    report: ProcessReport,
    history: History,
    holders: list[HoldingCaller],
    folder: Path,
    kept: Path,
) -> None:
    """Store the nodes' logs, the failures and the records of callers and databases."""
    shutil.rmtree(kept, ignore_errors=True)
    shutil.copytree(folder, kept)
    lines = [report.kind, report.figures, "faults: " + " ".join(report.faults), *report.problems]
    lines += [f"{found.rule}: {found.detail}: {found.attempt}" for found in report.violations]
    lines += [f"promotion: {found}" for found in world.group.promotions]
    _write(kept / "report.txt", lines)
    _write(kept / "attempts.txt", sorted(history, key=lambda found: found.sent_sequence))
    _write(kept / "runs.txt", world.group.runs)
    _write(kept / "commits.txt", world.group.commits)
    statements = (statement for holder in holders for statement in holder.statements)
    _write(kept / "statements.txt", sorted(statements, key=lambda found: found.sent_at))
    _write(kept / "works.txt", world.group.works)
    _write(kept / "stops.txt", [(node.process.name, node.process.stops) for node in world.nodes])


def _write(path: Path, found: Iterable[object]) -> None:
    path.write_text("".join(f"{line}\n" for line in found))
