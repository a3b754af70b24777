"""Edits under faults: time until in force, reverted rows, and load on the store."""

import json
from dataclasses import asdict, dataclass, field
from typing import Annotated, Any

import typer

from bramblebeam.core.configuration.edit import (
    EditFinished,
    EditMachine,
    ReadRow,
    StoreUnanswered,
)
from bramblebeam.core.configuration.messages import EditReply, EditRow, EditStatus
from bramblebeam.core.configuration.relay_events import RowWritten
from bramblebeam.core.configuration.rows import Row, RowKey
from bramblebeam.core.identity import NodeId
from bramblebeam.core.machine import Wakeup
from bramblebeam.lab.configuration.faults import schedule_faults
from bramblebeam.lab.configuration.store_model import TIMEOUT_SECONDS
from bramblebeam.lab.configuration.world import World, WorldNode

ROWS = 50
DELETION_FRACTION = 0.2
"""Fraction of the edits that delete the row."""

EDIT_DEADLINE_SECONDS = 8.0
PROPAGATION_SECONDS = 3.0
"""A node that becomes ready must have edits accepted longer ago than this."""

SETTLE_SECONDS = 20.0
"""Time after the last edit and fault before the tables are compared."""


@dataclass
class AcceptedEdit:
    """An edit that was reported to its operator as written."""

    row: Row
    at: float
    applied: dict[NodeId, float] = field(default_factory=dict)


@dataclass
class TrialResult:
    """Results of a trial. `in_force_ms`: time from answer of an edit until the last node has it.

    Time during which a node was dead, paused or cut off is excluded for that node; it is included
    in `in_force_with_absent_ms`. Times are in milliseconds.
    """

    seed: int
    nodes: int
    zones: int
    edits: int
    outcomes: dict[str, int]
    in_force_ms: dict[str, float]
    in_force_with_absent_ms: dict[str, float]
    reverted: int
    lost_or_false_answers: int
    tables_differ: int
    store_watches_peak: int
    store_watches_end: int
    store_lists: int
    messages_a_node_and_second: float


class Trial:
    """Runs edits of random rows at random nodes, and checks what the nodes applied."""

    def __init__(self, world: World, edits: int, seconds: float) -> None:
        self.world = world
        self.accepted: list[AcceptedEdit] = []
        self.ended: list[tuple[EditRow, EditReply]] = []
        self.reverted = 0
        self._edits = edits
        self._seconds = seconds
        self._latest_versions: dict[tuple[NodeId, int, RowKey], int] = {}
        self._open: dict[RowKey, list[AcceptedEdit]] = {}
        world.on_applied = self._record_applied
        world.on_ready = self._check_ready

    def run(self) -> None:
        """Schedule the edits evenly and run until the system has settled."""
        for number in range(self._edits):
            at = 5.0 + self._seconds * number / self._edits
            self.world.clock.after(at, lambda n=number: self._begin(n))  # type: ignore[misc]
        self.world.clock.run_until(5.0 + self._seconds + SETTLE_SECONDS)

    def _begin(self, number: int) -> None:
        world = self.world
        ready = [node for node in world.nodes.values() if _serves(node)]
        if not ready:
            return
        node = world.random.choice(ready)
        key = RowKey("weight", f"row-{world.random.randrange(ROWS)}")
        in_force = node.relay.table.get(key)
        spec = (
            ""
            if in_force and in_force.spec and world.random.random() < DELETION_FRACTION
            else f"{number}"
        )
        expected = in_force.version if in_force and in_force.spec else 0
        if not spec and not expected:
            return
        edit = EditRow(key, expected, spec, f"change-{number}")
        version = in_force.version if in_force else 0
        machine = EditMachine(edit, version, world.clock.now + EDIT_DEADLINE_SECONDS)
        self._drive(node, edit, machine, machine.begin())

    def _drive(
        self, node: WorldNode, edit: EditRow, machine: EditMachine, effects: list[Any]
    ) -> None:
        """Execute an edit's effects. The edit continues even while its node is paused."""
        world = self.world

        def handle_event(event: Any) -> None:
            self._drive(node, edit, machine, machine.handle(event, world.clock.now))

        for effect in effects:
            if isinstance(effect, EditFinished):
                self._finish(node, edit, effect.reply)
                return
            if node.zone in world.cut_from_store:
                world.clock.after(
                    TIMEOUT_SECONDS, lambda: handle_event(StoreUnanswered(True, "cut off"))
                )
            elif isinstance(effect, ReadRow):
                world.store.read(effect, handle_event)
            else:
                world.store.write(effect, handle_event)
        due = machine.next_wakeup()
        if not effects and due is not None:
            world.clock.after(max(due - world.clock.now, 0.0), lambda: handle_event(Wakeup()))

    def _finish(self, node: WorldNode, edit: EditRow, reply: EditReply) -> None:
        self.ended.append((edit, reply))
        if reply.status is not EditStatus.WRITTEN or reply.current is None:
            return
        accepted = AcceptedEdit(reply.current, self.world.clock.now)
        self.accepted.append(accepted)
        self._open.setdefault(edit.key, []).append(accepted)
        for other in self.world.nodes.values():
            if other.relay.table.version_of(edit.key) >= reply.current.version:
                accepted.applied[other.name] = accepted.at
        self.world.deliver(node, RowWritten(reply.current))

    def _record_applied(self, node: WorldNode, rows: tuple[Row, ...]) -> None:
        now = self.world.clock.now
        for row in rows:
            row_at_node = (node.name, node.incarnation, row.key)
            if row.version <= self._latest_versions.get(row_at_node, 0):
                self.reverted += 1
            self._latest_versions[row_at_node] = row.version
            for accepted in self._open.get(row.key, ()):
                if row.version >= accepted.row.version:
                    accepted.applied.setdefault(node.name, now)

    def _check_ready(self, node: WorldNode) -> None:
        """Check that a node that becomes ready has the edits already in force everywhere."""
        for accepted in self.accepted:
            others = [other for other in self.world.nodes.values() if _serves(other)]
            everywhere = all(other.name in accepted.applied for other in others if other != node)
            old = self.world.clock.now - accepted.at > PROPAGATION_SECONDS
            if everywhere and old and self._lacks(node, accepted.row):
                self.reverted += 1

    def _lacks(self, node: WorldNode, row: Row) -> bool:
        """Return whether the node has an older version, or none without a later deletion."""
        table = node.relay.table
        if table.get(row.key) is not None:
            return table.version_of(row.key) < row.version
        deletions = self.world.store.deletions.get(row.key, ())
        return not any(row.version <= deleted <= table.complete for deleted in deletions)

    def delays(self, with_absent: bool) -> list[float]:
        """Return the time until the last node had each accepted edit (milliseconds), sorted."""
        return sorted(self._delay(accepted, with_absent) for accepted in self.accepted)

    def _delay(self, accepted: AcceptedEdit, with_absent: bool) -> float:
        slowest = 0.0
        for node in self.world.nodes.values():
            applied = accepted.applied.get(node.name, float("inf"))
            delay = applied - accepted.at
            if not with_absent:
                delay -= _absent_within(node, accepted.at, applied)
            slowest = max(slowest, delay)
        return slowest * 1000

    def false_answers(self) -> int:
        """Count duplicate writes, and edits whose answer contradicts the store's history."""
        written = [change for _, change in self.world.store.written]
        wrong = len(written) - len(set(written))
        for edit, reply in self.ended:
            done = edit.change_id in written
            reported_done = reply.status is EditStatus.WRITTEN
            if reply.status is not EditStatus.UNKNOWN and done != reported_done:
                wrong += 1
        return wrong

    def differing_tables(self) -> int:
        """Count the nodes whose rows differ from the store's."""
        stored = {
            RowKey(*found.name): found.version
            for found in self.world.store.objects.list()
            if found.spec["text"]
        }
        differ = 0
        for node in self.world.nodes.values():
            node_rows = {row.key: row.version for row in node.relay.table if row.spec}
            differ += node_rows != stored
        return differ


def _serves(node: WorldNode) -> bool:
    return node.alive and not node.paused and node.relay.ready


def _absent_within(node: WorldNode, begin: float, end: float) -> float:
    """Return for how many seconds of the span the node was dead, paused or cut off."""
    overlaps = (min(until, end) - max(since, begin) for since, until in node.absences)
    return sum(overlap for overlap in overlaps if overlap > 0)


def percentiles(values: list[float]) -> dict[str, float]:
    """Return the p50, p99 and maximum of sorted values."""
    if not values:
        return {}
    last = len(values) - 1
    picks = {"p50": values[last // 2], "p99": values[round(last * 0.99)], "max": values[-1]}
    return {name: round(value, 1) for name, value in picks.items()}


def run_trial(seed: int, zones: int, nodes: int, edits: int, seconds: float) -> TrialResult:
    """Run one trial and return its results."""
    world = World(seed, zones, nodes)
    schedule_faults(world, seconds)
    trial = Trial(world, edits, seconds)
    trial.run()
    outcomes: dict[str, int] = {}
    for _, reply in trial.ended:
        name = reply.status.name.lower()
        outcomes[name] = outcomes.get(name, 0) + 1
    return TrialResult(
        seed=seed,
        nodes=nodes,
        zones=zones,
        edits=len(trial.ended),
        outcomes=outcomes,
        in_force_ms=percentiles(trial.delays(with_absent=False)),
        in_force_with_absent_ms=percentiles(trial.delays(with_absent=True)),
        reverted=trial.reverted,
        lost_or_false_answers=trial.false_answers(),
        tables_differ=trial.differing_tables(),
        store_watches_peak=world.store.watches_peak,
        store_watches_end=len(world.store.watches),
        store_lists=world.store.lists,
        messages_a_node_and_second=round(world.messages / nodes / world.clock.now, 2),
    )


def main(
    seed: Annotated[int, typer.Option(help="Seed of all random choices.")] = 1,
    zones: Annotated[int, typer.Option(help="Zones; three form a region.")] = 6,
    nodes: Annotated[int, typer.Option(help="Total number of nodes.")] = 60,
    edits: Annotated[int, typer.Option(help="Total number of edits.")] = 1_000,
    seconds: Annotated[
        float, typer.Option(help="Virtual duration of the edits (seconds).")
    ] = 600.0,
) -> None:
    """Run one trial; print the results as JSON. Exit code 1: a check failed."""
    result = run_trial(seed, zones, nodes, edits, seconds)
    typer.echo(json.dumps(asdict(result)))
    if result.reverted or result.lost_or_false_answers or result.tables_differ:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
