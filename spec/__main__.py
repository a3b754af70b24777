"""Command line of the specification: `python -m spec` checks every model and mutation."""

import sys

from spec.checking import Model, check
from spec.models import MODELS


def main() -> int:
    """Print the results; return 1 if a model fails or a mutation is not refuted."""
    failures = 0
    for model in MODELS:
        failures += _check_model(model) + _check_mutations(model)
    return 1 if failures else 0


def _check_model(model: Model) -> int:
    result = check(model)
    is_ok = result.exhaustive and not result.counterexamples
    verdict = "holds" if is_ok else f"FAILS {result.counterexamples}"
    print(f"{model.name}: {verdict}, {result.states} states, {result.seconds:.1f} s")
    print(f"  within: {model.bounds}")
    print(f"  invariants: {', '.join(model.invariants)}", flush=True)
    return not is_ok


def _check_mutations(model: Model) -> int:
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
