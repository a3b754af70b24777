"""The relay: trials of many nodes and edits under faults in virtual time, and single relays."""

import pytest

from bramblebeam.core.configuration.edit import StoreRow
from bramblebeam.core.configuration.messages import Changes, EditStatus, Probe
from bramblebeam.core.configuration.relay import ConfigurationRelay
from bramblebeam.core.configuration.relay_events import (
    BecameReady,
    RowsListed,
    RowsWatched,
    RowWritten,
    StoreBehind,
    WatchStore,
)
from bramblebeam.core.configuration.rows import Row, RowKey
from bramblebeam.core.configuration.table import RowTable
from bramblebeam.core.identity import NodeId, ZoneId
from bramblebeam.core.machine import Received, Send
from bramblebeam.lab.configuration.trial import Trial, run_trial
from bramblebeam.lab.configuration.world import World

KEY = RowKey("weight", "a")
NODE = NodeId("n")


def row(version: int, spec: str = "{}", key: RowKey = KEY) -> Row:
    return Row(key, version, spec)


def relay_with(*rows: Row) -> ConfigurationRelay:
    relay = ConfigurationRelay(NODE, ZoneId("z"), True)
    relay.handle(RowsListed(max(row.version for row in rows), tuple(rows)), 0.0)
    return relay


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_under_faults_every_accepted_edit_comes_into_force_and_none_reverts(seed: int) -> None:
    result = run_trial(seed, zones=4, nodes=20, edits=200, seconds=160.0)
    assert result.outcomes["written"] > 100
    assert (result.reverted, result.lost_or_false_answers, result.tables_differ) == (0, 0, 0)
    assert result.in_force_ms["max"] < 9_000
    assert result.store_watches_end == 2 * 4
    assert result.store_watches_peak <= 3 * 4


def test_the_trial_detects_reverted_rows(monkeypatch: pytest.MonkeyPatch) -> None:
    def apply_any_version(table: RowTable, new: Row) -> bool:
        table._rows[new.key] = new
        return True

    monkeypatch.setattr(RowTable, "_apply_one", apply_any_version)
    assert run_trial(1, zones=4, nodes=20, edits=200, seconds=160.0).reverted > 0


def test_the_trial_detects_false_replies(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(StoreRow, "has_change", lambda _row, _change_id: False)
    assert run_trial(1, zones=4, nodes=20, edits=200, seconds=160.0).lost_or_false_answers > 0


def test_a_zone_without_the_store_gets_rows_from_other_zones() -> None:
    world = World(seed=1, zones=3, nodes=9)
    world.clock.run_until(5.0)
    world.cut_from_store.add(ZoneId("zone-01"))
    trial = Trial(world, edits=30, seconds=20.0)
    trial.run()
    statuses = [reply.status for _, reply in trial.ended]
    assert len(trial.accepted) > 15
    assert len(trial.accepted) + statuses.count(EditStatus.UNAVAILABLE) == 30
    assert trial.delays(with_absent=True)[-1] < 9_000


def test_during_a_store_outage_rows_stay_and_new_nodes_get_them_from_peers() -> None:
    world = World(seed=1, zones=2, nodes=8)
    Trial(world, edits=20, seconds=10.0).run()
    before = {name: node.relay.table.digest for name, node in world.nodes.items()}
    world.store.down = True
    world.store.cut_watches()
    replaced = world.nodes[NodeId("node-0003")]
    world.kill(replaced)
    world.clock.run_until(world.clock.now + 15.0)
    world.restart(replaced)
    world.clock.run_until(world.clock.now + 15.0)
    assert {name: node.relay.table.digest for name, node in world.nodes.items()} == before
    assert all(node.relay.ready for node in world.nodes.values())


def test_nodes_that_all_start_during_a_store_outage_are_not_ready() -> None:
    world = World(seed=1, zones=2, nodes=6)
    world.store.down = True
    world.clock.run_until(60.0)
    assert not any(node.relay.ready for node in world.nodes.values())
    world.store.down = False
    world.clock.run_until(90.0)
    assert all(node.relay.ready for node in world.nodes.values())


def test_a_store_restored_to_an_older_state_does_not_revert_rows() -> None:
    relay = relay_with(row(10), row(20, key=RowKey("weight", "b")))
    effects = relay.handle(RowsListed(15, (row(8),)), 1.0)
    assert StoreBehind(15, 20) in effects
    assert [row.version for row in sorted(relay.table)] == [10, 20]
    assert relay.table.complete == 20


def test_a_row_missing_from_a_newer_listing_is_deleted_and_stays_deleted() -> None:
    relay = relay_with(row(10), row(12, key=RowKey("weight", "b")))
    relay.handle(RowsListed(30, (row(12, key=RowKey("weight", "b")),)), 1.0)
    assert relay.table.get(KEY) == row(30, "")
    relay.handle(RowsWatched(31, (row(10),)), 2.0)
    assert relay.table.get(KEY) == row(30, "")


def test_changes_after_a_gap_are_not_complete_until_it_is_filled() -> None:
    relay = relay_with(row(10))
    later = row(14, key=RowKey("weight", "b"))
    relay.handle(Received(NodeId("m"), Changes(13, 14, (later,))), 1.0)
    assert relay.table.complete == 10
    assert relay.table.get(later.key) == later
    missed = row(12, key=RowKey("weight", "c"))
    relay.handle(Received(NodeId("m"), Changes(10, 14, (missed, later))), 2.0)
    assert relay.table.complete == 14


def test_tables_that_differ_without_a_gap_are_repaired_by_buckets() -> None:
    ours, theirs = relay_with(row(10)), relay_with(row(10))
    ahead = row(12, key=RowKey("weight", "b"))
    theirs.handle(RowWritten(ahead), 1.0)
    nodes = {NodeId("ours"): ours, NodeId("theirs"): theirs}
    probe = Probe(theirs.table.complete, theirs.table.digest, ready=True)
    exchange(nodes, [(NodeId("theirs"), Send(NodeId("ours"), probe))])
    assert ours.table.get(ahead.key) == ahead
    assert (ours.table.complete, ours.table.digest) == (10, theirs.table.digest)


def test_a_deletion_that_a_new_reader_never_saw_is_not_undone_by_a_node_that_missed_it() -> None:
    other = row(9, key=RowKey("weight", "b"))
    late = relay_with(row(10), other)
    reader = relay_with(row(15, key=RowKey("weight", "c")), other)
    nodes = {NodeId("late"): late, NodeId("reader"): reader}
    assert reader.table.get(KEY) is None
    probe = Probe(reader.table.complete, reader.table.digest, ready=True)
    exchange(nodes, [(NodeId("reader"), Send(NodeId("late"), probe))])
    assert late.table.get(KEY) == row(15, "")
    assert late.table.digest == reader.table.digest
    assert late.table.complete == 15


def exchange(nodes: dict[NodeId, ConfigurationRelay], messages: list[tuple[NodeId, Send]]) -> None:
    """Deliver messages, and those sent in response, until none is left."""
    while messages:
        sender, send = messages.pop(0)
        effects = nodes[send.to].handle(Received(sender, send.message), 1.0)
        messages += [(send.to, effect) for effect in effects if isinstance(effect, Send)]


def test_an_unrequested_listing_makes_the_relay_ready_without_a_watch() -> None:
    relay = ConfigurationRelay(NODE, ZoneId("z"), True)
    assert not relay.ready
    effects = relay.handle(RowsListed(3, ()), 0.0)
    assert BecameReady("store") in effects
    assert not any(isinstance(effect, WatchStore) for effect in effects)
