"""What databases did, as a judge reads it."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True)
class Entry:
    """One commit: its term and the values it wrote."""

    term: int
    values: tuple[tuple[str, str], ...]


Spans = tuple[tuple[int, int], ...]
"""A log in short: for each term in it, the term and the number of its last entry.

One leader a term writes the entries of that term, so that a term and a number name one commit.
"""


def spans_of(log: Sequence[Entry]) -> Spans:
    """Return what a log holds."""
    spans: list[tuple[int, int]] = []
    end = 0
    while end < len(log):
        term = log[end].term
        end = bisect_right(log, term, lo=end, key=_term_of)
        spans.append((term, end))
    return tuple(spans)


def holds(spans: Spans, term: int, number: int) -> bool:
    """Whether a log holds a commit."""
    begin = 0
    for found, end in spans:
        if found == term:
            return begin < number <= end
        begin = end
    return False


def _term_of(entry: Entry) -> int:
    return entry.term


class CommitRecord(NamedTuple):
    """A value as a member committed it. `by_newest_leader`: no newer one had been promoted.

    `term` and `number`: its position in the log.
    """

    member: str
    key: str
    value: str
    by_newest_leader: bool
    term: int = 0
    number: int = 0


class RunRecord(NamedTuple):
    """A read, write or commit as a member ran it.

    `key` and `value`: what it read or wrote, empty for a commit. `session_values`: those that its
    connection had. `spans`: the log on which it ran. `tenant`: whom its connection named. `time`:
    steady clock, seconds.
    """

    identifier: str
    member: str
    action: str
    key: str
    value: str
    session_values: frozenset[tuple[str, str]]
    spans: Spans
    tenant: str = ""
    time: float = 0.0


class PromotionRecord(NamedTuple):
    """A member that was promoted, with what it had received. `moment`: its place in the order."""

    member: str
    term: int
    spans: Spans
    moment: int
