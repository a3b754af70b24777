"""Literals of prepared statements, and the translation of MySQL statements to SQLite."""

import re
import struct
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bramblebeam.edges.mysql.parameters import (
    PreparedStatement,
    read_parameters,
    split_at_placeholders,
    sql_literal,
)
from bramblebeam.edges.mysql.reader import MalformedPacketError, PacketReader
from bramblebeam.edges.mysql.results import CallerError
from bramblebeam.lab.database.sql import shape_of, translate

DOUBLE, NEWDECIMAL = 5, 246
TEXT = st.text(st.characters(exclude_categories=["Cs"]), max_size=30)
VALUES = st.one_of(
    TEXT,
    st.text(alphabet="'\"\\?`;-/*# \0\n", max_size=12),
    st.binary(min_size=1, max_size=12),
    st.integers(0, 2**63 - 1),
)


@settings(max_examples=300)
@given(st.lists(VALUES, max_size=5))
def test_bound_values_round_trip_and_do_not_change_the_statement(values: list[Any]) -> None:
    sql = "UPDATE t SET a = '?'" + "".join(f", c{index} = ?" for index in range(len(values)))
    statement = PreparedStatement(1, split_at_placeholders(sql))
    assert statement.parameter_count == len(values)
    shape = shape_of(statement.render(values))
    names = iter(f":p{number}" for number in range(1, len(values) + 2))
    assert shape.text == re.sub(r"'\?'|\?", lambda _: next(names), sql)
    assert shape.parameters == ("?", *values)


@given(TEXT, TEXT)
def test_statements_of_one_shape_share_one_translation(first: str, second: str) -> None:
    shapes = [
        shape_of(f"SELECT v FROM t WHERE k = {sql_literal(text)} AND n > 5 /* {number} */")
        for number, text in enumerate((first, second))
    ]
    assert shapes[0].text == shapes[1].text
    assert [shape.parameters for shape in shapes] == [(first, 5), (second, 5)]


def read_bound_value(type_code: int, value: bytes) -> Any:
    packet = b"\0\1" + bytes([type_code, 0]) + value
    return read_parameters(PacketReader(packet), 1, "utf-8", False, None)[0][1]


@pytest.mark.parametrize("value", [float("inf"), float("nan")])
def test_non_finite_doubles_are_refused(value: float) -> None:
    with pytest.raises(MalformedPacketError):
        read_bound_value(DOUBLE, struct.pack("<d", value))


@pytest.mark.parametrize("text", ["1 OR 1=1", "", "1_0", "٣", "1)--", "nan"])
def test_invalid_decimals_are_refused(text: str) -> None:
    data = text.encode()
    with pytest.raises(MalformedPacketError):
        read_bound_value(NEWDECIMAL, bytes([len(data)]) + data)


def test_decimals_keep_their_digits() -> None:
    assert sql_literal(read_bound_value(NEWDECIMAL, b"\x06-12.50")) == "-12.50"


@pytest.mark.parametrize(
    ("mysql", "sqlite"),
    [
        ("SELECT a FROM d.t LIMIT 5, 6", "SELECT a FROM t LIMIT :p2 OFFSET :p1"),
        ("TRUNCATE TABLE d.t", "DELETE FROM t"),
        (
            "CREATE TABLE d.t (a INT, KEY k (a), UNIQUE KEY u (a))",
            "CREATE TABLE t (a INTEGER, UNIQUE (a))",
        ),
        (
            "INSERT INTO t (a) VALUES (1) ON DUPLICATE KEY UPDATE a = VALUES(a) + a",
            "INSERT INTO t (a) VALUES (:p1) ON CONFLICT DO UPDATE SET a = excluded.a + a",
        ),
        (
            "DELETE FROM t WHERE a = 1 LIMIT 2",
            "DELETE FROM t WHERE rowid IN (SELECT rowid FROM t WHERE a = :p1 LIMIT :p2)",
        ),
        ("SELECT `key` FROM `t`", 'SELECT "key" FROM "t"'),
    ],
)
def test_translation(mysql: str, sqlite: str) -> None:
    assert translate(shape_of(mysql).text).sql == sqlite


def test_invalid_or_multiple_statements_are_refused() -> None:
    for sql in ("SELECT 1; DELETE FROM t", "SELECT a FROM t WHERE (", "INSERT INTO t VALUES (1"):
        with pytest.raises(CallerError) as refused:
            translate(shape_of(sql).text)
        assert refused.value.code == 1064
