"""Runs simulations for many seeds, each in a fresh process with the same initial state."""

from __future__ import annotations

import multiprocessing
import os
import traceback
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from bramblebeam.lab.result import RunResult
from bramblebeam.lab.scenario import FaultKind, Scenario
from bramblebeam.lab.simulator.plan import sweep_scenario

HASH_SEED = "0"
"""PYTHONHASHSEED of every process: string hashes determine the iteration order of sets."""
CASE_TIMEOUT_SECONDS = 300.0
MAX_TRACE_LINES = 400


@dataclass(frozen=True)
class Case:
    """One simulation to run.

    `draw_faults`: replace the scenario's load and faults by ones drawn by the seed. `clock_step`:
    resolution of the nodes' clocks (seconds), 0 for exact clocks.
    """

    scenario: Scenario
    seed: int
    mutation: str = ""
    draw_faults: bool = True
    seconds: float = 12.0
    rate: float = 60.0
    kinds: tuple[FaultKind, ...] = ()
    clock_step: float = 0.0

    def effective_scenario(self) -> Scenario:
        """Return the scenario to run."""
        if not self.draw_faults:
            return self.scenario
        return sweep_scenario(self.scenario, self.seed, self.seconds, self.rate, self.kinds)


@dataclass(frozen=True)
class CaseOutcome:
    """Outcome of a case. `failure`: why there is no result or a stall or failed service, if any."""

    seed: int
    faults: tuple[str, ...]
    result: RunResult | None
    failure: str = ""
    trace: tuple[str, ...] = ()

    @property
    def passed(self) -> bool:
        """Whether the run finished without violations and without a failed service."""
        return self.result is not None and not self.result.violated and not self.failure


@dataclass
class SweepTotals:
    """Totals over the cases of a sweep."""

    cases: int = 0
    statements: int = 0
    violations: Counter[str] = field(default_factory=Counter)
    examined: Counter[str] = field(default_factory=Counter)
    fault_kinds: Counter[str] = field(default_factory=Counter)
    failed: list[CaseOutcome] = field(default_factory=list)

    def add(self, outcome: CaseOutcome) -> None:
        """Add the outcome of one case."""
        self.cases += 1
        self.fault_kinds.update(fault.split()[0] for fault in outcome.faults)
        if not outcome.passed:
            self.failed.append(outcome)
        if outcome.result is not None:
            self.statements += outcome.result.statements
            self.violations.update(outcome.result.invariant_violations)
            self.examined.update(outcome.result.examined)


def run_case(case: Case) -> CaseOutcome:
    """Run one case in this process, which can't run another one afterwards."""
    from bramblebeam.lab.simulator.loop import START_TIME
    from bramblebeam.lab.simulator.run import SimulationError, simulate
    from bramblebeam.lab.simulator.trace import first_service_failure, format_trace

    scenario = case.effective_scenario()
    faults = tuple(
        f"{fault.kind} {fault.target} at {fault.at:.2f} for {fault.duration:.2f}".replace("  ", " ")
        for fault in scenario.faults
    )
    try:
        simulation = simulate(scenario, case.seed, case.mutation, case.clock_step)
    except SimulationError as error:
        events = [f"{at - START_TIME:9.4f} {host}: {text}" for at, host, text in error.events]
        return CaseOutcome(case.seed, faults, None, str(error), tuple(events[-MAX_TRACE_LINES:]))
    except Exception as error:
        lines = tuple(traceback.format_exc().splitlines())
        return CaseOutcome(case.seed, faults, None, f"{type(error).__name__}: {error}", lines)
    failure = simulation.stalled or first_service_failure(simulation)
    result = simulation.result
    failed = bool(failure or result.violated)
    trace = tuple(format_trace(simulation)[-MAX_TRACE_LINES:]) if failed else ()
    return CaseOutcome(case.seed, faults, result, failure, trace)


def run_cases(cases: Iterable[Case], processes: int = 1) -> Iterator[CaseOutcome]:
    """Run each case in a fresh process; yield the outcomes in the order of the cases."""
    before = os.environ.get("PYTHONHASHSEED")
    os.environ["PYTHONHASHSEED"] = HASH_SEED
    try:
        context = multiprocessing.get_context("forkserver")
        context.set_forkserver_preload(["bramblebeam.lab.simulator.run"])
        with context.Pool(processes, maxtasksperchild=1) as pool:
            pending = [(case, pool.apply_async(run_case, (case,))) for case in cases]
            for case, outcome in pending:
                try:
                    yield outcome.get(timeout=CASE_TIMEOUT_SECONDS * (len(pending) + 1))
                except multiprocessing.TimeoutError:
                    yield CaseOutcome(case.seed, (), None, "the case timed out")
    finally:
        if before is None:
            del os.environ["PYTHONHASHSEED"]
        else:
            os.environ["PYTHONHASHSEED"] = before
