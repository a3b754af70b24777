"""The simulator: runs are deterministic, a short sweep passes, and mutations are reported."""

import pytest

from bramblebeam.lab.scenario import FAULT_KINDS, load_scenario
from bramblebeam.lab.simulator.mutations import MUTATIONS, mutation_case
from bramblebeam.lab.simulator.plan import COMBINATIONS, sweep_scenario
from bramblebeam.lab.simulator.sweep import Case, run_cases

SECONDS = 4.0


def test_run_is_deterministic_and_has_no_violations() -> None:
    case = Case(load_scenario("small"), 18, seconds=SECONDS, kinds=("primary_kill", "replica_lag"))
    first, repeated = run_cases([case, case], processes=2)
    assert first == repeated
    assert first.passed, first
    assert first.result is not None
    assert first.result.examined["read_your_writes"] > 0
    assert first.result.examined["no_ack_by_replaced_primary"] > 0


@pytest.mark.parametrize("step", [0.001, 0.01, 0.1])
def test_no_violations_with_coarse_clocks(step: float) -> None:
    kinds = ("primary_kill", "replica_lag")
    case = Case(load_scenario("small"), 18, seconds=SECONDS, kinds=kinds, clock_step=step)
    outcome = next(run_cases([case]))
    assert outcome.passed, outcome
    assert outcome.result is not None
    assert outcome.result.examined["read_your_writes"] > 0


@pytest.mark.parametrize("name", ["drop_last_row", "share_transactions"])
def test_mutation_is_reported(name: str) -> None:
    outcome = next(run_cases([mutation_case(name, 1)]))
    assert outcome.result is not None, outcome
    assert outcome.result.invariant_violations[MUTATIONS[name].invariant] > 0
    assert any(line.startswith("VIOLATION") for line in outcome.trace)


def test_sweep_covers_every_fault_kind_and_every_pair() -> None:
    scenario = load_scenario("small")
    drawn = {
        tuple(fault.kind for fault in sweep_scenario(scenario, seed, 12.0, 60.0).faults)
        for seed in range(len(COMBINATIONS))
    }
    assert len(drawn) == len(COMBINATIONS)
    assert {(kind,) for kind in FAULT_KINDS} <= drawn
