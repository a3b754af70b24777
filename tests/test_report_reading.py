"""Parsing of log lines and metrics texts; lines of other programs are skipped."""

import json
from pathlib import Path

import pytest

from bramblebeam.report.reading import files
from bramblebeam.report.reading.files import UnreadableError, read_lines
from bramblebeam.report.reading.lines import Record, SkipReason, parse_record
from bramblebeam.report.reading.metrics_text import Series, read_metrics
from bramblebeam.report.reading.prefix import node_name_in_prefix
from run_logs import proven

OWN = proven(1.0, 2, "db-b")
PLAIN = {
    "time": "2031-05-06T07:08:09+00:00",
    "level": "error",
    "logger": "asyncio",
    "message": "Task exception was never retrieved",
}


def plain(**changed: object) -> str:
    return json.dumps({**PLAIN, **changed})


@pytest.mark.parametrize(
    ("line", "prefix", "event"),
    [
        (OWN, "", 1320),
        (OWN + "\r\n", "", 1320),
        (f"20.1949 edge-1 {OWN}", "20.1949 edge-1 ", 1320),
        (f"{{odd}} | {OWN}", "{odd} | ", 1320),
        (plain(), "", 0),
        (plain(logger="bramblebeam.kernel"), "", 0),
    ],
)
def test_own_line_is_parsed(line: str, prefix: str, event: int) -> None:
    record = parse_record(line)
    assert isinstance(record, Record)
    assert (record.prefix, record.event) == (prefix, event)


@pytest.mark.parametrize(
    ("line", "why"),
    [
        (OWN[:-1], SkipReason.CUT),
        (OWN[:60] + "...", SkipReason.CUT),
        (f"edge-1 {OWN[:30]}", SkipReason.CUT),
        (OWN + OWN, SkipReason.CUT),
        ('{"time": "2031-05-06T07:08:09+00:00", "text": "\\ud800"}', SkipReason.CUT),
        ("", SkipReason.NO_JSON),
        ("Traceback (most recent call last):", SkipReason.NO_JSON),
        ("{", SkipReason.NO_JSON),
        ("{" * 5_000, SkipReason.NO_JSON),
        ('bramblebeam_reads_total{role="replica"} 2.0', SkipReason.NO_JSON),
        ("{}", SkipReason.FOREIGN),
        ('{"ts": 3, "msg": "started"}', SkipReason.FOREIGN),
        (plain(logger="uvicorn.access"), SkipReason.FOREIGN),
        (plain(time="2031-05-06T07:08:09"), SkipReason.FOREIGN),
        (plain(time="soon"), SkipReason.FOREIGN),
        (plain(time=4), SkipReason.FOREIGN),
        (plain(event="click", fields={}), SkipReason.FOREIGN),
        (plain(event=1320, fields=[]), SkipReason.FOREIGN),
        (plain(event=True, fields={}), SkipReason.FOREIGN),
        (plain(logger=7), SkipReason.FOREIGN),
    ],
)
def test_other_line_is_skipped(line: str, why: SkipReason) -> None:
    assert parse_record(line) is why


@pytest.mark.parametrize(
    ("value", "number", "word"),
    [
        (3, 3.0, "3"),
        (0.5, 0.5, "0.5"),
        (None, None, "?"),
        (True, None, "True"),
        ("3", None, "3"),
        (float("inf"), None, "inf"),
        (float("nan"), None, "nan"),
        (10**400, None, str(10**400)),
    ],
)
def test_field_access(value: object, number: float | None, word: str) -> None:
    record = Record(0.0, "info", "bramblebeam", 1320, "", {"field": value})
    assert (record.number_field("field"), record.text_field("field")) == (number, word)
    assert (record.number_field("other"), record.text_field("other")) == (None, "?")


@pytest.mark.parametrize(
    ("prefix", "name"),
    [
        ("", ""),
        ("20.1949 edge-quito-norte-2 ", "edge-quito-norte-2"),
        ("2031-05-06T07:08:09.123Z edge-1 | ", "edge-1"),
        ("[07:08:09,123] [edge-1] ", "edge-1"),
        ("edge-1: ", "edge-1"),
        ("2031-05-06 07:08:09+00:00 ", ""),
        ("17 ", ""),
    ],
)
def test_node_name_in_prefix(prefix: str, name: str) -> None:
    assert node_name_in_prefix(prefix) == name


@pytest.mark.parametrize(
    ("content", "lines"),
    [
        (b"", []),
        (b"one", ["one"]),
        (b"one\n\ntwo\n", ["one\n", "\n", "two\n"]),
        (b"\xff\n", ["\ufffd\n"]),
        (b"123456789012\ntwo\n", ["12345678", "two\n"]),
        (b"1234567890123456\ntwo\n", ["12345678", "two\n"]),
        (b"1234567\ntwo\n", ["1234567\n", "two\n"]),
    ],
)
def test_long_lines_are_truncated(
    content: bytes, lines: list[str], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(files, "MAX_LINE_LENGTH", 8)
    file = tmp_path / "node.log"
    file.write_bytes(content)
    assert list(read_lines(file)) == lines


def test_error_names_the_unreadable_file(tmp_path: Path) -> None:
    for path in (tmp_path, tmp_path / "none.log"):
        with pytest.raises(UnreadableError, match=str(path)):
            list(read_lines(path))


READS = Series("bramblebeam_reads_total", (("role", "replica"),))


@pytest.mark.parametrize(
    ("text", "value", "passed_over"),
    [
        ('bramblebeam_reads_total{role="replica"} 2.0\n', 2.0, 0),
        ('# HELP x\n\nbramblebeam_reads_total{role="replica",} 2 1700000\nother 5\n', 2.0, 0),
        ('bramblebeam_reads_total{role="replica"} 2.0\nbramblebeam_reads_to\n', 2.0, 1),
        ('bramblebeam_reads_total{role="replica"} 2.0\nbramblebeam_x two\n', 2.0, 1),
        ("".join(f'bramblebeam_reads_total{{role="replica"}} {n}\n' for n in (2, 9)), 9.0, 0),
        ("".join(f'bramblebeam_reads_total{{role="replica"}} {n}\n' for n in (9, 2, 4)), 13.0, 0),
    ],
    ids=["one", "others", "cut", "no number", "two scrapes", "a restart between scrapes"],
)
def test_counters_of_metrics_text(
    text: str, value: float, passed_over: int, tmp_path: Path
) -> None:
    file = tmp_path / "node.prom"
    file.write_text(text)
    found = read_metrics(file)
    assert (found.counters, found.passed_over) == ({READS: value}, passed_over)


def test_text_without_bramblebeam_metrics_is_rejected(tmp_path: Path) -> None:
    file = tmp_path / "node.prom"
    file.write_text("process_cpu_seconds_total 4\n")
    with pytest.raises(UnreadableError, match=r"node\.prom: no bramblebeam metrics in this file"):
        read_metrics(file)
