"""Records of what databases did, the input of the soak's judge."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple


@dataclass(frozen=True)
class Entry:
    """One log entry: the term of a commit and the (key, value) pairs that it wrote."""

    term: int
    values: tuple[tuple[str, str], ...]


Spans = tuple[tuple[int, int], ...]
"""Summary of a log: for each term in it, the term and the number of its last entry.

Each term has one leader that writes its entries, so that a term and a number identify a commit.
"""


def spans_of(log: Sequence[Entry]) -> Spans:
    """Return the summary of a log."""
    spans: list[tuple[int, int]] = []
    end = 0
    while end < len(log):
        term = log[end].term
        end = bisect_right(log, term, lo=end, key=_term_of)
        spans.append((term, end))
    return tuple(spans)


def holds(spans: Spans, term: int, number: int) -> bool:
    """Whether the log with these spans holds a commit."""
    previous_end = 0
    for found, end in spans:
        if found == term:
            return previous_end < number <= end
        previous_end = end
    return False


def _term_of(entry: Entry) -> int:
    return entry.term


class CommitRecord(NamedTuple):
    """A value that a member committed.

    `by_newest_leader`: no newer leader had been promoted. `term`, `number`: position in the log.
    """

    member: str
    key: str
    value: str
    by_newest_leader: bool
    term: int = 0
    number: int = 0


class RunRecord(NamedTuple):
    """A read, write or commit that a member executed.

    `key`, `value`: what was read or written, empty for a commit. `session_values`: session values
    of the connection. `spans`: log that it ran on. `tenant`: tenant of the connection. `time`:
    monotonic clock, seconds.
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
    """A promotion. `spans`: log of the promoted member; `sequence`: event sequence number."""

    member: str
    term: int
    spans: Spans
    sequence: int


@dataclass
class WorkRecord:
    """A read, write or commit at a member. Times: monotonic clock, seconds.

    `ended`: when its answer was due. `broken_off`: whether the member ended the connection before.
    """

    identifier: str
    member: str
    began: float
    ended: float
    broken_off: bool = False
