"""Finds and mends differences between two tables that no gap in the versions explains.

One side sends the digests of its buckets; the other answers with the versions of the rows in the
buckets that differ; the first then asks for the rows that it lacks and gives those it has newer.
"""

from typing import Any

from bramblebeam.core.configuration.messages import (
    BucketDigests,
    BucketVersions,
    RowsGiven,
    RowsWanted,
)
from bramblebeam.core.configuration.rows import Row, RowKey
from bramblebeam.core.configuration.table import RowTable
from bramblebeam.core.identity import NodeId
from bramblebeam.core.machine import Send

BUCKETS_A_MESSAGE = 16
ROWS_A_MESSAGE = 200


def begin_repair(table: RowTable, peer: NodeId) -> list[Any]:
    """Return the first message of a repair with `peer`."""
    return [Send(peer, BucketDigests(table.bucket_digests))]


def continue_repair(
    table: RowTable, peer: NodeId, message: BucketDigests | RowsWanted
) -> list[Any]:
    """Return the answer to a message of a repair."""
    match message:
        case BucketDigests(digests):
            return _answer_digests(table, peer, digests)
        case RowsWanted(keys):
            return [Send(peer, RowsGiven(_rows(table, keys[:ROWS_A_MESSAGE])))]


def _answer_digests(table: RowTable, peer: NodeId, digests: tuple[int, ...]) -> list[Any]:
    buckets = table.differing_buckets(digests, BUCKETS_A_MESSAGE)
    if not buckets:
        return []
    versions = tuple(table.versions_in(buckets))
    return [Send(peer, BucketVersions(tuple(buckets), versions, table.floor))]


def deletions_told(table: RowTable, told: BucketVersions) -> list[Row]:
    """Return the deletions that follow from rows being absent at the peer."""
    theirs = {key for key, _ in told.versions}
    mine = table.versions_in(told.buckets)
    absent = [key for key, version in mine if key not in theirs and version < told.floor]
    return [Row(key, told.floor, "") for key in absent if _is_live(table, key)]


def answer_versions(table: RowTable, peer: NodeId, told: BucketVersions) -> list[Any]:
    """Ask for the rows that are newer at the peer; give those newer here."""
    theirs = dict(told.versions)
    mine = dict(table.versions_in(told.buckets))
    newer = [key for key, version in theirs.items() if version > mine.get(key, 0)]
    deleted = [key for key in newer if key not in mine and theirs[key] < table.floor]
    wanted = [key for key in newer if key not in deleted]
    given = [key for key, version in mine.items() if version > theirs.get(key, 0)]
    rows = _rows(table, given) + tuple(Row(key, table.floor, "") for key in deleted)
    effects: list[Any] = []
    if wanted:
        effects.append(Send(peer, RowsWanted(tuple(wanted[:ROWS_A_MESSAGE]))))
    if rows:
        effects.append(Send(peer, RowsGiven(rows[:ROWS_A_MESSAGE])))
    return effects


def _is_live(table: RowTable, key: RowKey) -> bool:
    row = table.get(key)
    return row is not None and bool(row.spec)


def _rows(table: RowTable, keys: list[RowKey] | tuple[RowKey, ...]) -> tuple[Row, ...]:
    found = (table.get(key) for key in keys)
    return tuple(row for row in found if row is not None)
