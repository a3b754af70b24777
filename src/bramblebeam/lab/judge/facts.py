"""Indexes over a history that several judges share."""

from dataclasses import dataclass

from bramblebeam.lab.history.records import (
    BackendCommitted,
    RequestAnswered,
    RequestSent,
    RunEnded,
)
from bramblebeam.lab.history.store import History

LogPosition = tuple[int, int]
"""A position in the log of a group: (term, offset)."""


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request and its answers, as its caller saw them. `sent` is the first attempt."""

    sent: RequestSent
    answers: tuple[RequestAnswered, ...]

    @property
    def outcome(self) -> str:
        """The final outcome as the caller knows it; `lost` without any answer."""
        return self.answers[-1].outcome if self.answers else "lost"


class HistoryIndex:
    """Indexes over one history, built once for all judges."""

    def __init__(self, history: History) -> None:
        self.history = history
        self.exchanges = _exchanges(history)
        self.committed = _committed(history)
        self._answered = _answered(self.exchanges)
        self._transactions = {
            exchange.sent.value: exchange.sent.transaction
            for exchange in self.exchanges.values()
            if exchange.sent.value
        }
        ended = history.of(RunEnded)
        self.end = ended[-1].time if ended else max((r.time for r in history), default=0.0)
        self._complete = bool(ended) and ended[-1].logs_complete
        self._incomplete_groups = frozenset(ended[-1].incomplete_groups) if ended else frozenset()

    def position_of(self, value: str) -> LogPosition | None:
        """Return the position of the write of `value`.

        It comes from the back ends' logs or else from the answer to the write.
        """
        positions = self.committed.get(value)
        return max(positions) if positions else self._answered.get(value)

    def transaction_of(self, value: str) -> str:
        """Return the transaction that wrote `value`, or an empty string."""
        return self._transactions.get(value, "")

    def log_complete(self, group: str) -> bool:
        """Return whether the history has every committed write of the group."""
        return self._complete and group not in self._incomplete_groups


def _exchanges(history: History) -> dict[str, Exchange]:
    sent: dict[str, RequestSent] = {}
    answers: dict[str, list[RequestAnswered]] = {}
    for record in history:
        if isinstance(record, RequestSent):
            sent.setdefault(record.request, record)
        elif isinstance(record, RequestAnswered):
            answers.setdefault(record.request, []).append(record)
    return {name: Exchange(first, tuple(answers.get(name, ()))) for name, first in sent.items()}


def _committed(history: History) -> dict[str, dict[LogPosition, list[BackendCommitted]]]:
    """Return the commit records of each marker, grouped by position."""
    by_value: dict[str, dict[LogPosition, list[BackendCommitted]]] = {}
    for record in history.of(BackendCommitted):
        positions = by_value.setdefault(record.value, {})
        positions.setdefault((record.term, record.offset), []).append(record)
    return by_value


def _answered(exchanges: dict[str, Exchange]) -> dict[str, LogPosition]:
    """Return the position that the answer of each acknowledged write carried."""
    return {
        exchange.sent.value: (exchange.answers[-1].term, exchange.answers[-1].offset)
        for exchange in exchanges.values()
        if exchange.sent.value and exchange.outcome == "ok" and exchange.answers[-1].offset
    }
