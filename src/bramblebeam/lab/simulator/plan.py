"""Random choice of a sweep's faults: every kind alone and every pair of kinds, by seed."""

from itertools import combinations_with_replacement
from random import Random

from bramblebeam.lab.scenario import FAULT_KINDS, Fault, FaultKind, Scenario

FIRST_FAULT_SECONDS = 1.0
MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 5.0
LOSS_RATES = (0.02, 0.1, 0.2)
LAGS_MS = (100.0, 500.0, 2_000.0)
KEYS = 6

COMBINATIONS: tuple[tuple[FaultKind, ...], ...] = (
    *((kind,) for kind in FAULT_KINDS),
    *combinations_with_replacement(FAULT_KINDS, 2),
)
"""Fault kinds by seed, used cyclically by consecutive seeds."""


def sweep_scenario(
    scenario: Scenario, seed: int, seconds: float, rate: float, kinds: tuple[FaultKind, ...] = ()
) -> Scenario:
    """Return the scenario with a load on few keys and with faults drawn by the seed."""
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
    longest = min(MAX_FAULT_SECONDS, seconds / 2)
    value = 0.0
    if kind == "message_loss":
        value = random.choice(LOSS_RATES)
    elif kind == "replica_lag":
        value = random.choice(LAGS_MS)
    elif kind == "primary_cut":
        value = float(random.randrange(2))
    return Fault(
        at=random.uniform(FIRST_FAULT_SECONDS, seconds / 2),
        kind=kind,
        target=random.choice(scenario.targets(kind)),
        duration=random.uniform(MIN_FAULT_SECONDS, longest),
        value=value,
    )
