"""One row of the table: two operators, lost answers, and nodes that learn it in any order.

A version of the row is its place in the store's history.
"""

from collections.abc import Iterator
from typing import NamedTuple

from spec.checking import Model, Step

EDITORS = 2
NODES = 2
SENDINGS = 2


class Editor(NamedTuple):
    """One operator's edit.

    `phase`: idle, waiting, checking, accepted or conflict. `base`: the version that the operator
    saw. `on_way`: writes that the store may yet take. `sendings_left`: how often it may send.
    """

    phase: str = "idle"
    base: int = 0
    on_way: frozenset[int] = frozenset()
    sendings_left: int = SENDINGS


class Version(NamedTuple):
    """One version in the store's history: who made it, and the version that its maker saw."""

    editor: int
    base: int


class State(NamedTuple):
    """The store's history of the row, the editors, and by node (in force, highest ever)."""

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


def _sent(editor: Editor, base: int) -> Editor:
    left = editor.sendings_left - 1
    return Editor("waiting", base, editor.on_way | {base}, left)


def _edit(state: State, index: int, editor: Editor, mutation: str) -> Iterator[Step]:
    version = len(state.history)
    if editor.phase == "idle":
        yield f"editor {index} writes on {version}", _with(state, index, _sent(editor, version))
    elif editor.phase == "waiting":
        lost = editor._replace(phase="checking")
        yield f"editor {index} loses its answer", _with(state, index, lost)
    elif editor.phase == "checking":
        yield from _check(state, index, editor, mutation)


def _check(state: State, index: int, editor: Editor, mutation: str) -> Iterator[Step]:
    """Read the row back: its change ids tell whether this edit made a version."""
    version = len(state.history)
    done = any(made.editor == index for made in state.history)
    if mutation == "repeat_on_new_version" and editor.sendings_left:
        yield f"editor {index} repeats on {version}", _with(state, index, _sent(editor, version))
    elif done and mutation != "ignore_change_id":
        yield (
            f"editor {index} finds its edit",
            _with(state, index, editor._replace(phase="accepted")),
        )
    elif version == editor.base and editor.sendings_left:
        yield f"editor {index} repeats", _with(state, index, _sent(editor, editor.base))
    elif version != editor.base:
        conflict = editor._replace(phase="conflict")
        yield f"editor {index} is shown a conflict", _with(state, index, conflict)


def _store(state: State, index: int, editor: Editor, mutation: str) -> Iterator[Step]:
    """The store takes a write only on the version that it was made for."""
    for base in editor.on_way:
        taken = editor._replace(on_way=editor.on_way - {base})
        if base != len(state.history) and mutation != "unconditional_write":
            checking = "checking" if editor.phase == "waiting" else editor.phase
            refused = _with(state, index, taken._replace(phase=checking))
            yield f"the store refuses editor {index}", refused
            continue
        written = state._replace(history=(*state.history, Version(index, base)))
        yield f"the store writes editor {index}, unheard", _with(written, index, taken)
        if editor.phase == "waiting":
            accepted = taken._replace(phase="accepted")
            yield f"the store accepts editor {index}", _with(written, index, accepted)


def _nodes(state: State, mutation: str) -> Iterator[Step]:
    """A node hears of any version, from the store's past too; it takes only a higher one."""
    for index, (in_force, highest) in enumerate(state.nodes):
        for version in range(1, len(state.history) + 1):
            if version <= in_force and mutation != "apply_any_version":
                continue
            node = (version, max(highest, version))
            nodes = (*state.nodes[:index], node, *state.nodes[index + 1 :])
            yield f"node {index} takes version {version}", state._replace(nodes=nodes)


def versions_never_fall(state: State) -> bool:
    """No node goes back to an older version."""
    return all(in_force == highest for in_force, highest in state.nodes)


def no_edit_is_overwritten_unseen(state: State) -> bool:
    """Each version was made by an operator who saw the one before it."""
    return all(made.base == index for index, made in enumerate(state.history))


def written_once(state: State) -> bool:
    """No edit makes two versions."""
    editors = [made.editor for made in state.history]
    return len(set(editors)) == len(editors)


def told_the_truth(state: State) -> bool:
    """An accepted edit is in the history; one that conflicted is not and never comes."""
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
