"""Logging that never blocks, and the command that finds the lines of a request id."""

import json
import logging
import os

from typer.testing import CliRunner

from bramblebeam.cli.main import application
from bramblebeam.events import log_event
from bramblebeam.events.bounded import LINES_PER_SECOND, MAXIMUM_LINE_BYTES, BoundedHandler
from bramblebeam.events.catalogue import (
    LINES_LEFT_OUT,
    READINESS_CHANGED,
    REQUEST_ATTEMPT_FAILED,
    REQUEST_REFUSED,
)
from bramblebeam.events.formatting import JsonFormatter


class Output:
    """A pipe with a logger that writes to it, and a clock that is set by hand."""

    def __init__(self, name: str) -> None:
        self.reader, self.writer = os.pipe()
        self.now = 0.0
        self.handler = BoundedHandler(self.writer, lambda: self.now)
        self.handler.setFormatter(JsonFormatter())
        self.logger = logging.Logger(name)
        self.logger.addHandler(self.handler)

    def lines(self) -> list[dict[str, object]]:
        os.set_blocking(self.reader, False)
        data = b""
        try:
            while part := os.read(self.reader, 1 << 16):
                data += part
        except BlockingIOError:
            pass
        return [json.loads(line) for line in data.splitlines()]


def test_lines_over_the_limit_are_counted_and_reported() -> None:
    output = Output("bound")
    for _ in range(LINES_PER_SECOND + 7):
        log_event(output.logger, READINESS_CHANGED, ready=True)
    assert len(output.lines()) == LINES_PER_SECOND
    output.now = 1.0
    log_event(output.logger, READINESS_CHANGED, ready=False)
    dropped, line = output.lines()
    assert dropped["event"] == LINES_LEFT_OUT.number
    assert dropped["fields"] == {"events": {str(READINESS_CHANGED.number): 7}}
    assert line["fields"] == {"ready": False}


def test_logging_does_not_wait_for_an_output_that_is_not_read() -> None:
    output = Output("stopped")
    for second in range(200):
        output.now = float(second)
        for _ in range(LINES_PER_SECOND):
            log_event(output.logger, REQUEST_REFUSED, request="r", detail="x" * 200)
    assert output.handler.left_out[REQUEST_REFUSED.number] > 0
    output.lines()
    output.now += 1
    log_event(output.logger, REQUEST_REFUSED, request="last")
    assert [line["event"] for line in output.lines()] == [
        LINES_LEFT_OUT.number,
        REQUEST_REFUSED.number,
    ]


def test_a_long_line_is_cut() -> None:
    output = Output("long")
    log_event(output.logger, REQUEST_REFUSED, request="r", detail="x" * 10_000)
    assert len(os.read(output.reader, 1 << 16)) == MAXIMUM_LINE_BYTES


def test_explain_gathers_the_lines_of_an_id_and_names_the_deciding_one(tmp_path) -> None:  # type: ignore[no-untyped-def]
    output = Output("explain")
    log_event(output.logger, REQUEST_ATTEMPT_FAILED, request="5c0e", reason="replica_behind")
    log_event(output.logger, REQUEST_REFUSED, request="5c0e", reason="no_primary")
    log_event(output.logger, REQUEST_REFUSED, request="other", reason="deadline")
    text = "\n".join(f"  3.1 node-1 {json.dumps(line)}" for line in output.lines())
    path = tmp_path / "node.log"
    path.write_text(f"not a line\n{text}\n{{broken")
    result = CliRunner().invoke(application, ["explain", "5c0e", str(path)])
    first, second = result.stdout.splitlines()
    assert first.startswith("  ") and "replica_behind" in first
    assert second.startswith("=>") and "no_primary" in second
    assert CliRunner().invoke(application, ["explain", "none", str(path)]).exit_code == 1
    missing = CliRunner().invoke(application, ["explain", "5c0e", str(tmp_path / "none")])
    assert missing.exit_code == 2
