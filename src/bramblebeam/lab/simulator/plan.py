"""The faults that a sweep draws for each seed: every kind alone, and every pair of kinds."""

from itertools import combinations_with_replacement
from random import Random

from bramblebeam.lab.scenario import FAULT_KINDS, Fault, FaultKind, Scenario

FIRST_FAULT_SECONDS = 1.0
SHORTEST_SECONDS = 0.3
LONGEST_SECONDS = 5.0
DROPS = (0.02, 0.1, 0.2)
LAGS_MS = (100.0, 500.0, 2_000.0)
KEYS = 6

COMBINATIONS: tuple[tuple[FaultKind, ...], ...] = (
    *((kind,) for kind in FAULT_KINDS),
    *combinations_with_replacement(FAULT_KINDS, 2),
)
"""What the faults of consecutive seeds are made of."""


def sweep_scenario(
    scenario: Scenario, seed: int, seconds: float, rate: float, kinds: tuple[FaultKind, ...] = ()
) -> Scenario:
    """Return the scenario with few keys, another load, and faults drawn by the seed."""
    kinds = kinds or COMBINATIONS[seed % len(COMBINATIONS)]
    random = Random(seed)
    load = scenario.load.model_copy(
        update={
            "duration_seconds": seconds,
            "statements_per_second": rate,
            "keys": KEYS,
            "roaming": 0.2,
            "read_share": min(scenario.load.read_share, 0.7),
            "transaction_share": 0.2,
            "edits_per_second": 0.5,
        }
    )
    faults = tuple(_draw(scenario, kind, seconds, random) for kind in kinds)
    return scenario.model_copy(update={"load": load, "faults": faults})


def _draw(scenario: Scenario, kind: FaultKind, seconds: float, random: Random) -> Fault:
    longest = min(LONGEST_SECONDS, seconds / 2)
    value = 0.0
    if kind == "message_loss":
        value = random.choice(DROPS)
    elif kind == "replica_lag":
        value = random.choice(LAGS_MS)
    elif kind == "primary_cut":
        value = float(random.randrange(2))
    return Fault(
        at=random.uniform(FIRST_FAULT_SECONDS, seconds / 2),
        kind=kind,
        target=random.choice(scenario.targets(kind)),
        duration=random.uniform(SHORTEST_SECONDS, longest),
        value=value,
    )
