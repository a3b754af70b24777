"""Hands a model to the checker and reads its verdict.

A model is a state (a named tuple), its steps and its invariants. A step that a model allows need
never be taken: so a crash, a pause, a cut and a lost message are all covered by its not being
taken, or being taken late. A mutation is a named fault in the protocol, and must be refuted.
"""

import time
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple, TypeVar

import minicheck

Step = tuple[str, Any]
"""A step's label and the state that it leads to."""

Item = TypeVar("Item")

MAXIMUM_STATES = 2_000_000


def replace_at(values: tuple[Item, ...], index: int, value: Item) -> tuple[Item, ...]:
    """Return the values with another one at a place."""
    return (*values[:index], value, *values[index + 1 :])


def is_kept(name: str) -> Callable[[Any], bool]:
    """Return the invariant that no step has put `name` into the state's `broken`."""
    return lambda state: name not in state.broken


@dataclass(frozen=True)
class Model:
    """One small specification.

    `steps(state, mutation)` yields the steps possible in a state; `mutation` is empty for the
    protocol as it is meant. `mutations` names the invariant that each mutation must break.
    """

    name: str
    bounds: str
    initial: Any
    steps: Callable[[Any, str], Iterator[Step]]
    invariants: Mapping[str, Callable[[Any], bool]]
    mutations: Mapping[str, str] = field(default_factory=dict)


class Result(NamedTuple):
    """The checker's verdict. `counterexamples`: by invariant, the labels of a shortest trace."""

    states: int
    exhaustive: bool
    seconds: float
    counterexamples: dict[str, list[str]]


def check(model: Model, mutation: str = "", maximum_states: int = MAXIMUM_STATES) -> Result:
    """Explore every reachable state of the model, or of its mutation."""
    state_type = type(model.initial)
    invariants = model.invariants
    if mutation:
        invariants = {model.mutations[mutation]: model.invariants[model.mutations[mutation]]}
    protocol = minicheck.Protocol(
        name=model.name,
        candidate=False,
        fields=state_type._fields,
        initial=model.initial,
        transitions=_stop_at_violation(model, mutation),
        invariants={name: _over_fields(state_type, test) for name, test in invariants.items()},
    )
    began = time.process_time()
    report = minicheck.check_safety(protocol, max_states=maximum_states)
    seconds = time.process_time() - began
    counterexamples = {
        name: [step["label"] for step in verdict["counterexample"][1:]]
        for name, verdict in report["properties"].items()
        if verdict["counterexample"]
    }
    return Result(report["reachable_states"], report["exhaustive"], seconds, counterexamples)


def _over_fields(state_type: Any, test: Callable[[Any], bool]) -> Callable[[dict[str, Any]], bool]:
    return lambda fields: test(state_type(**fields))


def _stop_at_violation(model: Model, mutation: str) -> Callable[[Any], list[Step]]:
    """Return the steps; a mutated model is not explored beyond its first violation."""
    if not mutation:
        return lambda state: list(model.steps(state, ""))
    broken = model.invariants[model.mutations[mutation]]
    found = False

    def steps(state: Any) -> list[Step]:
        nonlocal found
        found = found or not broken(state)
        return [] if found else list(model.steps(state, mutation))

    return steps
