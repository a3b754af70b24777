"""Derives the MySQL column types of a result from the values of its first rows."""

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
    """Return the columns. A column with mixed types or only NULLs becomes text."""
    return tuple(
        ColumnSpec(name, int(_type_of({type(row[index]) for row in rows} - {type(None)})))
        for index, name in enumerate(names)
    )


def _type_of(value_types: set[type]) -> ColumnType:
    if value_types == {int, float}:
        return ColumnType.DOUBLE
    if len(value_types) != 1:
        return ColumnType.VAR_STRING
    return _TYPES.get(next(iter(value_types)), ColumnType.VAR_STRING)
