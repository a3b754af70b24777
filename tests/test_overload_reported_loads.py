"""Loads that other nodes report, and how they age.

Guards against demand that moves between zones within seconds, so that a report of a second ago is
nearly worthless, and against databases that come and go.
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
        pytest.param(REPORT_HALF_LIFE, 0.5, id="one half-life"),
        pytest.param(2 * REPORT_HALF_LIFE, 0.25, id="two half-lives"),
        pytest.param(-1.0, 1.0, id="clock moved backwards"),
        pytest.param(REPORT_HALF_LIFE * (MAX_REPORT_HALF_LIVES + 0.1), None, id="too old"),
    ],
)
def test_weight_decays_with_age(age: float, weight: float | None) -> None:
    loads = ReportedLoads()
    loads.update([LOAD], 10.0)
    found = loads.find(NEAR, 10.0 + age)
    assert (None if found is None else found.weight) == (weight and pytest.approx(weight))


def test_too_old_reports_are_removed() -> None:
    loads = ReportedLoads()
    loads.update([LOAD], 0.0)
    loads.find(NEAR, 60.0)
    assert len(loads) == 0


@pytest.mark.parametrize(
    "load",
    [
        pytest.param(LOAD._replace(wait=-1.0), id="negative wait"),
        pytest.param(LOAD._replace(wait=float("nan")), id="NaN wait"),
        pytest.param(LOAD._replace(wait=float("inf")), id="infinite wait"),
        pytest.param(LOAD._replace(service=0.0), id="zero service time"),
        pytest.param(LOAD._replace(service=-0.1), id="negative service time"),
        pytest.param(LOAD._replace(service=float("nan")), id="NaN service time"),
        pytest.param(LOAD._replace(error_share=1.5), id="error share above one"),
        pytest.param(LOAD._replace(error_share=float("nan")), id="NaN error share"),
    ],
)
def test_invalid_load_is_ignored(load: DatabaseLoad) -> None:
    loads = ReportedLoads()
    loads.update([LOAD], 0.0)
    loads.update([load], 0.1)
    found = loads.find(NEAR, 0.1)
    assert found is not None
    assert found.load == LOAD


def test_sent_statements_count_until_the_next_report() -> None:
    loads = ReportedLoads()
    assert loads.record_sent(NEAR) is None
    assert loads.find(NEAR, 0.0) is None
    loads.update([LOAD], 0.0)
    reports = [loads.record_sent(NEAR) for _ in range(3)]
    loads.record_done(reports[0])
    found = loads.find(NEAR, 0.0)
    assert found is not None
    assert found.sent == 2
    loads.update([LOAD], 0.1)
    loads.record_sent(NEAR)
    loads.record_done(reports[1])
    found = loads.find(NEAR, 0.1)
    assert found is not None
    assert found.sent == 1, "statements of an earlier report are not uncounted"


def test_oldest_reports_are_evicted() -> None:
    loads = ReportedLoads(max_loads=3)
    names = [InstanceId(f"db-{number}") for number in range(5)]
    for at, name in enumerate(names):
        loads.update([LOAD._replace(instance=name)], at / 100)
    assert len(loads) == 3
    assert [loads.find(name, 0.05) is not None for name in names] == [
        False,
        False,
        True,
        True,
        True,
    ]
    assert MAX_REPORTED_LOADS > 3


def test_removed_databases_are_forgotten() -> None:
    loads = ReportedLoads()
    loads.update([LOAD, LOAD._replace(instance=InstanceId("gone"))], 0.0)
    loads.keep_only({NEAR})
    assert len(loads) == 1
