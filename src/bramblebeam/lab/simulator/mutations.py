"""Mutations: bugs patched into the product's code at run time, each of which the judge must report.

A mutation affects only the process that applies it. Each one lists the injected faults that make
its effect visible.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping
from itertools import product
from typing import Any, NamedTuple

from bramblebeam.core.configuration.table import RowTable
from bramblebeam.core.group import change as group_change
from bramblebeam.core.group.messages import MemberStatus
from bramblebeam.core.identity import ZERO_POSITION, InstanceId
from bramblebeam.core.pool.slots import SlotMachine
from bramblebeam.core.routing.directory import Directory
from bramblebeam.core.session.session import Session
from bramblebeam.lab.database.progress import GroupProgress
from bramblebeam.lab.scenario import Fault, FaultKind, load_scenario
from bramblebeam.lab.simulator.sweep import Case
from bramblebeam.services.edge.service import EdgeService
from bramblebeam.services.pool import execution as pool_execution
from bramblebeam.services.pool import statements as pool_statements
from bramblebeam.services.pool.service import PoolService
from bramblebeam.services.pool.transactions import PinnedTransactions

EXTRA_SLOTS = 3
SCENARIO = "small"
RATE = 150.0


class Mutation(NamedTuple):
    """A bug to patch in.

    `invariant`: the violation that the judge must report. `faults`: the injected faults that make
    the bug visible.
    """

    invariant: str
    faults: tuple[Fault, ...]
    apply: Callable[[], None]


def apply_mutation(name: str) -> None:
    """Apply one mutation to this process; an empty name applies none. Raises KeyError."""
    if name:
        MUTATIONS[name].apply()


def _replace(owner: Any, name: str, make: Callable[[Any], Any]) -> None:
    """Replace an attribute by what `make` returns for its current value."""
    setattr(owner, name, make(getattr(owner, name)))


def _ignore_floor() -> None:
    """Reads go to any replica, regardless of the session's own writes."""
    _replace(Session, "floor", lambda real: lambda self, group: ZERO_POSITION)
    _replace(Session, "must_confirm", lambda real: lambda self, group: False)


def _promote_lowest() -> None:
    """A change of primary promotes the member with the shortest log."""

    def choose(promises: Mapping[InstanceId, MemberStatus], *preferences: Any) -> InstanceId:
        return min(promises, key=lambda instance: promises[instance].last)

    _replace(group_change, "choose_primary", lambda real: choose)


def _acknowledge_alone() -> None:
    """A primary of the stand-in database acknowledges writes that no other member has."""
    _replace(GroupProgress, "match", lambda real: lambda self, own_length: own_length)


def _share_transactions() -> None:
    """A connection in a transaction is shared with other sessions between its statements."""

    def make(real: Any) -> Any:
        def pin(self: Any, name: str, session: str, slot: Any, now: float) -> Any:
            slot.connections._idle.append(slot.connection)
            return real(self, name, session, slot, now)

        return pin

    _replace(PinnedTransactions, "pin", make)


def _drop_last_row() -> None:
    """A result set of several rows loses the last one."""

    def make(real: Any) -> Any:
        def reply(self: Any, *arguments: Any) -> Any:
            whole = real(self, *arguments)
            rows = whole.rows[:-1] if len(whole.rows) > 1 else whole.rows
            return dataclasses.replace(whole, rows=rows)

        return reply

    _replace(pool_statements.StatementRunner, "_reply", make)


def _deny_doubt() -> None:
    """A statement whose outcome at the back end is unknown is reported as not run."""

    def make(real: Any) -> Any:
        return lambda *arguments, **options: real(*arguments, **(options | {"in_doubt": False}))

    _replace(pool_execution, "refusal_of_interrupted", make)


def _use_leaving() -> None:
    """The pool and the routing directory ignore that an instance is leaving."""

    def make_admit(real: Any) -> Any:
        def admit(request: Any, status: Any, *others: Any) -> Any:
            staying = dataclasses.replace(status, leaving=False) if status else None
            return real(request, staying, *others)

        return admit

    def make_observe(real: Any) -> Any:
        return lambda self, status: real(self, dataclasses.replace(status, leaving=False))

    _replace(pool_statements, "admit", make_admit)
    _replace(Directory, "observe", make_observe)


def _stop_at_once() -> None:
    """A planned stop does not wait for work in flight."""

    async def drain(self: Any) -> None:
        return

    for service in (EdgeService, PoolService):
        _replace(service, "drain", lambda real: drain)


def _drop_rows() -> None:
    """A node applies only the first version of a row."""

    def make(real: Any) -> Any:
        return lambda self, row: row.key not in self._rows and real(self, row)

    _replace(RowTable, "_apply_one", make)


def _open_more_slots() -> None:
    """A slot owner opens more connections than the configuration allows."""

    def make(real: Any) -> Any:
        return property(lambda self: real.fget(self) + EXTRA_SLOTS)

    _replace(SlotMachine, "free", make)


def _fault(at: float, kind: FaultKind, target: str, duration: float, value: float = 0.0) -> Fault:
    return Fault(at=at, kind=kind, target=target, duration=duration, value=value)


_LAGGING_REPLICAS = tuple(
    _fault(1.0, "replica_lag", instance, 9.0, 400.0) for instance in ("parcels-b", "parcels-c")
)
_CONSECUTIVE_CUTS = (
    _fault(3.0, "zone_cut", "south-2", 3.0),
    _fault(5.0, "primary_cut", "parcels", 6.0),
)
_LOST_ANSWERS = (
    _fault(0.5, "message_loss", "", 11.0, 0.2),
    *(_fault(at, "primary_kill", "parcels", 1.0) for at in (2.0, 5.0, 8.0)),
)

MUTATIONS: dict[str, Mutation] = {
    "ignore_floor": Mutation("read_your_writes", _LAGGING_REPLICAS, _ignore_floor),
    "promote_lowest": Mutation("read_your_writes", _CONSECUTIVE_CUTS, _promote_lowest),
    "acknowledge_alone": Mutation(
        "no_ack_by_replaced_primary",
        (_fault(3.0, "primary_cut", "parcels", 4.0, 1.0),),
        _acknowledge_alone,
    ),
    "share_transactions": Mutation("transactions_do_not_mix", (), _share_transactions),
    "drop_last_row": Mutation("whole_own_answer", (), _drop_last_row),
    "deny_doubt": Mutation("at_most_once", _LOST_ANSWERS, _deny_doubt),
    "use_leaving": Mutation(
        "leaving_gets_no_new_work",
        (_fault(2.0, "instance_leaving", "parcels-b", 8.0),),
        _use_leaving,
    ),
    "stop_at_once": Mutation(
        "planned_stop_cuts_nothing",
        tuple(
            _fault(2.0 + number, "node_stop", f"{zone}-{index}", 1.0)
            for number, (zone, index) in enumerate(
                product(("north-1", "south-1", "south-2"), (1, 2))
            )
        ),
        _stop_at_once,
    ),
    "drop_rows": Mutation("configuration_in_force_and_never_reverts", (), _drop_rows),
    "open_more_slots": Mutation("slots_never_exceeded", (), _open_more_slots),
}
"""Mutations by name. Each is detectable in the scenario `small` under its faults."""


def mutation_case(name: str, seed: int) -> Case:
    """Return the case that makes a mutation's violation visible. Raises KeyError."""
    scenario = load_scenario(SCENARIO)
    load = scenario.load.model_copy(update={"statements_per_second": RATE})
    faults = {"load": load, "faults": MUTATIONS[name].faults}
    return Case(scenario.model_copy(update=faults), seed, name, draw_faults=False)
