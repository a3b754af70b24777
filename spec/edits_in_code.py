"""Model check of the product's `EditMachine`: two operators, lost answers and late writes.

The state contains the pickled machines, so that the checker explores the code itself. The store
behaves as in the model `configuration`: it accepts a write only on the version that the write is
based on, at any time after the write was sent.
"""

import pickle
from collections.abc import Iterator
from typing import Any, NamedTuple

from bramblebeam.core.configuration import edit as edits
from bramblebeam.core.configuration.messages import EditRow, EditStatus
from bramblebeam.core.configuration.rows import Row, RowKey
from bramblebeam.core.machine import Wakeup
from spec.checking import Model, Step

KEY = RowKey("weight", "db")
EDITORS = 2
LOST_ANSWERS = 2
FIRST = edits.StoreRow(Row(KEY, 1, "first", "c-first"))
BEFORE_WAKEUP = 0.0
AT_WAKEUP = 10.0
DEADLINE = 100.0


class Editor(NamedTuple):
    """One edit.

    `machine`: pickled machine. `request`: pickled read or write that the machine waits for, or
    empty. `in_flight`: pickled writes in flight. `lost`: number of lost answers. `reported`: final
    status that was reported to the operator, 0 before.
    """

    machine: bytes
    request: bytes
    in_flight: tuple[bytes, ...]
    lost: int
    reported: int


class State(NamedTuple):
    """The pickled versions of the row in the store, without the first one, and the editors."""

    history: tuple[bytes, ...]
    editors: tuple[Editor, ...]


def _initial() -> State:
    editors = []
    for number in range(EDITORS):
        edit = EditRow(KEY, 1, f"spec-{number}", f"c-{number}")
        machine = edits.EditMachine(edit, in_force=1, deadline=DEADLINE)
        editors.append(_apply_effects(Editor(b"", b"", (), 0, 0), machine, machine.begin()))
    return State((), tuple(editors))


def _apply_effects(editor: Editor, machine: edits.EditMachine, effects: list[Any]) -> Editor:
    """Return the editor after its machine has returned `effects`."""
    request, in_flight, reported = b"", editor.in_flight, editor.reported
    for effect in effects:
        match effect:
            case edits.ReadRow():
                request = pickle.dumps(effect)
            case edits.WriteRow():
                request = pickle.dumps(effect)
                in_flight = tuple(sorted({*in_flight, request}))
            case edits.EditFinished(reply):
                reported = int(reply.status)
    return Editor(pickle.dumps(machine), request, in_flight, editor.lost, reported)


def _feed(editor: Editor, event: Any, now: float = BEFORE_WAKEUP) -> Editor:
    machine: edits.EditMachine = pickle.loads(editor.machine)
    return _apply_effects(editor, machine, machine.handle(event, now))


def _row_now(state: State) -> edits.StoreRow:
    return pickle.loads(state.history[-1]) if state.history else FIRST


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step of the store, the network and the machines' timers."""
    for index, editor in enumerate(state.editors):
        yield from _late_writes(state, index, editor)
        if editor.reported:
            continue
        yield from _answers(state, index, editor, mutation)
        if not editor.request:
            woken = _feed(editor, Wakeup(), AT_WAKEUP)
            yield f"editor {index} wakes", _with(state, index, woken)


def _with(state: State, index: int, editor: Editor) -> State:
    return state._replace(editors=(*state.editors[:index], editor, *state.editors[index + 1 :]))


def _late_writes(state: State, index: int, editor: Editor) -> Iterator[Step]:
    """Yield writes in flight that take effect or are refused without a delivered answer."""
    for write in editor.in_flight:
        arrived = editor._replace(in_flight=tuple(w for w in editor.in_flight if w != write))
        yield f"a write of editor {index} takes effect", _written(state, index, arrived, write)


def _written(state: State, index: int, editor: Editor, write: bytes) -> State:
    """Return the state after the store has accepted or refused a write."""
    changed = _with(state, index, editor)
    wanted: edits.StoreRow = pickle.loads(write).written
    now = _row_now(state).row
    if wanted.row.version != now.version:
        return changed
    stored = edits.StoreRow(
        wanted.row._replace(version=now.version + 1), wanted.operator, wanted.previous_changes
    )
    return changed._replace(history=(*state.history, pickle.dumps(stored)))


def _answers(state: State, index: int, editor: Editor, mutation: str) -> Iterator[Step]:
    if not editor.request:
        return
    request = pickle.loads(editor.request)
    waiting = editor._replace(request=b"")
    if isinstance(request, edits.ReadRow):
        read = _feed(waiting, edits.RowRead(_row_read(state, mutation)))
        yield f"editor {index} reads the row", _with(state, index, read)
    elif editor.request in editor.in_flight:
        yield from _write_answered(state, index, waiting, editor.request)
    if editor.lost < LOST_ANSWERS:
        lost = _feed(waiting._replace(lost=editor.lost + 1), edits.StoreUnanswered(True, "lost"))
        yield f"editor {index} loses its answer", _with(state, index, lost)


def _row_read(state: State, mutation: str) -> edits.StoreRow:
    row = _row_now(state)
    if mutation != "show_another_change" or not state.history:
        return row
    return edits.StoreRow(row.row._replace(change_id="c-other"), row.operator, row.previous_changes)


def _write_answered(state: State, index: int, waiting: Editor, write: bytes) -> Iterator[Step]:
    """Yield the store's decision on a write together with its answer to the editor."""
    arrived = waiting._replace(in_flight=tuple(w for w in waiting.in_flight if w != write))
    after = _written(state, index, arrived, write)
    accepted = len(after.history) > len(state.history)
    event = edits.RowAccepted(_row_now(after).row) if accepted else edits.RowConflicted()
    reported = _feed(arrived, event)
    verdict = "accepted" if accepted else "refused"
    yield f"editor {index} receives that it is {verdict}", _with(after, index, reported)


def _change_ids(state: State) -> list[str]:
    return [pickle.loads(version).row.change_id for version in state.history]


def written_once(state: State) -> bool:
    """No edit creates two versions, and no two edits are based on the same version."""
    change_ids = _change_ids(state)
    return len(set(change_ids)) == len(change_ids) and len(change_ids) <= 1


def told_the_truth(state: State) -> bool:
    """An edit reported as written is stored; one reported as conflict or not done never is."""
    change_ids = _change_ids(state)
    done = (EditStatus.WRITTEN,)
    not_done = (EditStatus.CONFLICT, EditStatus.UNAVAILABLE, EditStatus.INVALID)
    return all(
        (editor.reported not in done or f"c-{index}" in change_ids)
        and (editor.reported not in not_done or f"c-{index}" not in change_ids)
        for index, editor in enumerate(state.editors)
    )


MODEL = Model(
    name="edits_in_code",
    bounds=f"the product's {EDITORS} edit machines on one row, {LOST_ANSWERS} lost answers each, "
    "writes that take effect at any time after they were sent",
    initial=_initial(),
    steps=steps,
    invariants={"written_once": written_once, "told_the_truth": told_the_truth},
    mutations={"show_another_change": "told_the_truth"},
)
