"""The product's own edit machines under the checker: two operators, lost answers, late writes.

The state holds the machines themselves, pickled, so that the checker explores what the code does.
The store is the one of the model `configuration`: it takes a write only on the version that the
write was made for, at any time after it was sent.
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
WHILE_EARLY = 0.0
WHEN_DUE = 10.0
DEADLINE = 100.0


class Editor(NamedTuple):
    """One edit.

    `machine`: pickled. `asks`: what the machine waits for: a read, or a write (pickled), or
    nothing. `on_way`: writes that the store may yet take. `lost`: answers lost so far. `told`:
    the end, as its operator was told.
    """

    machine: bytes
    asks: bytes
    on_way: tuple[bytes, ...]
    lost: int
    told: int


class State(NamedTuple):
    """The store's versions of the row (pickled, first one left out) and the editors."""

    history: tuple[bytes, ...]
    editors: tuple[Editor, ...]


def _initial() -> State:
    editors = []
    for number in range(EDITORS):
        edit = EditRow(KEY, 1, f"spec-{number}", f"c-{number}")
        machine = edits.EditMachine(edit, in_force=1, deadline=DEADLINE)
        editors.append(_after(Editor(b"", b"", (), 0, 0), machine, machine.begin()))
    return State((), tuple(editors))


def _after(editor: Editor, machine: edits.EditMachine, effects: list[Any]) -> Editor:
    """Return the editor once its machine has asked for these effects."""
    asks, on_way, told = b"", editor.on_way, editor.told
    for effect in effects:
        match effect:
            case edits.ReadRow():
                asks = pickle.dumps(effect)
            case edits.WriteRow():
                asks = pickle.dumps(effect)
                on_way = tuple(sorted({*on_way, asks}))
            case edits.EditFinished(reply):
                told = int(reply.status)
    return Editor(pickle.dumps(machine), asks, on_way, editor.lost, told)


def _feed(editor: Editor, event: Any, now: float = WHILE_EARLY) -> Editor:
    machine: edits.EditMachine = pickle.loads(editor.machine)
    return _after(editor, machine, machine.handle(event, now))


def _row_now(state: State) -> edits.StoreRow:
    return pickle.loads(state.history[-1]) if state.history else FIRST


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step of the store, the network and the machines' timers."""
    for index, editor in enumerate(state.editors):
        yield from _store_takes(state, index, editor)
        if editor.told:
            continue
        yield from _answers(state, index, editor, mutation)
        if not editor.asks:
            woken = _feed(editor, Wakeup(), WHEN_DUE)
            yield f"editor {index} wakes", _with(state, index, woken)


def _with(state: State, index: int, editor: Editor) -> State:
    return state._replace(editors=(*state.editors[:index], editor, *state.editors[index + 1 :]))


def _store_takes(state: State, index: int, editor: Editor) -> Iterator[Step]:
    """A write on its way takes effect, or is refused, without anybody hearing of it."""
    for write in editor.on_way:
        arrived = editor._replace(on_way=tuple(w for w in editor.on_way if w != write))
        yield f"a write of editor {index} takes effect", _written(state, index, arrived, write)


def _written(state: State, index: int, editor: Editor, write: bytes) -> State:
    """Return the state after the store has decided on a write."""
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
    if not editor.asks:
        return
    asked = pickle.loads(editor.asks)
    waiting = editor._replace(asks=b"")
    if isinstance(asked, edits.ReadRow):
        read = _feed(waiting, edits.RowRead(_shown(state, mutation)))
        yield f"editor {index} reads the row", _with(state, index, read)
    elif editor.asks in editor.on_way:
        yield from _write_answered(state, index, waiting, editor.asks)
    if editor.lost < LOST_ANSWERS:
        lost = _feed(waiting._replace(lost=editor.lost + 1), edits.StoreUnanswered(True, "lost"))
        yield f"editor {index} loses its answer", _with(state, index, lost)


def _shown(state: State, mutation: str) -> edits.StoreRow:
    row = _row_now(state)
    if mutation != "show_another_change" or not state.history:
        return row
    return edits.StoreRow(row.row._replace(change_id="c-other"), row.operator, row.previous_changes)


def _write_answered(state: State, index: int, waiting: Editor, write: bytes) -> Iterator[Step]:
    """The store decides on the write, and the editor hears of it."""
    arrived = waiting._replace(on_way=tuple(w for w in waiting.on_way if w != write))
    after = _written(state, index, arrived, write)
    accepted = len(after.history) > len(state.history)
    event = edits.RowAccepted(_row_now(after).row) if accepted else edits.RowConflicted()
    told = _feed(arrived, event)
    verdict = "accepted" if accepted else "refused"
    yield f"editor {index} hears that it is {verdict}", _with(after, index, told)


def _makers(state: State) -> list[str]:
    return [pickle.loads(version).row.change_id for version in state.history]


def written_once(state: State) -> bool:
    """No edit makes two versions, and no two edits build on the same one."""
    makers = _makers(state)
    return len(set(makers)) == len(makers) and len(makers) <= 1


def told_the_truth(state: State) -> bool:
    """An edit that was told written is there; one told conflict or not done never comes."""
    makers = _makers(state)
    done = (EditStatus.WRITTEN,)
    not_done = (EditStatus.CONFLICT, EditStatus.UNAVAILABLE, EditStatus.INVALID)
    return all(
        (editor.told not in done or f"c-{index}" in makers)
        and (editor.told not in not_done or f"c-{index}" not in makers)
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
