"""What an operator sees of the queues before databases, as one node has them."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import NamedTuple

from bramblebeam.services.gateway.pool import DatabasePool

_MILLISECONDS = 1_000


class QueueRow(NamedTuple):
    """The queue of one database at one node.

    `slots`: statements that the database runs at a time. `under_way`: those that this node has
    there. `waiting`: those that wait here. `wait_ms`, `service_ms`: until one that comes now would
    begin, and how long it would take then (milliseconds). `connections`: in use by statements and
    transactions, those that rest included.
    """

    group: str
    instance: str
    role: str
    slots: int
    under_way: int
    waiting: int
    wait_ms: int
    service_ms: int
    connections: int


def queue_rows(pools: Iterable[DatabasePool]) -> list[QueueRow]:
    """Return a row for each database whose statements are queued here, the longest wait first."""
    rows = [row for pool in pools if (row := _row_of(pool)) is not None]
    return sorted(rows, key=lambda row: (-row.wait_ms, row.group, row.instance))


def queues_as_json(pools: Iterable[DatabasePool]) -> bytes:
    """Return the rows as a JSON list of objects, for `bramblebeam queues`."""
    return json.dumps([row._asdict() for row in queue_rows(pools)]).encode()


def _row_of(pool: DatabasePool) -> QueueRow | None:
    if pool.slots is None:
        return None
    load = pool.slots.load()
    return QueueRow(
        pool.entry.group,
        pool.entry.instance,
        pool.entry.role.name.lower(),
        pool.entry.slots,
        pool.slots.under_way,
        pool.slots.waiting,
        round(load.wait * _MILLISECONDS),
        round(load.service * _MILLISECONDS),
        pool.checked_out,
    )
