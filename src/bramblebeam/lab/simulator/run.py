"""Runs one scenario in the simulator, then judges and measures the run."""

from __future__ import annotations

import asyncio
import logging
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

import aiohttp

from bramblebeam.lab.history import History
from bramblebeam.lab.history.records import NodeStarted, RunEnded
from bramblebeam.lab.judge import Violation, count_observations, count_violations, judge
from bramblebeam.lab.load import LoadGenerator
from bramblebeam.lab.measures import (
    delays,
    edit_spreads,
    failover_gaps,
    fault_spans,
    replica_read_share,
    time_bins,
)
from bramblebeam.lab.operators import Operators
from bramblebeam.lab.result import Errors, RunResult
from bramblebeam.lab.scenario import Scenario
from bramblebeam.lab.setup import SetupError, prepare
from bramblebeam.lab.simulator.cluster import SimulatedCluster
from bramblebeam.lab.simulator.collect import EventCollector, SimulatedRecorder
from bramblebeam.lab.simulator.determinism import make_deterministic
from bramblebeam.lab.simulator.faults import SimulatedFaults
from bramblebeam.lab.simulator.loop import SimulationStalledError, VirtualLoop
from bramblebeam.lab.simulator.mutations import apply_mutation

SETTLE_SECONDS = 10.0
MAX_VIOLATIONS_SHOWN = 20
EVENT_LOG_LEVEL = logging.INFO


class SimulationError(Exception):
    """A simulation ended without a result; `events` holds what happened until then."""

    def __init__(self, text: str, events: list[tuple[float, str, str]] | None = None) -> None:
        super().__init__(text)
        self.events = events or []


@dataclass(frozen=True)
class Simulation:
    """Result of one simulation, with the history and events behind it.

    `stalled`: why the simulation stalled, empty if it ran to its end.
    """

    result: RunResult
    violations: list[Violation]
    history: History
    events: list[tuple[float, str, str]]
    stalled: str = ""


def simulate_scenario(scenario: Scenario, seed: int) -> RunResult:
    """Run a scenario with its own faults in a new process. Raises SimulationError."""
    from bramblebeam.lab.simulator.sweep import Case, run_cases

    outcome = next(run_cases([Case(scenario, seed, draw_faults=False)]))
    if outcome.result is None:
        raise SimulationError(outcome.failure)
    return outcome.result


def simulate(
    scenario: Scenario, seed: int, mutation: str = "", clock_step: float = 0.0
) -> Simulation:
    """Run a scenario in this process; its clocks and random sources stay replaced afterwards.

    `clock_step`: resolution of the nodes' clocks (seconds), 0 for exact clocks.
    """
    loop = VirtualLoop()
    make_deterministic(loop, seed)
    apply_mutation(mutation)
    with tempfile.TemporaryDirectory() as directory:
        run = _Run(scenario, seed, loop, Path(directory), clock_step)
        try:
            return loop.run_until_complete(run.run())
        except SimulationStalledError as error:
            return run.judge_stalled(str(error))
        except SetupError as error:
            raise SimulationError(str(error), run.events.lines) from error


class _Run:
    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        loop: VirtualLoop,
        directory: Path,
        clock_step: float,
    ) -> None:
        self.scenario = scenario
        self.seed = seed
        self.history = History()
        self.cluster = SimulatedCluster(scenario, loop, Random(seed), directory, clock_step)
        self.recorder = SimulatedRecorder(self.cluster)
        self.events = EventCollector(loop, self.history)
        product = logging.getLogger("bramblebeam")
        product.handlers = [self.events]
        product.propagate = False
        product.setLevel(EVENT_LOG_LEVEL)
        self.start = 0.0
        self.generator: LoadGenerator | None = None
        self.operators: Operators | None = None

    async def run(self) -> Simulation:
        for node in self.scenario.topology.nodes:
            self.history.add(NodeStarted(time.monotonic(), node))
        await self.cluster.start()
        return await self.cluster.callers.spawn(self._run_load())

    async def _run_load(self) -> Simulation:
        load = self.scenario.load
        async with aiohttp.ClientSession() as http:
            await prepare(self.cluster, self.history)  # type: ignore[arg-type]
            operators = Operators(self.cluster, http, self.history, self.seed)  # type: ignore[arg-type]
            generator = LoadGenerator(load, self.cluster.clients, self.history, self.seed)
            self.generator, self.operators = generator, operators
            faults = SimulatedFaults(
                self.cluster, self.recorder, operators, generator, self.history
            )
            self.start = time.monotonic()
            end = self.start + load.duration_seconds
            await asyncio.gather(
                generator.run(),
                faults.run(self.scenario.faults, self.start),
                operators.run(load.edits_per_second, end),
            )
            await asyncio.sleep(SETTLE_SECONDS)
            incomplete = await self.recorder.collect(self.history)
        self.history.add(RunEnded(time.monotonic(), True, incomplete))
        return self._result(generator, operators)

    def judge_stalled(self, reason: str) -> Simulation:
        """Judge a stalled run by its history so far. Raises SimulationError before the load."""
        if self.generator is None or self.operators is None:
            raise SimulationError(reason, self.events.lines)
        self.recorder.collect_now(self.history)
        self.history.add(RunEnded(time.monotonic(), True))
        return self._result(self.generator, self.operators, reason)

    def _result(self, load: LoadGenerator, operators: Operators, stalled: str = "") -> Simulation:
        violations = judge(self.history)
        spreads = edit_spreads(self.history, self.start, operators.sent_at)
        reads = [read for read in self.recorder.reads if read.time >= self.start]
        in_force = [delay for spread in spreads for delay in spread.delays_ms.values()]
        outcomes = load.outcomes
        result = RunResult(
            scenario=self.scenario.name,
            seed=self.seed,
            mode="simulator",
            nodes=len(self.scenario.topology.nodes),
            statements=load.statements,
            invariant_violations=count_violations(violations),
            replica_read_share=replica_read_share(reads),
            failover_gap_ms=failover_gaps(self.history),
            config_in_force_ms=delays(in_force),
            latency_ms=delays([latency for _, latency in load.samples]),
            errors=Errors(
                not_run=outcomes["not_run"],
                ran=outcomes["ran"],
                unknown=outcomes["unknown"],
                lost=outcomes["lost"],
            ),
            duration_seconds=self.scenario.load.duration_seconds,
            moves=load.moves,
            examined=count_observations(self.history),
            reasons=dict(load.reasons.most_common()),
            faults=fault_spans(self.history, self.start),
            bins=time_bins(load.samples, reads, self.history, self.start),
            edits=spreads,
            conflicts_shown=operators.conflicts,
            violations=[
                f"{violation.invariant}: {violation.detail}"
                for violation in violations[:MAX_VIOLATIONS_SHOWN]
            ],
        )
        return Simulation(result, violations, self.history, self.events.lines, stalled)
