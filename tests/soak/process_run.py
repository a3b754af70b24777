"""One run of the soak on processes: a deployment by seed, callers, faults, and the judgement."""

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
from platform_standins.world import FAR_TOO_LONG
from soak.change_faults import CHANGE_FAULTS
from soak.config_probe import ConfigurationProbe, started
from soak.deployment import DeployedNode, Deployment, Size, deployment
from soak.faults import play
from soak.history import NO_ANSWER, Attempt, History
from soak.judge import Violation
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
from soak.tenants import LIMITS, TENANT_FAULTS, HotCallers, call_beside, told
from soak.tenants import problems as limit_problems

NODES = (3, 4, 5)
AT_ONCE = (2, 3, 4)
LASTS = (0.1, 4.0)
"""The least and the most that a fault lasts (seconds)."""
LAGS = (0.0, 0.005, 0.05)
"""By how much replicas receive late (seconds); what they lack is lost with an unplanned change."""
PLANNED_SHARE = 0.2
"""The part of runs in which nothing but planned work is done."""
PROMOTION_SECONDS = (0.0, 0.3)
"""How long after its order a promotion comes into effect (the users' pages: some hundred ms)."""
LOOK_SECONDS = 0.1
"""How often the soak looks for processes that ended by themselves."""
BAD_EVENTS = {
    1004: "a service failed",
    1005: "a service failed too often",
    1006: "a service failed while it was being closed",
    1008: "a service failed to drain",
    1329: "two databases led one term",
}
"""Events that no fault excuses."""


class ProcessReport(NamedTuple):
    """What a run came to. `problems`: what broke beside the rules of single attempts."""

    seed: int
    kind: str
    faults: list[str]
    attempts: int
    succeeded: int
    promotions: int
    lives: int
    violations: list[Violation]
    problems: list[str]

    @property
    def broken(self) -> bool:
        """Whether anything broke."""
        return bool(self.violations or self.problems)


class Plan(NamedTuple):
    """What the seed chose."""

    size: Size
    deposes: bool
    sync_replicas: int
    promotion_seconds: float
    lag: float
    planned: bool
    at_once: int

    @property
    def kind(self) -> str:
        """Return the plan in one line."""
        return (
            f"{self.size.nodes} nodes, {self.size.connections} connections, "
            f"{'deposes' if self.deposes else 'does not depose'}, sync {self.sync_replicas}, "
            f"lag {self.lag}, {self.at_once} at once{', planned work only' if self.planned else ''}"
        )


def plan_of(rng: random.Random, nodes: int = 0) -> Plan:
    """Return the plan of a seed. `nodes`: how many, where the seed is not to say it."""
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
) -> ProcessReport:
    """Play one seed. `keep`: where the logs go if something breaks. `only`: faults to choose from.
    `restores`: the store comes back from copies, beside the other faults. `tenants`: callers have
    keys, and those of one tenant ask for far more than its limit.

    Raises KeyError where there is no such fault.
    """
    plan = plan_of(_choices(seed, "plan"), nodes)
    faults = PLANNED if plan.planned else FAULTS
    if only:
        plan = plan._replace(planned=set(only) <= set(PLANNED))
        faults = {name: {**FAULTS, **RESTORES, **CHANGE_FAULTS}[name] for name in only}
    if restores:
        plan = plan._replace(planned=False)
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
            series = play(world, _choices(seed, "faults"), seconds, faults, plan.at_once, LASTS)
            if restores:
                series = _beside_restores(world, seed, seconds, series)
            hot = HotCallers(world, _choices(seed, "hot callers"))
            if tenants:
                limits = play(world, _choices(seed, "limits"), seconds, TENANT_FAULTS, 1, LASTS)  # type: ignore[arg-type]
                series = call_beside(hot, _both(series, limits))
            report = await _play(world, plan, seed, series, callers)
            if limit is not None:
                found = limit_problems(hot.sent, world.group.runs, limit)
                report = report._replace(
                    kind=f"{report.kind}, {told(hot.sent, world.group.runs, limit)}",
                    problems=[*report.problems, *found],
                )
        report = report._replace(problems=[*report.problems, *_logged(world)])
        if report.broken and keep is not None:
            _keep(world, report, callers.history, folder, keep / str(seed))
        return report
    finally:
        shutil.rmtree(folder, ignore_errors=True)


async def _beside_restores(
    world: Deployment, seed: int, seconds: float, series: Awaitable[list[str]]
) -> list[str]:
    """Let the store come back from copies, one after the other, beside the other faults."""
    restores = play(world, _choices(seed, "restores"), seconds, RESTORES, 1, LASTS)  # type: ignore[arg-type]
    return await _both(series, restores)


async def _both(series: Awaitable[list[str]], beside: Awaitable[list[str]]) -> list[str]:
    """Play two series of faults side by side."""
    played = await asyncio.gather(series, beside)
    return [*played[0], *played[1]]


def _choices(seed: int, part: str) -> random.Random:
    """Return the choices of one part of a run: a change of another part leaves them as they are."""
    return random.Random(f"{seed} {part}")


async def _play(
    world: Deployment, plan: Plan, seed: int, series: Awaitable[list[str]], callers: Callers
) -> ProcessReport:
    probe = ConfigurationProbe(world)
    async with _beside(_restart_ended(world)), _beside(probe.run()):
        played = await call_during(callers, series)
        await _bring_back(world)
        problems = await _settle(world, callers)
    history = callers.history
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
        sum(node.process.lives for node in world.nodes),
        violations,
        [*problems, *probe.regressions(), *_ended(world), *_lower_tokens(world)],
    )


def _lower_tokens(world: Deployment) -> Iterator[str]:
    """Yield the orders with a token below one that was used, where nobody checks tokens."""
    if world.platform.checks_fences:
        return
    highest = 0
    for order in world.platform.promotions:
        if order.token < highest:
            yield f"ONE: {order.holder} ordered with {order.token} after {highest}"
        highest = max(highest, order.token)


@asynccontextmanager
async def _beside(work: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Let something run all the while. Raises what ended it."""
    task = asyncio.ensure_future(work)
    try:
        yield
    finally:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task


async def _restart_ended(world: Deployment) -> None:
    """Start again what ends by itself, as the platform does."""
    while True:
        await asyncio.sleep(LOOK_SECONDS)
        for node in world.nodes:
            if not node.process.running and node.process.ended_by_itself:
                await node.process.restart()


async def _bring_back(world: Deployment) -> None:
    for node in world.nodes:
        node.process.send(signal.SIGCONT)
    await asyncio.gather(*(node.process.start() for node in world.nodes))


async def _settle(world: Deployment, callers: Callers) -> list[str]:
    """After the faults every caller is served, and every node follows the configuration."""
    problems: list[str] = []
    try:
        await served_again(callers)
    except TimeoutError:
        problems.append(f"RECOVER: a caller was not served within {FAR_TOO_LONG} s")
    dropped, added = "extra-dropped", "extra-added"
    world.configure({**world.routes, dropped: {"route_type": "primary"}})
    await _until_all(world, dropped, "I", problems)
    kept = {name: values for name, values in world.routes.items() if name != dropped}
    world.configure({**kept, added: {"route_type": "primary"}})
    await _until_all(world, added, "I", problems)
    await _until_all(world, dropped, "closed", problems)
    return problems


async def _until_all(world: Deployment, route: str, state: str, problems: list[str]) -> None:
    """Wait until each node answers for a route as it should."""
    outcomes = await asyncio.gather(*(_until_one(node, route, state) for node in world.nodes))
    for node, is_well in zip(world.nodes, outcomes, strict=True):
        if not is_well:
            wanted = "is not served" if state == "I" else "is still served"
            problems.append(f"CONFIG: {route} {wanted} by {node.process.name}")


async def _until_one(node: DeployedNode, route: str, state: str) -> bool:
    try:
        async with asyncio.timeout(FAR_TOO_LONG):
            while True:
                answer = await started(node, route)
                if answer is not None and answer.state == state:
                    return True
                await asyncio.sleep(LOOK_SECONDS)
    except TimeoutError:
        return False


# What broke.


def cut_by_planned_work(history: History, runs: list[RunRecord]) -> Iterator[Violation]:
    """Yield the attempts that planned work ended without an answer although they had been run."""
    ran = Counter(run.identifier for run in runs)
    for attempt in history:
        if _is_cut(attempt) and ran[attempt.identifier]:
            yield Violation("CUT", attempt, "planned work ended it without an answer")


def _is_cut(attempt: Attempt) -> bool:
    return attempt.was_sent and attempt.code == NO_ANSWER


def _ended(world: Deployment) -> Iterator[str]:
    for node in world.nodes:
        for ending in node.process.endings:
            if not ending.as_asked:
                yield f"ENDED: {node.process.name} with {ending.code}, asked {ending.asked}"


def _logged(world: Deployment) -> list[str]:
    found: Counter[str] = Counter()
    for node in world.nodes:
        for line in node.process.log.read_text(errors="replace").splitlines():
            text = _bad_line(line)
            if text:
                found[f"LOGGED: {node.process.name}: {text}"] += 1
    return [f"{text} ({count} times)" for text, count in found.items()]


def _bad_line(line: str) -> str:
    """Return what is wrong with a line of a node's log, empty for nothing."""
    try:
        event = json.loads(line)
    except ValueError:
        return f"no event: {line[:200]}"
    number = event.get("event")
    if number in BAD_EVENTS:
        return f"{BAD_EVENTS[number]}: {event.get('fields')}"
    return ""


def _keep(
    world: Deployment, report: ProcessReport, history: History, folder: Path, kept: Path
) -> None:
    """Keep the nodes' logs, what broke, and all that callers and databases saw, in order."""
    shutil.rmtree(kept, ignore_errors=True)
    shutil.copytree(folder, kept)
    lines = [report.kind, "faults: " + " ".join(report.faults), *report.problems]
    lines += [f"{found.rule}: {found.detail}: {found.attempt}" for found in report.violations]
    lines += [f"promotion: {found}" for found in world.group.promotions]
    _write(kept / "report.txt", lines)
    _write(kept / "attempts.txt", sorted(history, key=lambda found: found.sent_moment))
    _write(kept / "runs.txt", world.group.runs)
    _write(kept / "commits.txt", world.group.commits)


def _write(path: Path, found: Iterable[object]) -> None:
    path.write_text("".join(f"{line}\n" for line in found))
