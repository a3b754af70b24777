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
    table: RowTable, peer: NodeId, message: BucketDigests | BucketVersions | RowsWanted
) -> list[Any]:
    """Return the answer to a message of a repair."""
    match message:
        case BucketDigests(digests):
            return _answer_digests(table, peer, digests)
        case BucketVersions():
            return _answer_versions(table, peer, message)
        case RowsWanted(keys):
            return [Send(peer, RowsGiven(_rows(table, keys[:ROWS_A_MESSAGE])))]


def _answer_digests(table: RowTable, peer: NodeId, digests: tuple[int, ...]) -> list[Any]:
    buckets = table.differing_buckets(digests, BUCKETS_A_MESSAGE)
    if not buckets:
        return []
    return [Send(peer, BucketVersions(tuple(buckets), tuple(table.versions_in(buckets))))]


def _answer_versions(table: RowTable, peer: NodeId, told: BucketVersions) -> list[Any]:
    theirs = dict(told.versions)
    mine = dict(table.versions_in(told.buckets))
    wanted = [key for key, version in theirs.items() if version > mine.get(key, 0)]
    given = [key for key, version in mine.items() if version > theirs.get(key, 0)]
    effects: list[Any] = []
    if wanted:
        effects.append(Send(peer, RowsWanted(tuple(wanted[:ROWS_A_MESSAGE]))))
    if given:
        effects.append(Send(peer, RowsGiven(_rows(table, given[:ROWS_A_MESSAGE]))))
    return effects


def _rows(table: RowTable, keys: list[RowKey] | tuple[RowKey, ...]) -> tuple[Row, ...]:
    found = (table.get(key) for key in keys)
    return tuple(row for row in found if row is not None)
