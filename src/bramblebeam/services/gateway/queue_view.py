"""The queues before databases at one node, as shown to an operator."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import NamedTuple

from bramblebeam.services.gateway.pool import DatabasePool

_MILLISECONDS = 1_000


class QueueRow(NamedTuple):
    """The queue of one database at one node.

    `slots`: statements that the database runs at a time. `under_way`: this node's statements in
    flight there. `waiting`: statements queued at this node. `wait_ms`, `service_ms`: how long a
    statement that arrives now would wait, and then run (milliseconds). `connections`: in use by
    statements and transactions, idle transactions included.
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
    """Return a row for each database with a queue at this node, the longest wait first."""
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
        pool.slots.in_flight,
        pool.slots.waiting,
        round(load.wait * _MILLISECONDS),
        round(load.service * _MILLISECONDS),
        pool.checked_out,
    )
