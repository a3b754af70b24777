"""Models of the specification and their check by minicheck.

A model consists of a state (a named tuple), steps and invariants. A possible step may be taken late
or never, which covers crashes, pauses, network cuts and lost messages. A mutation is a named fault
in the protocol that must violate an invariant.
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
"""Number of states after which the checker gives up."""


def replace_at(values: tuple[Item, ...], index: int, value: Item) -> tuple[Item, ...]:
    """Return a copy of `values` with `value` at `index`."""
    return (*values[:index], value, *values[index + 1 :])


def is_kept(name: str) -> Callable[[Any], bool]:
    """Return the invariant that no step has added `name` to the state's `broken`."""
    return lambda state: name not in state.broken


@dataclass(frozen=True)
class Model:
    """A model of one protocol.

    `bounds`: description of the limits of the exploration. `steps(state, mutation)` yields the
    steps possible in a state; `mutation` is empty for the correct protocol. `mutations`: the
    invariant that each mutation must violate.
    """

    name: str
    bounds: str
    initial: Any
    steps: Callable[[Any, str], Iterator[Step]]
    invariants: Mapping[str, Callable[[Any], bool]]
    mutations: Mapping[str, str] = field(default_factory=dict)


class Result(NamedTuple):
    """Result of a check. `counterexamples`: labels of a shortest trace, by violated invariant."""

    states: int
    exhaustive: bool
    seconds: float
    counterexamples: dict[str, list[str]]


def check(model: Model, mutation: str = "", maximum_states: int = MAXIMUM_STATES) -> Result:
    """Explore every reachable state of a model, or of one of its mutations."""
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
        invariants={name: _from_fields(state_type, test) for name, test in invariants.items()},
    )
    start = time.process_time()
    report = minicheck.check_safety(protocol, max_states=maximum_states)
    seconds = time.process_time() - start
    counterexamples = {
        name: [step["label"] for step in verdict["counterexample"][1:]]
        for name, verdict in report["properties"].items()
        if verdict["counterexample"]
    }
    return Result(report["reachable_states"], report["exhaustive"], seconds, counterexamples)


def _from_fields(state_type: Any, test: Callable[[Any], bool]) -> Callable[[dict[str, Any]], bool]:
    return lambda fields: test(state_type(**fields))


def _stop_at_violation(model: Model, mutation: str) -> Callable[[Any], list[Step]]:
    """Return the step function; exploration of a mutation stops at the first violation."""
    if not mutation:
        return lambda state: list(model.steps(state, ""))
    broken = model.invariants[model.mutations[mutation]]
    found = False

    def steps(state: Any) -> list[Step]:
        nonlocal found
        found = found or not broken(state)
        return [] if found else list(model.steps(state, mutation))

    return steps
