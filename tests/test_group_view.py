"""What may confirm a lease on the leader, by what a node's list tells of the other members."""

import pytest

from bramblebeam.core.gateway.group_view import (
    DEPARTURE_SECONDS,
    GroupView,
    LeaseSources,
    OtherMember,
    Standing,
    lease_sources,
)
from bramblebeam.core.gateway.leader_lease import SIGHTING_SECONDS
from bramblebeam.core.identity import InstanceId

NOW = 100.0
NEAR, FAR = InstanceId("db-b"), InstanceId("db-c")
RECENTLY, LONG_AGO = NOW - DEPARTURE_SECONDS + 0.1, NOW - DEPARTURE_SECONDS - 0.1
CURRENT, OLD = NOW - SIGHTING_SECONDS + 0.1, NOW - SIGHTING_SECONDS - 0.1
REGISTERED, LAPSED, DEPARTED = Standing.REGISTERED, Standing.LAPSED, Standing.DEPARTED


# The rows are those of the table in design note 23, "What a list tells".
@pytest.mark.parametrize(
    ("others", "confirmed_at", "expected"),
    [
        ([], CURRENT, LeaseSources((), (), True)),
        ([], OLD, LeaseSources((), (), True)),
        ([(NEAR, DEPARTED, LONG_AGO)], CURRENT, LeaseSources((), (), True)),
        ([(NEAR, DEPARTED, RECENTLY)], CURRENT, LeaseSources((), (NEAR,), True)),
        ([(NEAR, DEPARTED, LONG_AGO)], OLD, LeaseSources((), (NEAR,), True)),
        ([(NEAR, LAPSED)], CURRENT, LeaseSources((NEAR,), (NEAR,), True)),
        ([(NEAR, LAPSED), (FAR, LAPSED)], OLD, LeaseSources((NEAR, FAR), (NEAR, FAR), True)),
        (
            [(NEAR, LAPSED), (FAR, DEPARTED, RECENTLY)],
            CURRENT,
            LeaseSources((NEAR,), (NEAR, FAR), True),
        ),
        ([(NEAR, REGISTERED)], CURRENT, LeaseSources((NEAR,), (NEAR,), False)),
        ([(NEAR, REGISTERED)], OLD, LeaseSources((NEAR,), (NEAR,), False)),
        (
            [(NEAR, REGISTERED), (FAR, REGISTERED)],
            OLD,
            LeaseSources((NEAR, FAR), (NEAR, FAR), False),
        ),
        (
            [(NEAR, LAPSED), (FAR, REGISTERED)],
            CURRENT,
            LeaseSources((FAR,), (FAR, NEAR), False),
        ),
        (
            [(NEAR, REGISTERED), (FAR, DEPARTED, LONG_AGO)],
            CURRENT,
            LeaseSources((NEAR,), (NEAR,), False),
        ),
        (
            [(NEAR, REGISTERED), (FAR, DEPARTED, RECENTLY)],
            CURRENT,
            LeaseSources((NEAR,), (NEAR, FAR), False),
        ),
        (
            [(NEAR, REGISTERED), (FAR, DEPARTED, LONG_AGO)],
            OLD,
            LeaseSources((NEAR,), (NEAR, FAR), False),
        ),
    ],
    ids=[
        "alone",
        "alone, old list",
        "departed long ago",
        "departed",
        "departed long ago, old list",
        "lapsed",
        "all lapsed, old list",
        "lapsed, departed",
        "registered",
        "registered, old list",
        "both registered, old list",
        "lapsed, registered",
        "registered, departed long ago",
        "registered, departed",
        "registered, departed long ago, old list",
    ],
)
def test_what_confirms_a_lease_follows_from_standing_and_age_of_the_list(
    others: list[tuple[InstanceId, Standing]], confirmed_at: float, expected: LeaseSources
) -> None:
    view = GroupView(tuple(OtherMember(*other) for other in others), confirmed_at)
    assert lease_sources(view, NOW) == expected
