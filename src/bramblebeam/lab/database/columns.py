"""Gives the columns of a result their MySQL types, by the values in the first rows."""

from collections.abc import Sequence
from typing import Any

from mysql_mimic.types import ColumnType

from bramblebeam.core.statement import ColumnSpec

_TYPES = {
    int: ColumnType.LONGLONG,
    float: ColumnType.DOUBLE,
    bytes: ColumnType.BLOB,
    str: ColumnType.VAR_STRING,
}


def columns_of(names: Sequence[str], rows: Sequence[Sequence[Any]]) -> tuple[ColumnSpec, ...]:
    """Return the columns. One whose values differ in type, or are all NULL, is text."""
    return tuple(
        ColumnSpec(name, int(_type_of({type(row[index]) for row in rows} - {type(None)})))
        for index, name in enumerate(names)
    )


def _type_of(kinds: set[type]) -> ColumnType:
    if kinds == {int, float}:
        return ColumnType.DOUBLE
    if len(kinds) != 1:
        return ColumnType.VAR_STRING
    return _TYPES.get(next(iter(kinds)), ColumnType.VAR_STRING)
