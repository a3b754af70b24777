"""`bramblebeam lab sweep`, `bramblebeam lab replay` and `bramblebeam lab mutations`."""

import json
import sys
from typing import Annotated, get_args

import typer

from bramblebeam.lab.scenario import FaultKind, ScenarioError, load_scenario
from bramblebeam.lab.simulator.sweep import Case, CaseOutcome, SweepTotals, run_cases

application = typer.Typer()

VIOLATED = 1
BAD_INPUT = 2
MAX_PROCESSES = 4

ScenarioArgument = Annotated[
    str, typer.Argument(help="Path of a scenario file, or a scenario's name.")
]
MutateOption = Annotated[str, typer.Option(help="Mutation to apply to the code; empty: none.")]
SecondsOption = Annotated[float, typer.Option(help="Length of the load (virtual seconds).")]
RateOption = Annotated[float, typer.Option(help="Statements a second.")]
ClockStepOption = Annotated[
    float, typer.Option(min=0.0, help="Resolution of the nodes' clocks (seconds); 0: exact.")
]
KindsOption = Annotated[
    str, typer.Option(help="Fault kinds, comma-separated; empty: chosen by the seed.")
]


@application.command()
def sweep(
    scenario: ScenarioArgument,
    seeds: Annotated[str, typer.Option(help="Range A..B, inclusive.")] = "1..20",
    mutate: MutateOption = "",
    seconds: SecondsOption = 12.0,
    rate: RateOption = 60.0,
    kinds: KindsOption = "",
    clock_step: ClockStepOption = 0.0,
    jobs: Annotated[int, typer.Option(min=1, max=MAX_PROCESSES, help="Processes.")] = 2,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print the totals as one JSON object.")
    ] = False,
) -> None:
    """Simulate a scenario once per seed and judge each run. Exit code 0: every run passed."""
    first, _, last = seeds.partition("..")
    cases = [
        _case(scenario, seed, mutate, seconds, rate, kinds, clock_step)
        for seed in range(int(first), int(last or first) + 1)
    ]
    totals = SweepTotals()
    for outcome in run_cases(cases, jobs):
        totals.add(outcome)
        if not outcome.passed:
            typer.echo(_failure_line(outcome), err=True)
    typer.echo(json.dumps(_totals_json(totals)) if as_json else _totals_text(totals, scenario))
    sys.exit(VIOLATED if totals.failed else 0)


@application.command()
def replay(
    scenario: ScenarioArgument,
    seed: Annotated[int, typer.Option(help="Seed to run.")],
    mutate: MutateOption = "",
    seconds: SecondsOption = 12.0,
    rate: RateOption = 60.0,
    kinds: KindsOption = "",
    clock_step: ClockStepOption = 0.0,
) -> None:
    """Run one seed of a sweep again and print a trace if it fails."""
    case = _case(scenario, seed, mutate, seconds, rate, kinds, clock_step)
    outcome = next(run_cases([case]))
    typer.echo("\n".join(outcome.trace))
    typer.echo(_failure_line(outcome) if not outcome.passed else f"seed {seed}: no violations")
    sys.exit(0 if outcome.passed else VIOLATED)


@application.command()
def mutations(
    names: Annotated[str, typer.Option(help="Comma-separated names; empty: all.")] = "",
    seeds: Annotated[int, typer.Option(help="Seeds to run per mutation.")] = 3,
    jobs: Annotated[int, typer.Option(min=1, max=MAX_PROCESSES, help="Processes.")] = 2,
) -> None:
    """Check that the judge reports every mutation. Exit code 0: all are reported."""
    from bramblebeam.lab.simulator.mutations import MUTATIONS, mutation_case

    chosen = [name for name in names.split(",") if name] or list(MUTATIONS)
    cases = [mutation_case(name, seed) for name in chosen for seed in range(1, seeds + 1)]
    found: dict[str, list[int]] = {name: [] for name in chosen}
    for case, outcome in zip(cases, run_cases(cases, jobs), strict=True):
        violated = outcome.result.invariant_violations if outcome.result else {}
        found[case.mutation].append(violated.get(MUTATIONS[case.mutation].invariant, 0))
    for name, counts in found.items():
        verdict = "reported" if any(counts) else "MISSED"
        typer.echo(f"{name}: {MUTATIONS[name].invariant} {verdict}, by seed {counts}")
    sys.exit(0 if all(any(counts) for counts in found.values()) else VIOLATED)


def _case(
    scenario: str,
    seed: int,
    mutation: str,
    seconds: float,
    rate: float,
    kinds: str,
    clock_step: float,
) -> Case:
    chosen = tuple(kind for kind in kinds.split(",") if kind)
    unknown = set(chosen) - set(get_args(FaultKind))
    try:
        if unknown:
            raise ScenarioError(f"unknown fault kinds: {', '.join(sorted(unknown))}")
        loaded = load_scenario(scenario)
    except ScenarioError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(BAD_INPUT) from error
    return Case(
        loaded,
        seed,
        mutation,
        True,
        seconds,
        rate,
        chosen,  # type: ignore[arg-type]
        clock_step,
    )


def _failure_line(outcome: CaseOutcome) -> str:
    found = outcome.result.invariant_violations if outcome.result else {}
    violated = ", ".join(f"{name} {count}" for name, count in found.items() if count)
    return f"seed {outcome.seed} [{'; '.join(outcome.faults)}]: {violated} {outcome.failure}"


def _totals_json(totals: SweepTotals) -> dict[str, object]:
    return {
        "cases": totals.cases,
        "statements": totals.statements,
        "invariant_violations": dict(totals.violations),
        "examined": dict(totals.examined),
        "fault_kinds": dict(totals.fault_kinds),
        "failing_seeds": [outcome.seed for outcome in totals.failed],
    }


def _totals_text(totals: SweepTotals, scenario: str) -> str:
    lines = [f"{scenario}: {totals.cases} seeds, {totals.statements} statements"]
    lines += [
        f"  {name}: {count} violations in {totals.examined[name]} observations"
        for name, count in totals.violations.items()
    ]
    lines.append("  faults: " + ", ".join(f"{k} {n}" for k, n in totals.fault_kinds.items()))
    lines.append(f"  failing seeds: {[outcome.seed for outcome in totals.failed] or 'none'}")
    return "\n".join(lines)
