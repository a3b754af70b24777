"""Tests of the platform adapter's parsers and formatters; no sockets are opened."""

import ast
import gc
import math
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from bramblebeam.core.gateway.statements import Action
from bramblebeam.core.identity import ZERO_POSITION, Position
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.platform.answers import error_code, error_text, refusal_from_error
from bramblebeam.platform.lines import LineBuffer, LineFormatError
from bramblebeam.platform.settings import SettingsError, parse_settings
from bramblebeam.platform.statements import (
    StatementFormatError,
    format_position,
    format_statement,
    parse_position,
    parse_statement,
)
from platform_standins.world import node_settings

SOURCES = Path(__file__).parent.parent / "src" / "bramblebeam"
NOT_RUN_CODES = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}
OTHER_NOT_RUN_CODES = {"MALFORMED", "NOSTMT", "NODB", "NOAUTH"}
TEXTS = [
    "BEGIN",
    "BEGIN READ",
    "COMMIT",
    "ROLLBACK",
    "READ 1a4",
    "WRITE 1a4 x y  z",
    "SET zone a b",
    "PREPARE s1 READ q2c",
    "PREPARE s1 WRITE q2c d",
    "EXEC s1 1a4 xk",
    "DEALLOC s1",
]


@pytest.mark.parametrize("text", TEXTS)
def test_statement_round_trip(text: str) -> None:
    assert format_statement(parse_statement(text)) == text


@pytest.mark.parametrize("text", ["", "READ", "WRITE", "PREPARE s", "PREPARE s READ", "begin"])
def test_invalid_statement_is_rejected(text: str) -> None:
    with pytest.raises(StatementFormatError):
        parse_statement(text)


def test_write_actions() -> None:
    assert parse_statement("WRITE 1a4 x").action is Action.WRITE
    assert parse_statement("PREPARE s WRITE q").action is Action.PREPARE_WRITE


def test_positions() -> None:
    assert parse_position("3.1207") == Position(3, 1207)
    assert parse_position("-") == ZERO_POSITION
    assert format_position(Position(3, 1207)) == "3.1207"
    assert format_position(ZERO_POSITION) == "-"
    with pytest.raises(StatementFormatError):
        parse_position("3")


def test_lines_are_split_across_any_chunk_boundary() -> None:
    buffer = LineBuffer()
    assert buffer.feed(b"READY I") == []
    assert buffer.feed(b" 3.1\r\nROW a\r") == ["READY I 3.1"]
    assert buffer.feed(b"\nDONE") == ["ROW a"]
    with pytest.raises(LineFormatError):
        buffer.feed(b"\xff\r\n")
    with pytest.raises(LineFormatError):
        LineBuffer().feed(b"x" * (1 << 21))


@pytest.mark.parametrize("reason", Reason)
def test_not_run_codes_are_sent_only_if_the_statement_did_not_run(reason: Reason) -> None:
    not_run = error_code(Refusal(Verdict.NOT_RUN, reason))
    assert not_run in NOT_RUN_CODES | OTHER_NOT_RUN_CODES
    for verdict in (Verdict.RAN, Verdict.UNKNOWN):
        assert error_code(Refusal(verdict, reason)) in {"FAILED", "INDOUBT", "TIMEOUT"}


def test_error_text_has_retry_delay_only_if_the_statement_did_not_run() -> None:
    refusal = Refusal(Verdict.NOT_RUN, Reason.NO_PRIMARY, retry_after_ms=70)
    assert error_text(refusal).endswith("retry after 70 ms")
    assert "retry" not in error_text(Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST))


@pytest.mark.parametrize("code", ["BUSY", "NOSTMT", "LAGGING", "READONLY"])
def test_database_error_means_not_run(code: str) -> None:
    assert refusal_from_error(code, "").verdict is Verdict.NOT_RUN


@pytest.mark.parametrize("code", ["FAILED", "TIMEOUT", "NEVER-HEARD"])
def test_database_error_means_may_have_run(code: str) -> None:
    assert refusal_from_error(code, "").verdict is not Verdict.NOT_RUN


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("node_name", None),
        ("bind_addrs", "x"),
        ("bounds", {"grace_period_s": "6"}),
        ("bounds", {"drain_ms": True}),
        ("bounds", {"grace_period_s": -1}),
        ("bounds", {"drain_ms": math.nan}),
        ("bounds", {"config_apply_ms": math.inf}),
        ("platform", {"address": "nowhere"}),
        ("platform", {"address": "127.0.0.1:65536"}),
        # These ended the process with a traceback (ValueError, OverflowError) or were accepted.
        ("platform", {"address": "127.0.0.1:\u00b2"}),
        ("platform", {"address": "127.0.0.1:" + "8" * 5_000}),
        ("platform", {"address": "127.0.0.1:\uff18\uff10"}),
        ("bounds", {"grace_period_s": 10**400}),
        ("inner_ports", [10**400, 1]),
        ("inner_ports", [65_535, 65_536]),
    ],
)
def test_invalid_settings_are_rejected(key: str, value: Any) -> None:
    content = {**node_settings("n", 1), "ip_address": "127.0.0.1", key: value}
    with pytest.raises(SettingsError):
        parse_settings(content)


@pytest.mark.parametrize(
    "text", ["", "3", "3.", ".7", "-1.5", "1.-5", "+1.5", "1. 5", "1_0.5", "x.y", "1.5.6", "1.²"]
)
def test_invalid_position_is_rejected(text: str) -> None:
    with pytest.raises(StatementFormatError):
        parse_position(text)


def test_unknown_settings_are_ignored() -> None:
    settings = parse_settings({**node_settings("n", 1), "unheard_of": {"a": 1}})
    assert settings.node == "n"


@pytest.fixture
def uncollected() -> Iterator[None]:
    """Run no finalizers: one whose error is formatted while a source is parsed fails the parser."""
    gc.disable()
    yield
    gc.enable()


@pytest.mark.usefixtures("uncollected")
def test_platform_names_are_used_only_in_the_adapter() -> None:
    words = {"READONLY", "LAGGING", "MISROUTED", "TOOMANY", "INDOUBT", "NODB", "NOSTMT"}
    words |= {"config_apply_ms", "sync_replicas", "max_staleness_ms", "bind_addrs", "cloud_api"}
    pattern = re.compile("|".join(sorted(words)))
    found = []
    for path in SOURCES.rglob("*.py"):
        if "platform" in path.relative_to(SOURCES).parts[:1]:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            text = node.value if isinstance(node, ast.Constant) else None
            if isinstance(text, str) and pattern.search(text):
                found.append(f"{path}: {text[:60]}")
    assert found == []
