"""The replica read measurement: scaled-down scenarios, phases and measures."""

from typing import Any

import pytest
from typer.main import get_command

from bramblebeam.lab.cli import application
from bramblebeam.lab.collect import ServedRead
from bramblebeam.lab.history import History
from bramblebeam.lab.history.records import RequestAnswered, RequestSent
from bramblebeam.lab.judge import Violation
from bramblebeam.lab.reads import DEPLOYMENTS, scaled_down
from bramblebeam.lab.reads_measures import measure
from bramblebeam.lab.reads_phases import PhaseSpan, more_reads
from bramblebeam.lab.scenario import Scenario, load_scenario


@pytest.mark.parametrize(("name", "group"), DEPLOYMENTS)
def test_a_deployment_is_scaled_down_to_one_group(name: str, group: str) -> None:
    scenario = scaled_down(load_scenario(name), group)
    checked = Scenario.model_validate(scenario.model_dump())
    zones = {member.zone for member in checked.topology.groups[0].members}
    assert set(checked.topology.nodes.values()) == zones
    assert {service.group for service in checked.load.services} == {group}


def test_a_read_burst_keeps_the_write_rate() -> None:
    load = load_scenario("villacres").load
    more, rate = more_reads(load, 5.0)
    assert rate * more.read_share == pytest.approx(5 * load.read_share)
    assert rate * (1 - more.read_share) == pytest.approx(1 - load.read_share)


def _request_and_answer(
    name: str, at: float, milliseconds: float, outcome: str = "ok"
) -> list[object]:
    sent = RequestSent(at, "n", "tracking-4", name, "g", "read", "k")
    answer = RequestAnswered(at + milliseconds / 1000, "n", "tracking-4", name, outcome, "k", "w")  # type: ignore[arg-type]
    return [sent, answer]


def test_reads_count_in_their_phase_at_the_last_server_that_began_them() -> None:
    records = [
        *_request_and_answer("r1", 1.0, 10),
        *_request_and_answer("r2", 1.1, 30),
        *_request_and_answer("r3", 1.2, 20, "not_run"),
        *_request_and_answer("r4", 1.3, 20, "lost"),
        *_request_and_answer("r5", 2.5, 20),
    ]
    served = [
        ServedRead(1.15, False, "r2"),
        ServedRead(1.0, True, "r1"),
        ServedRead(1.1, True, "r2"),
        ServedRead(2.5, True, "r5"),
    ]
    stale = [Violation("bounded_staleness", "", (records[0],))]
    spans = [PhaseSpan("calm", 1.0, 2.0), PhaseSpan("burst", 2.0, 3.0)]
    calm, burst = measure("one", History(records), served, spans, stale).phases
    assert (calm.reads, calm.not_run, calm.lost, calm.stale) == (4, 1, 1, 1)
    assert calm.share == calm.share_without_token == 0.5
    assert calm.share_with_token is None
    assert calm.replica_p50_ms == pytest.approx(10)
    assert calm.primary_p50_ms == pytest.approx(30)
    assert (burst.reads, burst.share, burst.stale) == (1, 1.0, 0)


def test_reads_is_a_lab_command() -> None:
    group: Any = get_command(application)
    assert group.get_command(None, "reads") is not None
