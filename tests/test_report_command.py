"""`bramblebeam report` on the command line."""

import json
import subprocess
import sys
from pathlib import Path

import pytest
from typer.testing import CliRunner, Result

from bramblebeam.cli.main import application
from bramblebeam.cli.report import expand_option
from bramblebeam.events.catalogue import SERVICE_FAILED
from run_logs import attempt, line, missed, proven, refused, start

LINES = [
    *start(0.1, "edge-1"),
    proven(1.0, 1, "db-a"),
    attempt(4.9),
    missed(5.0, "db-a", 800),
    refused(5.6, detail="<b>no</b> [/red]"),
    proven(6.5, 2, "db-b"),
    line(7.0, SERVICE_FAILED, service="feed", error="<script> [/red] \u001b[31m"),
    "not ours",
]
METRICS = (
    'bramblebeam_reads_total{role="replica"} 3.0\nbramblebeam_reads_total{role="primary"} 1.0\n'
)


@pytest.fixture
def log(tmp_path: Path) -> Path:
    file = tmp_path / "edge-1.log"
    file.write_text("\n".join(LINES))
    return file


@pytest.fixture
def metrics(tmp_path: Path) -> list[Path]:
    files = [tmp_path / f"edge-{number}.prom" for number in (1, 2, 3)]
    for file in files:
        file.write_text(METRICS)
    return files


def run(*words: object) -> Result:
    return CliRunner().invoke(application, ["report", *map(str, words)])


def test_help() -> None:
    shown = run("--help")
    assert shown.exit_code == 0
    for option in ("LOG...", "--metrics", "--html", "--rows", "--json"):
        assert option in shown.output
    assert "report" in CliRunner().invoke(application, ["--help"]).output


@pytest.mark.parametrize(
    "shown",
    [
        "nodes that restarted                  0",
        "edge-1  quito-norte  0.01  -0.01      0.50     0.90",
        "db-b    db-a    no answer came in time",
        "deliveries_latest  quito-norte  write   not_run  no_primary  1",
        'service="feed" error="<script> [/red] \\u001b[31m"',
        "edge-1.log  0    0              1",
        "no metrics given",
    ],
)
def test_tables(log: Path, shown: str) -> None:
    found = run(log)
    assert found.exit_code == 0, found.output
    assert shown in found.output


def test_number_of_hidden_rows_is_shown(tmp_path: Path) -> None:
    file = tmp_path / "a.log"
    file.write_text("\n".join(refused(float(second)) for second in range(20)))
    assert " ... 15 more rows" in run(file, "--rows", 5).output


def test_json_is_one_object(log: Path, metrics: list[Path]) -> None:
    found = run(log, "--json", "--metrics", *metrics)
    assert found.exit_code == 0, found.output
    output = json.loads(found.stdout)
    assert output["starts"][0]["node"] == "edge-1"
    assert output["changes"][0]["gap_ms"] == pytest.approx(2_300)
    passed_over = {"source": str(log), "cut": 0, "foreign": 0, "no_json": 1}
    assert output["passed_over"] == [passed_over]
    assert output["metrics"]["replica_read_share"] == 0.75
    assert (output["metrics"]["files"], output["metrics"]["replica_reads"]) == (3, 9)


def test_page_has_plots_and_escapes_log_texts(log: Path, tmp_path: Path) -> None:
    page = tmp_path / "run.html"
    found = run(log, "--html", page)
    assert found.exit_code == 0, found.output
    text = page.read_text()
    assert text.count("data:image/png;base64,") == 3
    assert "&lt;script&gt;" in text
    assert "<script" not in text
    assert not any(reference in text for reference in ("http://", "https://", "href="))


@pytest.mark.parametrize(
    ("words", "message"),
    [
        (["none.log"], "none.log: No such file or directory"),
        (["edge-1.log", "edge-1.prom"], "edge-1.prom: no bramblebeam lines in this log (it is a"),
        (
            ["edge-1.log", "--metrics", "edge-1.log"],
            "edge-1.log: no bramblebeam metrics in this file",
        ),
        (["edge-1.log", "--metrics", "edge-1.prom", "none"], "none: No such file or directory"),
        (["edge-1.log", "--html", "none/run.html"], "none/run.html: No such file or directory"),
        (["."], ".: Is a directory"),
    ],
)
@pytest.mark.usefixtures("log", "metrics")
def test_unreadable_files_are_reported_in_one_line(
    words: list[str], message: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.chdir(tmp_path)
    found = run(*words)
    assert (found.exit_code, found.stdout) == (1, "")
    assert found.stderr.startswith(message)
    assert found.stderr.count("\n") == 1


@pytest.mark.parametrize(
    ("words", "repeated"),
    [
        ("a b", "a b"),
        ("a --metrics b", "a --metrics b"),
        ("a --metrics b c d", "a --metrics b --metrics c --metrics d"),
        ("a --metrics b c --json", "a --metrics b --metrics c --json"),
        ("a --metrics b --rows 3", "a --metrics b --rows 3"),
        ("a --metrics b --metrics c d", "a --metrics b --metrics c --metrics d"),
        ("--metrics=b a", "--metrics=b a"),
        ("--metrics b -- a", "--metrics b -- a"),
        ("--metrics", "--metrics"),
    ],
)
def test_option_accepts_several_files(words: str, repeated: str) -> None:
    assert expand_option(words.split(), "--metrics") == repeated.split()


@pytest.mark.parametrize("module", ["matplotlib", "bramblebeam.lab", "bramblebeam.services"])
def test_report_without_page_does_not_import(module: str) -> None:
    code = (
        "import sys, bramblebeam.cli.report as _;"
        f"sys.exit(any(name.startswith({module!r}) for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
