"""Conversion of database servers' and nodes' records to history records."""

import json
from pathlib import Path

from bramblebeam.lab.collect import _statements, markers_of, node_facts
from bramblebeam.lab.history.records import BackendStatement, NodeStarted, RowInForce


def test_markers_in_statements_of_the_load() -> None:
    assert markers_of(
        "/* bramblebeam_request=r1 */ UPDATE entries SET v = 'w7' WHERE k = 'k1'"
    ) == ["w7"]
    assert markers_of("INSERT INTO entries (k, v) VALUES ('k1', 'first-1')") == ["first-1"]
    assert markers_of("SELECT k, v FROM entries WHERE k = 'k1'") == []


def statement(
    time: float, sql: str, in_transaction: bool, connection: int = 5
) -> dict[str, object]:
    return {
        "time": time,
        "connection": connection,
        "user": "bramblebeam",
        "in_transaction": in_transaction,
        "sql": sql,
    }


def test_transaction_belongs_to_the_session_of_its_first_write() -> None:
    records = [
        statement(1.0, "BEGIN", False),
        statement(2.0, "UPDATE entries SET v = 'w1' WHERE k = 'k1'", True),
        statement(3.0, "UPDATE entries SET v = 'w2' WHERE k = 'k2'", True),
        statement(4.0, "COMMIT", True),
        statement(5.0, "SHOW BRAMBLEBEAM STATUS", False),
    ]
    facts = list(_statements("db", 0, records, {"w1": "one", "w2": "two"}))
    found = [(f.operation, f.session) for f in facts if isinstance(f, BackendStatement)]
    expected = [("begin", "one"), ("statement", "one"), ("statement", "two"), ("commit", "one")]
    assert found == expected
    assert len(facts) - len(found) == 1


def test_a_reset_rolls_back_an_uncommitted_transaction() -> None:
    records = [
        statement(1.0, "BEGIN", False),
        statement(2.0, "UPDATE entries SET v = 'w1' WHERE k = 'k1'", True),
        statement(3.0, "UPDATE entries SET v = 'w2' WHERE k = 'k2'", False),
    ]
    facts = list(_statements("db", 0, records, {"w1": "one", "w2": "two"}))
    found = [(f.operation, f.session) for f in facts if isinstance(f, BackendStatement)]
    assert found == [("begin", "one"), ("statement", "one"), ("rollback", "one")]


def test_node_facts_yield_starts_and_rows_in_force(tmp_path: Path) -> None:
    log = tmp_path / "node.log"
    time = "2026-12-02T07:46:08.822343+00:00"
    fields = {"kind": "weight", "name": "a", "version": 7}
    lines = [
        json.dumps({"time": time, "event": 1101, "fields": {}}),
        json.dumps({"time": time, "event": 1502, "fields": {}}),
        json.dumps({"time": time, "event": 1507, "fields": fields}),
        "not an event",
    ]
    log.write_text("\n".join(lines))
    started, row = node_facts("n", log)
    assert isinstance(started, NodeStarted)
    assert isinstance(row, RowInForce)
    assert (row.key, row.version, row.time) == ("weight/a", 7, started.time)
