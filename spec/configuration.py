"""Edits of one configuration row by two operators, with lost answers and out-of-order updates.

The version of a row is its position in the store's history.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step

EDITORS = 2
NODES = 2
SENDINGS = 2


class Editor(NamedTuple):
    """One operator's edit.

    `phase`: idle, waiting, checking, accepted or conflict. `base`: version that the edit is based
    on. `in_flight`: bases of the writes in flight to the store. `sendings_left`: number of sendings
    that remain.
    """

    phase: str = "idle"
    base: int = 0
    in_flight: frozenset[int] = frozenset()
    sendings_left: int = SENDINGS


class Version(NamedTuple):
    """One version in the store's history: its editor and the version that the edit is based on."""

    editor: int
    base: int


class State(NamedTuple):
    """The store's history of the row, the editors, and each node's version in force and maximum."""

    history: tuple[Version, ...]
    editors: tuple[Editor, ...]
    nodes: tuple[tuple[int, int], ...]


INITIAL = State((), (Editor(),) * EDITORS, ((0, 0),) * NODES)


def steps(state: State, mutation: str) -> Iterator[Step]:
    """Yield every step of the editors, the store and the nodes."""
    for index, editor in enumerate(state.editors):
        yield from _store(state, index, editor, mutation)
        yield from _edit(state, index, editor, mutation)
    yield from _nodes(state, mutation)


def _with(state: State, index: int, editor: Editor) -> State:
    return state._replace(editors=(*state.editors[:index], editor, *state.editors[index + 1 :]))


def _send(editor: Editor, base: int) -> Editor:
    left = editor.sendings_left - 1
    return Editor("waiting", base, editor.in_flight | {base}, left)


def _edit(state: State, index: int, editor: Editor, mutation: str) -> Iterator[Step]:
    version = len(state.history)
    if editor.phase == "idle":
        yield f"editor {index} writes on {version}", _with(state, index, _send(editor, version))
    elif editor.phase == "waiting":
        lost = editor._replace(phase="checking")
        yield f"editor {index} loses its answer", _with(state, index, lost)
    elif editor.phase == "checking":
        yield from _check(state, index, editor, mutation)


def _check(state: State, index: int, editor: Editor, mutation: str) -> Iterator[Step]:
    """Read the row back: the change ids in its history tell whether this edit was written."""
    version = len(state.history)
    done = any(made.editor == index for made in state.history)
    if mutation == "repeat_on_new_version" and editor.sendings_left:
        yield f"editor {index} repeats on {version}", _with(state, index, _send(editor, version))
    elif done and mutation != "ignore_change_id":
        yield (
            f"editor {index} finds its edit",
            _with(state, index, editor._replace(phase="accepted")),
        )
    elif version == editor.base and editor.sendings_left:
        yield f"editor {index} repeats", _with(state, index, _send(editor, editor.base))
    elif version != editor.base:
        conflict = editor._replace(phase="conflict")
        yield f"editor {index} is shown a conflict", _with(state, index, conflict)


def _store(state: State, index: int, editor: Editor, mutation: str) -> Iterator[Step]:
    """Yield the store's decisions: it accepts a write only on the version it is based on."""
    for base in editor.in_flight:
        taken = editor._replace(in_flight=editor.in_flight - {base})
        if base != len(state.history) and mutation != "unconditional_write":
            checking = "checking" if editor.phase == "waiting" else editor.phase
            refused = _with(state, index, taken._replace(phase=checking))
            yield f"the store refuses editor {index}", refused
            continue
        written = state._replace(history=(*state.history, Version(index, base)))
        yield f"the store writes editor {index}; the answer is lost", _with(written, index, taken)
        if editor.phase == "waiting":
            accepted = taken._replace(phase="accepted")
            yield f"the store accepts editor {index}", _with(written, index, accepted)


def _nodes(state: State, mutation: str) -> Iterator[Step]:
    """Yield updates of nodes: any version may arrive, also an old one; only a higher is applied."""
    for index, (in_force, highest) in enumerate(state.nodes):
        for version in range(1, len(state.history) + 1):
            if version <= in_force and mutation != "apply_any_version":
                continue
            node = (version, max(highest, version))
            nodes = (*state.nodes[:index], node, *state.nodes[index + 1 :])
            yield f"node {index} takes version {version}", state._replace(nodes=nodes)


def versions_never_fall(state: State) -> bool:
    """No node reverts to an older version."""
    return all(in_force == highest for in_force, highest in state.nodes)


def no_edit_is_overwritten_unseen(state: State) -> bool:
    """Each version is based on the previous one."""
    return all(made.base == index for index, made in enumerate(state.history))


def written_once(state: State) -> bool:
    """No edit creates two versions."""
    editors = [made.editor for made in state.history]
    return len(set(editors)) == len(editors)


def told_the_truth(state: State) -> bool:
    """An accepted edit is in the history; one with a reported conflict never gets there."""
    made = {version.editor for version in state.history}
    return all(
        (editor.phase != "accepted" or index in made)
        and (editor.phase != "conflict" or index not in made)
        for index, editor in enumerate(state.editors)
    )


MODEL = Model(
    name="configuration",
    bounds=f"{EDITORS} editors of one row, {SENDINGS} sendings each, {NODES} nodes, any order",
    initial=INITIAL,
    steps=steps,
    invariants={
        "versions_never_fall": versions_never_fall,
        "no_edit_is_overwritten_unseen": no_edit_is_overwritten_unseen,
        "written_once": written_once,
        "told_the_truth": told_the_truth,
    },
    mutations={
        "apply_any_version": "versions_never_fall",
        "unconditional_write": "no_edit_is_overwritten_unseen",
        "repeat_on_new_version": "written_once",
        "ignore_change_id": "told_the_truth",
    },
)
