"""Placement of reads under uneven demand and faults of databases: three regions, virtual time.

The thresholds are what callers need: nearly all reads within the total capacity are served in time,
no healthy database is flooded, and effects of a fault end soon after the fault.
"""

from math import pi, sin
from typing import Any, NamedTuple

import pytest

from bramblebeam.core.tenants import NO_TENANT
from placement_world import Condition, Load, PlacementWorld

BEGIN, END = 3.0, 8.0
"""When a fault begins and ends (seconds)."""
RECOVERED = END + 4.0
"""Time at which the longest ejection, a probation and a slow start are over (seconds)."""
SEEDS = (1, 2, 3)
LONGEST_QUEUE = 70
"""Maximum queue at one database: as many reads as begin within a third of a second, which leaves
most of a caller's time."""


def steady(share: float) -> Load:
    return Load(lambda region, now: share)


def with_fault(condition: Condition, share: float = 0.5, region: int = 0) -> Load:
    def condition_of(place: int, now: float) -> Condition:
        return condition if place == region and BEGIN <= now < END else Condition.WELL

    return Load(lambda place, now: share, condition_of)


def flapping(share: float = 0.5) -> Load:
    def condition(region: int, now: float) -> Condition:
        is_down = BEGIN <= now < END and (now - BEGIN) % 2.8 < 1.4
        return Condition.DOWN if region == 0 and is_down else Condition.WELL

    return Load(lambda region, now: share, condition)


def wave(region: int, now: float) -> float:
    """Oscillate between 0.34 and 1.16 times the capacity, each region in a different phase."""
    return 0.75 * (1 + 0.55 * sin(2 * pi * (now / 6.0 + region / 3.0)))


def lost(region: int, now: float) -> Condition:
    return Condition.DOWN if region != 2 and BEGIN <= now < END else Condition.WELL


class Case(NamedTuple):
    """A load, and the share that must be served: during the fault, and after it.

    `ejections`: maximum number. `attempts`: maximum per read during the fault, as a failing
    database is tried again only to see whether it has recovered.
    """

    load: Load
    with_fault: float
    after: float = 0.99
    ejections: int = 0
    attempts: float = 1.02


CASES = [
    pytest.param(Case(steady(0.7), 0.99), id="steady 0.7"),
    pytest.param(Case(steady(0.9), 0.98, 0.97), id="steady 0.9"),
    pytest.param(
        Case(with_fault(Condition.SLOW), 0.99, ejections=6, attempts=1.08), id="one 5 times slower"
    ),
    pytest.param(
        Case(with_fault(Condition.FAILING), 0.99, ejections=6, attempts=1.08), id="one fails half"
    ),
    pytest.param(
        Case(with_fault(Condition.SHEDDING), 0.99, ejections=6, attempts=1.08), id="one sheds half"
    ),
    pytest.param(
        Case(with_fault(Condition.HANGING), 0.99, ejections=6, attempts=1.08), id="one hangs"
    ),
    pytest.param(
        Case(with_fault(Condition.DOWN), 0.99, ejections=6, attempts=1.08), id="one is down"
    ),
    pytest.param(Case(flapping(), 0.99, ejections=6, attempts=1.08), id="one flaps each 1.4 s"),
    pytest.param(Case(Load(wave), 0.99), id="a wave, regions out of phase"),
    pytest.param(
        Case(Load(wave, reports=False), 0.97, 0.97), id="a wave, and nothing is ever told"
    ),
    pytest.param(
        Case(Load(lambda region, now: 0.3, lost), 0.99, ejections=12, attempts=1.15),
        id="two of three lost",
    ),
]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("case", CASES)
def test_reads_within_the_capacity_are_served(
    case: Case, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = PlacementWorld(case.load, seed, monkeypatch)
    world.run()
    assert world.goodput(BEGIN, END) >= case.with_fault
    assert world.goodput(END + 1.0) >= case.after
    assert sum(world.ejections.values()) <= case.ejections
    assert world.attempts(BEGIN, END) <= case.attempts


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "load",
    [
        pytest.param(steady(0.9), id="steady"),
        pytest.param(Load(wave), id="a wave"),
        pytest.param(with_fault(Condition.DOWN), id="one is down"),
        pytest.param(with_fault(Condition.SLOW), id="one is slow"),
    ],
)
def test_no_herd_floods_a_healthy_database(
    load: Load, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    world = PlacementWorld(load, seed, monkeypatch)
    world.run()
    for node in world.nodes[1:]:
        assert node.database.longest_queue <= LONGEST_QUEUE


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "condition", [Condition.FAILING, Condition.SHEDDING, Condition.HANGING, Condition.SLOW]
)
def test_a_recovered_database_soon_gets_its_share_again(
    condition: Condition, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    load = with_fault(condition)._replace(seconds=RECOVERED + 2.0)
    world = PlacementWorld(load, seed, monkeypatch)
    world.run()
    before = world.ran_in(0, 1.0, BEGIN) / (BEGIN - 1.0)
    recovered = world.ran_in(0, RECOVERED, RECOVERED + 2.0) / 2.0
    assert recovered >= 0.8 * before


@pytest.mark.parametrize("seed", SEEDS)
def test_reads_stay_in_their_region_while_it_has_capacity(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Traffic between regions is expensive, and its delay exceeds the time of the read."""
    world = PlacementWorld(steady(0.7), seed, monkeypatch)
    world.run()
    whole = sum(world.arrived.values())
    ran = [world.ran_in(region, 0.0, 12.0) for region in range(3)]
    assert whole <= sum(ran) <= 1.02 * whole
    assert min(ran) >= 0.9 * whole / 3


def test_a_replica_that_was_behind_is_tried_again_for_a_read_refused_elsewhere(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Found with a full leader: it refused reads at once that the near replica
    could have served, although that was behind a session's own write by a tenth of a second."""
    world = PlacementWorld(steady(0.5), 1, monkeypatch)
    node = world.nodes[0]
    pools: list[Any] = list(node.pools.values())[:2]
    near, other = pools
    node.targets.record_behind(near)
    assert node.targets.choose(pools, NO_TENANT) is other
    assert node.targets.choose([near], NO_TENANT) is None
    assert node.targets.choose([near], NO_TENANT, asks_behind=True) is near
