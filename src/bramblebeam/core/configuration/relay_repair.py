"""Anti-entropy: repairs two tables that differ although neither node lacks a known change.

One node sends the digests of its buckets. The other replies with the versions of the rows in the
buckets that differ. The first then requests the rows that are newer there and sends those that are
newer here.
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

BUCKETS_PER_MESSAGE = 16
ROWS_PER_MESSAGE = 200


def begin_repair(table: RowTable, peer: NodeId) -> list[Any]:
    """Return the first message of a repair with `peer`."""
    return [Send(peer, BucketDigests(table.bucket_digests))]


def continue_repair(
    table: RowTable, peer: NodeId, message: BucketDigests | RowsWanted
) -> list[Any]:
    """Return the reply to a message of a repair."""
    match message:
        case BucketDigests(digests):
            return _answer_digests(table, peer, digests)
        case RowsWanted(keys):
            return [Send(peer, RowsGiven(_rows(table, keys[:ROWS_PER_MESSAGE])))]


def _answer_digests(table: RowTable, peer: NodeId, digests: tuple[int, ...]) -> list[Any]:
    buckets = table.differing_buckets(digests, BUCKETS_PER_MESSAGE)
    if not buckets:
        return []
    versions = tuple(table.versions_in(buckets))
    return [Send(peer, BucketVersions(tuple(buckets), versions, table.floor))]


def implied_deletions(table: RowTable, message: BucketVersions) -> list[Row]:
    """Return the deletions implied by rows that are absent at the peer and below its floor."""
    theirs = {key for key, _ in message.versions}
    mine = table.versions_in(message.buckets)
    absent = [key for key, version in mine if key not in theirs and version < message.floor]
    return [Row(key, message.floor, "") for key in absent if _is_live(table, key)]


def answer_versions(table: RowTable, peer: NodeId, message: BucketVersions) -> list[Any]:
    """Request the rows that are newer at the peer; send those that are newer here."""
    theirs = dict(message.versions)
    mine = dict(table.versions_in(message.buckets))
    newer_there = [key for key, version in theirs.items() if version > mine.get(key, 0)]
    deleted = [key for key in newer_there if key not in mine and theirs[key] < table.floor]
    wanted = [key for key in newer_there if key not in deleted]
    newer_here = [key for key, version in mine.items() if version > theirs.get(key, 0)]
    rows = _rows(table, newer_here) + tuple(Row(key, table.floor, "") for key in deleted)
    effects: list[Any] = []
    if wanted:
        effects.append(Send(peer, RowsWanted(tuple(wanted[:ROWS_PER_MESSAGE]))))
    if rows:
        effects.append(Send(peer, RowsGiven(rows[:ROWS_PER_MESSAGE])))
    return effects


def _is_live(table: RowTable, key: RowKey) -> bool:
    row = table.get(key)
    return row is not None and bool(row.spec)


def _rows(table: RowTable, keys: list[RowKey] | tuple[RowKey, ...]) -> tuple[Row, ...]:
    found = (table.get(key) for key in keys)
    return tuple(row for row in found if row is not None)
