"""Checks that planned stops of nodes leave no statement without an answer (rule LOST).

The bounds are those of the rule, in terms of the grace period where it has such. A node has read a
statement if a database received it, or if its connection ended later than LOSS_SLACK_SECONDS after
it was sent.
"""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from platform_standins.records import WorkRecord
from soak.history import NO_ANSWER, Statement
from soak.judge import Violation
from soak.node_process import StopRecord

LOSS_SLACK_SECONDS = 0.2
"""Time after which a node counts as having read a statement; the setting loss_slack_ms."""
AFTER_GRACE_SECONDS = 1.0
"""How long after the grace period the rule applies."""
LATE_SHARE = 5 / 6
"""Share of the grace period after which a database's work excuses a statement without answer."""
SENT_SHARE = 1 / 2
"""Share of the grace period in which such a statement was sent (the rule: 3 s of 6 s)."""
TICK_SECONDS = 0.02
"""Interval at which the soak's own event loop is checked (seconds)."""


class Stalls:
    """Times in which the soak's own process stood still, so that it noticed ends too late."""

    def __init__(self) -> None:
        self._found: list[tuple[float, float]] = []

    async def watch(self) -> None:
        """Record stalls, until cancelled."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            if now - last > 2 * TICK_SECONDS:
                self.add(last + TICK_SECONDS, now)
            last = now

    def add(self, begin: float, end: float) -> None:
        """Record a stall (monotonic clock, seconds)."""
        self._found.append((begin, end))

    def between(self, begin: float, end: float) -> float:
        """Return how long the process stood still in an interval (seconds)."""
        return sum(
            max(0.0, min(end, stalled_to) - max(begin, stalled_from))
            for stalled_from, stalled_to in self._found
        )


class StopRecords(NamedTuple):
    """What a run recorded. `stops`: by index of the node. Durations: seconds."""

    statements: Sequence[Statement]
    stops: dict[int, Sequence[StopRecord]]
    works: Sequence[WorkRecord]
    timeout: float
    grace: float
    stalls: Stalls


class StopFindings(NamedTuple):
    """Statements without an answer. `unread`: those that the node had not read, no violations."""

    lost: list[Violation]
    excused: list[Statement]
    unread: list[Statement]


def judge_stops(records: StopRecords) -> StopFindings:
    """Sort the statements that had no answer by whether they violate the rule."""
    works: dict[str, list[WorkRecord]] = defaultdict(list)
    for work in records.works:
        works[work.identifier].append(work)
    findings = StopFindings([], [], [])
    for statement, stopped_at in _cut_around_stops(records):
        received = works[statement.identifier]
        after = statement.ended_at - stopped_at
        if not _was_read(statement, received, records.stalls):
            findings.unread.append(statement)
        elif _is_excused(statement, stopped_at, received, records):
            findings.excused.append(statement)
        else:
            where = f"at {received[-1].member}" if received else "at no database"
            held = round(1000 * (statement.ended_at - statement.sent_at))
            detail = f"cut {after:.3f} s after SIGTERM, sent {held} ms before, {where}"
            findings.lost.append(Violation("LOST", statement, detail))
    return findings


def _cut_around_stops(records: StopRecords) -> Iterator[tuple[Statement, float]]:
    """Yield the statements without an answer around a stop of their process, and its time."""
    until = records.grace + AFTER_GRACE_SECONDS
    for statement in records.statements:
        if statement.code != NO_ANSWER or statement.timed_out:
            continue
        for stop in records.stops.get(statement.node, ()):
            is_of_process = stop.start_number == statement.start_number
            if is_of_process and 0 <= statement.ended_at - stop.time <= until:
                yield statement, stop.time


def _was_read(statement: Statement, received: Sequence[WorkRecord], stalls: Stalls) -> bool:
    held = statement.ended_at - statement.sent_at
    held -= stalls.between(statement.sent_at, statement.ended_at)
    return bool(received) or held > LOSS_SLACK_SECONDS


def _is_excused(
    statement: Statement, stopped_at: float, received: Sequence[WorkRecord], records: StopRecords
) -> bool:
    if statement.ended_at - statement.sent_at >= records.timeout:
        return True
    if any(work.broken_off for work in received):
        return True
    was_sent_early = statement.sent_at - stopped_at <= records.grace * SENT_SHARE
    late = stopped_at + records.grace * LATE_SHARE
    return was_sent_early and any(work.ended >= late for work in received)
