"""Loading and validation of scenario files."""

from pathlib import Path

import pytest

from bramblebeam.lab.scenario import (
    FAULT_KINDS,
    SCENARIO_DIRECTORY,
    ScenarioError,
    load_scenario,
)


@pytest.mark.parametrize("name", ["villacres", "velotrans"])
def test_deployments_are_valid_scenarios(name: str) -> None:
    scenario = load_scenario(name)
    assert scenario.name == name
    assert len(scenario.topology.groups) == 3
    assert {fault.kind for fault in scenario.faults} <= set(FAULT_KINDS)
    assert all(scenario.targets(kind) for kind in FAULT_KINDS)


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('kind = "zone_cut"', 'kind = "zone_burns"', "faults"),
        ('target = "quito-norte-b"', 'target = "loja"', "loja"),
        ("read_share = 0.8", "read_share = 1.8", "read_share"),
        ('group = "routes"', 'group = "rivers"', "rivers"),
        ("[load]", "[load", "villacres.toml"),
    ],
)
def test_an_invalid_scenario_raises_an_error_that_names_the_problem(
    tmp_path: Path, old: str, new: str, message: str
) -> None:
    text = (SCENARIO_DIRECTORY / "villacres.toml").read_text()
    assert old in text
    path = tmp_path / "villacres.toml"
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(ScenarioError, match=message):
        load_scenario(path)


def test_a_missing_scenario_raises_an_error_that_names_it() -> None:
    with pytest.raises(ScenarioError, match="nowhere"):
        load_scenario("nowhere")
