"""Checks that every model holds within its bounds and every mutation violates its invariant."""

import pytest

from spec.checking import Model, check
from spec.models import MODELS

MUTATIONS = [(model, mutation) for model in MODELS for mutation in model.mutations]


@pytest.mark.parametrize("model", MODELS, ids=lambda model: model.name)
def test_model_holds_in_every_state(model: Model) -> None:
    result = check(model)
    assert result.exhaustive
    assert result.counterexamples == {}


@pytest.mark.parametrize(
    ("model", "mutation"), MUTATIONS, ids=[f"{model.name}-{name}" for model, name in MUTATIONS]
)
def test_mutation_violates_its_invariant(model: Model, mutation: str) -> None:
    result = check(model, mutation)
    assert result.counterexamples[model.mutations[mutation]]


def test_every_invariant_has_a_mutation() -> None:
    invariants = {invariant for model in MODELS for invariant in model.invariants}
    violated = {invariant for model in MODELS for invariant in model.mutations.values()}
    assert violated == invariants
