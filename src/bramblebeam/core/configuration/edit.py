"""One operator's edit of one row: write it once, and find out whether it was written.

Every write is conditional on the version that the operator saw. When an answer is lost, the row is
read back: the change ids that it keeps say whether this edit made it. A write that is not there
may be sent again under the same condition, for it can take effect at most once. A deleted row
stays in the store without a spec, so that its change ids stay too; only the first creation of a
row, or one whose object was removed by other means, can end in doubt.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from bramblebeam.core.configuration.messages import EditReply, EditRow, EditStatus
from bramblebeam.core.configuration.rows import Row, RowKey
from bramblebeam.core.machine import Wakeup

PREVIOUS_CHANGES = 8
"""How many earlier change ids a row keeps."""

RETRY_SECONDS = 0.3


@dataclass(frozen=True, slots=True)
class StoreRow:
    """A row with what the store keeps beside it.

    `previous_changes`: the change ids of the versions before this one, newest first.
    """

    row: Row
    operator: str = ""
    previous_changes: tuple[str, ...] = ()

    def has_change(self, change_id: str) -> bool:
        """Whether this version or one of the last before it was made by the change."""
        return change_id == self.row.change_id or change_id in self.previous_changes

    @property
    def mark(self) -> str:
        """Name this version among the changes of later ones."""
        return self.row.change_id or f"version-{self.row.version}"


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Effect: read the row from the store; answer `RowRead` or `StoreUnanswered`."""

    key: RowKey


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Effect: create (version 0) or replace the row at `row.version`; empty spec: deleted.

    Answer `RowAccepted`, `RowConflicted`, `RowRejected` or `StoreUnanswered`.
    """

    written: StoreRow


@dataclass(frozen=True, slots=True)
class EditFinished:
    """Effect: the edit's end. `row`: what it wrote, where that is known."""

    reply: EditReply


@dataclass(frozen=True, slots=True)
class RowRead:
    """The row as the store has it (None: there is none)."""

    found: StoreRow | None


@dataclass(frozen=True, slots=True)
class RowAccepted:
    """The store wrote the row; `row` has its new version."""

    row: Row


@dataclass(frozen=True, slots=True)
class RowConflicted:
    """The store refused the write: the row is at another version."""


@dataclass(frozen=True, slots=True)
class RowRejected:
    """The store refused the write as wrong."""

    detail: str


@dataclass(frozen=True, slots=True)
class StoreUnanswered:
    """No answer. `sent` False: the request surely did not reach the store."""

    sent: bool
    detail: str


class _State(Enum):
    READING = 1
    WRITING = 2
    WAITING = 3
    FINISHED = 4


class EditMachine:
    """Carries one edit to its end. `in_force`: the row's version in force at this node.

    `deadline`: when it must end (seconds).
    """

    def __init__(self, edit: EditRow, in_force: int, deadline: float) -> None:
        self._edit = edit
        self._in_force = in_force
        self._deadline = deadline
        self._state = _State.WAITING
        self._retry_due = 0.0
        self._in_doubt = False
        self._base: StoreRow | None = None
        self._written = False
        self._detail = ""

    def begin(self) -> list[Any]:
        """Return the first effects."""
        return self._read()

    def handle(self, event: Any, now: float) -> list[Any]:
        """Take one event; return the effects."""
        if self._state is _State.FINISHED:
            return []
        if isinstance(event, Wakeup):
            return self._woken(now)
        return self._answered(event, now)

    def _answered(self, event: Any, now: float) -> list[Any]:
        match event:
            case RowRead(found):
                return self._judge(found, now)
            case RowAccepted(row):
                return self._finish(EditReply(EditStatus.WRITTEN, row))
            case RowConflicted():
                return self._read()
            case RowRejected(detail):
                return self._rejected(detail, now)
            case StoreUnanswered():
                return self._unanswered(event, now)
            case _:
                raise TypeError(f"unknown event {type(event).__name__}")

    def next_wakeup(self) -> float | None:
        """Return when `Wakeup` is due (seconds)."""
        match self._state:
            case _State.FINISHED:
                return None
            case _State.WAITING:
                return min(self._retry_due, self._deadline)
            case _:
                return self._deadline

    def _woken(self, now: float) -> list[Any]:
        if now >= self._deadline:
            return self._give_up()
        if self._state is _State.WAITING and now >= self._retry_due:
            return self._read()
        return []

    def _read(self) -> list[Any]:
        self._state = _State.READING
        return [ReadRow(self._edit.key)]

    def _judge(self, found: StoreRow | None, now: float) -> list[Any]:
        """Decide by the row as it is now: done, refused, or to be written."""
        current = found.row if found else None
        if found is not None and found.has_change(self._edit.change_id):
            overwritten = found.row.change_id != self._edit.change_id
            return self._finish(EditReply(EditStatus.WRITTEN, current, overwritten=overwritten))
        if self._as_expected(found):
            return self._may_write(found, now)
        if self._in_doubt and not self._follows_base(found):
            return self._finish(EditReply(EditStatus.UNKNOWN, current, "changed too much since"))
        return self._finish(EditReply(EditStatus.CONFLICT, current, "another edit came first"))

    def _as_expected(self, found: StoreRow | None) -> bool:
        """Whether the row is at the version that the operator saw, or that was written upon."""
        if self._written:
            return _version(found) == _version(self._base)
        live = found is not None and bool(found.row.spec)
        return (_version(found) if live else 0) == self._edit.expected

    def _follows_base(self, found: StoreRow | None) -> bool:
        """Whether the row's changes since the write are all known, so that it is not among them."""
        if found is None or self._base is None:
            return False
        return self._base.mark in found.previous_changes or self._base.mark == found.row.change_id

    def _may_write(self, found: StoreRow | None, now: float) -> list[Any]:
        if found is not None and found.row.version < self._in_force:
            detail = "the store is behind the rows in force"
            return self._finish(EditReply(EditStatus.UNAVAILABLE, found.row, detail))
        if self._in_doubt and found is None:
            return self._wait("the creation may be under way", now)
        return self._write(found)

    def _write(self, found: StoreRow | None) -> list[Any]:
        self._state = _State.WRITING
        self._written = True
        self._base = found
        edit = self._edit
        previous: tuple[str, ...] = ()
        if found is not None:
            previous = (found.mark, *found.previous_changes)[:PREVIOUS_CHANGES]
        row = Row(edit.key, _version(found), edit.spec, edit.change_id)
        return [WriteRow(StoreRow(row, edit.operator, previous))]

    def _rejected(self, detail: str, now: float) -> list[Any]:
        if self._in_doubt:
            return self._wait(detail, now)
        return self._finish(EditReply(EditStatus.INVALID, None, detail))

    def _unanswered(self, failure: StoreUnanswered, now: float) -> list[Any]:
        if self._state is _State.WRITING and failure.sent:
            self._in_doubt = True
        return self._wait(failure.detail, now)

    def _wait(self, detail: str, now: float) -> list[Any]:
        self._detail = detail
        if now >= self._deadline:
            return self._give_up()
        self._state = _State.WAITING
        self._retry_due = now + RETRY_SECONDS
        return []

    def _give_up(self) -> list[Any]:
        in_doubt = self._in_doubt or self._state is _State.WRITING
        status = EditStatus.UNKNOWN if in_doubt else EditStatus.UNAVAILABLE
        return self._finish(EditReply(status, None, self._detail or "no answer from the store"))

    def _finish(self, reply: EditReply) -> list[Any]:
        self._state = _State.FINISHED
        return [EditFinished(reply)]


def _version(found: StoreRow | None) -> int:
    return found.row.version if found is not None else 0
