"""Figures computed from histories, the report page and the comparison."""

from pathlib import Path

from typer.testing import CliRunner

from bramblebeam.lab.cli import application
from bramblebeam.lab.collect import ServedRead
from bramblebeam.lab.history import History
from bramblebeam.lab.history.records import (
    EditAccepted,
    FaultInjected,
    NodeStarted,
    RequestAnswered,
    RequestSent,
    RowInForce,
)
from bramblebeam.lab.measures import delays, edit_spreads, failover_gaps, fault_spans, time_bins
from bramblebeam.lab.result import EditSpread, FaultSpan, RunResult, TimeBin


def write(number: int, sent: float, answered: float, outcome: str = "ok") -> list[object]:
    name = f"r{number}"
    return [
        RequestSent(sent, "n", "s", name, "g", "write", "k", f"w{number}"),
        RequestAnswered(answered, "n", "s", name, outcome),  # type: ignore[arg-type]
    ]


def test_failover_gap_is_longest_time_without_acknowledged_write() -> None:
    history = History([FaultInjected(10.0, "primary_kill", "g", True)])
    for number, (sent, answered) in enumerate([(9.9, 9.95), (10.1, 11.2), (11.3, 11.31)]):
        history.extend(write(number, sent, answered))
    history.extend(write(9, 10.0, 10.2, outcome="unknown"))
    assert failover_gaps(history) == [1250.0]


def test_failover_gap_without_later_write_is_whole_window() -> None:
    history = History([FaultInjected(10.0, "primary_cut", "g", True)])
    assert failover_gaps(history) == [10_000.0]


def test_edit_is_in_force_with_its_own_or_a_later_version() -> None:
    history = History(
        [
            EditAccepted(5.0, "weight/a", 7),
            RowInForce(4.0, "n1", "weight/a", 6),
            RowInForce(5.2, "n1", "weight/a", 7),
            RowInForce(5.5, "n2", "weight/a", 8),
            RowInForce(5.1, "n2", "weight/b", 7),
        ]
    )
    (spread,) = edit_spreads(history, 1.0, {("weight/a", 7): 4.9})
    assert (spread.at, spread.delays_ms) == (3.9, {"n1": 300.0, "n2": 600.0})


def test_edit_delay_at_stopped_node_counts_from_its_start() -> None:
    history = History(
        [
            EditAccepted(5.0, "weight/a", 7),
            NodeStarted(8.0, "n1"),
            RowInForce(8.3, "n1", "weight/a", 7),
            NodeStarted(9.0, "n1"),
        ]
    )
    (spread,) = edit_spreads(history, 0.0, {})
    assert spread.delays_ms == {"n1": 300.0}


def test_fault_spans_and_time_bins() -> None:
    history = History(
        [
            FaultInjected(2.0, "store_down", "", True),
            FaultInjected(3.0, "store_down", "", False),
            *write(1, 1.6, 1.7, outcome="not_run"),
        ]
    )
    assert fault_spans(history, 1.0) == [
        FaultSpan(kind="store_down", target="", begin=1.0, end=2.0)
    ]
    reads = [ServedRead(1.55, True), ServedRead(1.8, False), ServedRead(9.0, True)]
    one = time_bins([(1.6, 4.0), (1.9, 8.0)], reads, history, 1.0)[0]
    assert (one.start, one.requests, one.errors, one.p50_ms, one.p99_ms) == (0.5, 2, 1, 4.0, 8.0)
    assert one.replica_read_share == 0.5


def test_percentiles() -> None:
    found = delays([float(value) for value in range(1, 101)])
    assert (found.p50, found.p99, found.max, found.count) == (50.0, 99.0, 100.0, 100)
    assert delays([]).p50 is None


def sample_result(share: float) -> RunResult:
    bins = [
        TimeBin(start=at / 2, requests=9, p50_ms=2.0, p99_ms=9.0, replica_read_share=share)
        for at in range(20)
    ]
    return RunResult(
        scenario="sample",
        seed=1,
        mode="processes",
        nodes=3,
        statements=180,
        invariant_violations={"at_most_once": 0},
        replica_read_share=share,
        failover_gap_ms=[812.0],
        duration_seconds=10.0,
        faults=[FaultSpan(kind="primary_kill", target="g", begin=3.0, end=5.0)],
        bins=bins,
        edits=[EditSpread(at=4.0, row="weight/a", version=3, delays_ms={"n1": 20.0})],
    )


def test_report_page_contains_every_plot(tmp_path: Path) -> None:
    file = tmp_path / "run.json"
    file.write_text("a line before\n" + sample_result(0.97).model_dump_json() + "\n")
    run = CliRunner().invoke(application, ["report", str(file)])
    assert run.exit_code == 0, run.output
    page = (tmp_path / "run.html").read_text()
    assert page.count("data:image/png;base64,") == 4
    assert "97.00%" in page


def test_comparison_shows_both_runs(tmp_path: Path) -> None:
    files = []
    for name, share in (("a", 0.91), ("b", 0.98)):
        file = tmp_path / f"{name}.json"
        file.write_text(sample_result(share).model_dump_json())
        files.append(str(file))
    run = CliRunner().invoke(application, ["compare", *files])
    assert run.exit_code == 0, run.output
    assert "91.00%" in run.output
    assert "98.00%" in run.output


def test_invalid_result_file_is_rejected(tmp_path: Path) -> None:
    file = tmp_path / "run.json"
    file.write_text("{}")
    assert CliRunner().invoke(application, ["report", str(file)]).exit_code == 2
