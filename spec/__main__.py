"""Checks every model and every mutation, and prints a table: `python -m spec`."""

import sys

from spec.checking import Model, check
from spec.models import MODELS


def main() -> int:
    """Print what the checker found; return 1 if a model or a mutation is not as it must be."""
    failures = 0
    for model in MODELS:
        failures += _holds(model) + _mutations(model)
    return 1 if failures else 0


def _holds(model: Model) -> int:
    result = check(model)
    good = result.exhaustive and not result.counterexamples
    verdict = "holds" if good else f"FAILS {result.counterexamples}"
    print(f"{model.name}: {verdict}, {result.states} states, {result.seconds:.1f} s")
    print(f"  within: {model.bounds}")
    print(f"  invariants: {', '.join(model.invariants)}", flush=True)
    return not good


def _mutations(model: Model) -> int:
    failures = 0
    for mutation, invariant in model.mutations.items():
        result = check(model, mutation)
        trace = result.counterexamples.get(invariant)
        failures += trace is None
        found = f"breaks {invariant} after {len(trace)} steps" if trace else "NOT REFUTED"
        print(f"  {model.name} with {mutation}: {found}, {result.states} states", flush=True)
    return failures


if __name__ == "__main__":
    sys.exit(main())
