"""What a node keeps of the loads that others told it.

The load that this answers: demand that moves from zone to zone within seconds, so that what was
told a second ago says little, and databases that come and go.
"""

import pytest

from bramblebeam.core.identity import InstanceId
from bramblebeam.core.overload.load import DatabaseLoad
from bramblebeam.core.overload.reported_loads import (
    MAX_REPORT_HALF_LIVES,
    MAX_REPORTED_LOADS,
    REPORT_HALF_LIFE,
    ReportedLoads,
)

NEAR = InstanceId("near")
LOAD = DatabaseLoad(NEAR, 0.2, 0.03)


@pytest.mark.parametrize(
    ("age", "weight"),
    [
        pytest.param(0.0, 1.0, id="now"),
        pytest.param(REPORT_HALF_LIFE, 0.5, id="a half-life"),
        pytest.param(2 * REPORT_HALF_LIFE, 0.25, id="two"),
        pytest.param(-1.0, 1.0, id="a clock that went back"),
        pytest.param(REPORT_HALF_LIFE * (MAX_REPORT_HALF_LIVES + 0.1), None, id="too old"),
    ],
)
def test_what_is_old_counts_for_less(age: float, weight: float | None) -> None:
    told = ReportedLoads()
    told.update([LOAD], 10.0)
    found = told.find(NEAR, 10.0 + age)
    assert (None if found is None else found.weight) == (weight and pytest.approx(weight))


def test_what_is_too_old_is_not_kept() -> None:
    told = ReportedLoads()
    told.update([LOAD], 0.0)
    told.find(NEAR, 60.0)
    assert len(told) == 0


@pytest.mark.parametrize(
    "load",
    [
        pytest.param(LOAD._replace(wait=-1.0), id="wait below zero"),
        pytest.param(LOAD._replace(wait=float("nan")), id="wait that is no number"),
        pytest.param(LOAD._replace(wait=float("inf")), id="wait without end"),
        pytest.param(LOAD._replace(service=0.0), id="no service time"),
        pytest.param(LOAD._replace(service=-0.1), id="service time below zero"),
        pytest.param(LOAD._replace(service=float("nan")), id="service time that is no number"),
        pytest.param(LOAD._replace(error_share=1.5), id="more errors than attempts"),
        pytest.param(LOAD._replace(error_share=float("nan")), id="errors that are no number"),
    ],
)
def test_a_load_that_can_not_be_leaves_the_last_one_in_force(load: DatabaseLoad) -> None:
    told = ReportedLoads()
    told.update([LOAD], 0.0)
    told.update([load], 0.1)
    found = told.find(NEAR, 0.1)
    assert found is not None
    assert found.load == LOAD


def test_what_was_sent_counts_until_more_is_told() -> None:
    told = ReportedLoads()
    assert told.record_sent(NEAR) is None
    assert told.find(NEAR, 0.0) is None
    told.update([LOAD], 0.0)
    counted = [told.record_sent(NEAR) for _ in range(3)]
    told.record_done(counted[0])
    found = told.find(NEAR, 0.0)
    assert found is not None
    assert found.sent == 2
    told.update([LOAD], 0.1)
    told.record_sent(NEAR)
    told.record_done(counted[1])
    found = told.find(NEAR, 0.1)
    assert found is not None
    assert found.sent == 1, "what was sent before takes nothing from what was sent since"


def test_the_loads_of_many_databases_are_bounded_and_the_oldest_go_first() -> None:
    told = ReportedLoads(most=3)
    names = [InstanceId(f"db-{number}") for number in range(5)]
    for at, name in enumerate(names):
        told.update([LOAD._replace(instance=name)], at / 100)
    assert len(told) == 3
    assert [told.find(name, 0.05) is not None for name in names] == [False, False, True, True, True]
    assert MAX_REPORTED_LOADS > 3


def test_databases_that_are_gone_are_forgotten() -> None:
    told = ReportedLoads()
    told.update([LOAD, LOAD._replace(instance=InstanceId("gone"))], 0.0)
    told.keep_only({NEAR})
    assert len(told) == 1
