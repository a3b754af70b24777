"""State machine of one operator's edit of one row, applied at most once.

Every write is conditional on the version that the operator saw. If the reply to a write is lost,
the row is read back, and the change ids stored with it show whether the write took effect. If it
did not, it is safe to send it again under the same condition. A deleted row stays in the store
with an empty spec, which keeps its change ids. The first creation of a row leaves no such record
if it fails, and neither does an object removed by other means: these outcomes can stay unknown.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from bramblebeam.core.configuration.messages import EditReply, EditRow, EditStatus
from bramblebeam.core.configuration.rows import Row, RowKey
from bramblebeam.core.machine import Wakeup

PREVIOUS_CHANGES = 8
"""Number of earlier change ids stored with a row."""

RETRY_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class StoreRow:
    """A row with the metadata stored beside it.

    `previous_changes`: the history ids of the versions before this one, newest first.
    """

    row: Row
    operator: str = ""
    previous_changes: tuple[str, ...] = ()

    def has_change(self, change_id: str) -> bool:
        """Whether the change made this version or one of those in `previous_changes`."""
        return change_id == self.row.change_id or change_id in self.previous_changes

    @property
    def history_id(self) -> str:
        """The id under which later versions list this one in `previous_changes`."""
        return self.row.change_id or f"version-{self.row.version}"


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Effect: read the row from the store; answered by `RowRead` or `StoreUnanswered`."""

    key: RowKey


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Effect: create the row (version 0) or replace it at `row.version`; an empty spec deletes it.

    Answered by `RowAccepted`, `RowConflicted`, `RowRejected` or `StoreUnanswered`.
    """

    written: StoreRow


@dataclass(frozen=True, slots=True)
class EditFinished:
    """Effect: the edit has ended with this reply."""

    reply: EditReply


@dataclass(frozen=True, slots=True)
class RowRead:
    """The row in the store (None: it does not exist)."""

    found: StoreRow | None


@dataclass(frozen=True, slots=True)
class RowAccepted:
    """The store accepted the write; `row` has its new version."""

    row: Row


@dataclass(frozen=True, slots=True)
class RowConflicted:
    """The store refused the write because the row is at another version."""


@dataclass(frozen=True, slots=True)
class RowRejected:
    """The store refused the write as invalid."""

    detail: str


@dataclass(frozen=True, slots=True)
class StoreUnanswered:
    """The store did not reply. `sent` False: the request certainly did not reach it."""

    sent: bool
    detail: str


class _State(Enum):
    READING = 1
    WRITING = 2
    WAITING = 3
    FINISHED = 4


class EditMachine:
    """Carries out one edit.

    `in_force`: the row's version in force at this node. `deadline`: when it must end (seconds).
    """

    def __init__(self, edit: EditRow, in_force: int, deadline: float) -> None:
        self._edit = edit
        self._in_force = in_force
        self._deadline = deadline
        self._state = _State.WAITING
        self._retry_at = 0.0
        self._in_doubt = False
        self._base: StoreRow | None = None
        self._write_sent = False
        self._detail = ""

    def begin(self) -> list[Any]:
        """Return the first effects."""
        return self._read()

    def handle(self, event: Any, now: float) -> list[Any]:
        """Handle one event; return the effects."""
        if self._state is _State.FINISHED:
            return []
        if isinstance(event, Wakeup):
            return self._handle_wakeup(now)
        return self._handle_store_event(event, now)

    def _handle_store_event(self, event: Any, now: float) -> list[Any]:
        match event:
            case RowRead(found):
                return self._decide(found, now)
            case RowAccepted(row):
                return self._finish(EditReply(EditStatus.WRITTEN, row))
            case RowConflicted():
                return self._read()
            case RowRejected(detail):
                return self._handle_rejected(detail, now)
            case StoreUnanswered():
                return self._handle_unanswered(event, now)
            case _:
                raise TypeError(f"unknown event {type(event).__name__}")

    def next_wakeup(self) -> float | None:
        """Return when `Wakeup` is due (seconds)."""
        match self._state:
            case _State.FINISHED:
                return None
            case _State.WAITING:
                return min(self._retry_at, self._deadline)
            case _:
                return self._deadline

    def _handle_wakeup(self, now: float) -> list[Any]:
        if now >= self._deadline:
            return self._time_out()
        if self._state is _State.WAITING and now >= self._retry_at:
            return self._read()
        return []

    def _read(self) -> list[Any]:
        self._state = _State.READING
        return [ReadRow(self._edit.key)]

    def _decide(self, found: StoreRow | None, now: float) -> list[Any]:
        """Decide by the row's current state whether the edit is done, refused or to be written."""
        current = found.row if found else None
        if found is not None and found.has_change(self._edit.change_id):
            overwritten = found.row.change_id != self._edit.change_id
            return self._finish(EditReply(EditStatus.WRITTEN, current, overwritten=overwritten))
        if self._is_at_expected_version(found):
            return self._write_if_current(found, now)
        if self._in_doubt and not self._has_complete_history(found):
            return self._finish(
                EditReply(EditStatus.UNKNOWN, current, "the row's history is too short to tell")
            )
        return self._finish(
            EditReply(EditStatus.CONFLICT, current, "the row is not at the expected version")
        )

    def _is_at_expected_version(self, found: StoreRow | None) -> bool:
        """Whether the row is at the version the operator saw, or at the base of the write sent."""
        if self._write_sent:
            return _version(found) == _version(self._base)
        live = found is not None and bool(found.row.spec)
        return (_version(found) if live else 0) == self._edit.expected

    def _has_complete_history(self, found: StoreRow | None) -> bool:
        """Whether the row lists every change since the write was sent.

        If it does and the edit is not among them, the edit was not written.
        """
        if found is None or self._base is None:
            return False
        return (
            self._base.history_id in found.previous_changes
            or self._base.history_id == found.row.change_id
        )

    def _write_if_current(self, found: StoreRow | None, now: float) -> list[Any]:
        if found is not None and found.row.version < self._in_force:
            detail = "the store has an older version than the one in force"
            return self._finish(EditReply(EditStatus.UNAVAILABLE, found.row, detail))
        if self._in_doubt and found is None:
            return self._retry_later("the creation may still be in flight", now)
        return self._write(found)

    def _write(self, found: StoreRow | None) -> list[Any]:
        self._state = _State.WRITING
        self._write_sent = True
        self._base = found
        edit = self._edit
        previous: tuple[str, ...] = ()
        if found is not None:
            previous = (found.history_id, *found.previous_changes)[:PREVIOUS_CHANGES]
        row = Row(edit.key, _version(found), edit.spec, edit.change_id)
        return [WriteRow(StoreRow(row, edit.operator, previous))]

    def _handle_rejected(self, detail: str, now: float) -> list[Any]:
        if self._in_doubt:
            return self._retry_later(detail, now)
        return self._finish(EditReply(EditStatus.INVALID, None, detail))

    def _handle_unanswered(self, failure: StoreUnanswered, now: float) -> list[Any]:
        if self._state is _State.WRITING and failure.sent:
            self._in_doubt = True
        return self._retry_later(failure.detail, now)

    def _retry_later(self, detail: str, now: float) -> list[Any]:
        self._detail = detail
        if now >= self._deadline:
            return self._time_out()
        self._state = _State.WAITING
        self._retry_at = now + RETRY_SECONDS
        return []

    def _time_out(self) -> list[Any]:
        in_doubt = self._in_doubt or self._state is _State.WRITING
        status = EditStatus.UNKNOWN if in_doubt else EditStatus.UNAVAILABLE
        return self._finish(EditReply(status, None, self._detail or "no reply from the store"))

    def _finish(self, reply: EditReply) -> list[Any]:
        self._state = _State.FINISHED
        return [EditFinished(reply)]


def _version(found: StoreRow | None) -> int:
    return found.row.version if found is not None else 0
