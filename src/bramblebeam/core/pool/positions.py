"""The last acknowledged write of each named session, as the owner of a primary saw it.

A session that names itself without a token needs a floor that covers its own writes, whichever
node they came over. Where all of them went through one owner, the owner knows the last one, which
is mostly far below the group's newest position, so that replicas a little behind can serve.

The owner did not see the writes before its ownership, nor those of earlier terms. The `base` covers
them: a position that the primary confirmed, in its present term, after this ownership began and
when no connection of a former owner was left.
"""

from collections import OrderedDict
from collections.abc import Sequence

from bramblebeam.core.identity import ZERO_POSITION, Position
from bramblebeam.core.statement import ExecuteReply, ExecuteRequest, StatementKind
from bramblebeam.core.verdict import Verdict

CAPACITY = 4_096
"""Sessions remembered for one instance; what is forgotten raises the base."""

_COMMITTING = (StatementKind.WRITE, StatementKind.COMMIT)


class SessionPositions:
    """The writes of one ownership of one instance.

    An event that leaves a position unknown has a number, so that only a position confirmed in a
    round that began after it counts as covering it.
    """

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._base: Position | None = None
        self._last: OrderedDict[str, Position] = OrderedDict()
        self._forgotten = ZERO_POSITION
        self._events = 0
        self._base_lost = 0
        self._unclear: dict[str, int] = {}

    def mark(self) -> int:
        """Return the number of the latest event; taken before a round begins."""
        return self._events

    def record(self, request: ExecuteRequest, reply: ExecuteReply) -> None:
        """Take a request's answer, before the edge gets it."""
        refusal = reply.refusal
        if request.kind not in _COMMITTING:
            return
        if refusal is not None and refusal.verdict is Verdict.NOT_RUN:
            return
        position = ZERO_POSITION if refusal is not None else reply.position
        if position == ZERO_POSITION and refusal is None and reply.in_transaction:
            return
        name = request.session_name
        if name is None:
            self._note_nameless(position)
        elif name:
            self._note_named(name, position)

    def floors(
        self, names: Sequence[str], confirmed: Position, mark: int, complete: bool
    ) -> tuple[Position, ...]:
        """Return a position for each session that covers its acknowledged writes.

        `confirmed`: by the primary, in a round that began after the question came and `mark` was
        taken. `complete`: since then this ownership held, and no connection of a former owner was
        left when the round began.
        """
        if not complete or self._base_lost > mark:
            return (confirmed,) * len(names)
        if self._base is None or self._base.term != confirmed.term:
            self._begin(confirmed, mark)
        return tuple(self._floor(name, confirmed, mark) for name in names)

    def _begin(self, confirmed: Position, mark: int) -> None:
        """Let the base cover everything up to `confirmed`."""
        self._base = max(confirmed, self._forgotten)
        for name in [name for name, position in self._last.items() if position <= confirmed]:
            del self._last[name]
        self._unclear = {name: event for name, event in self._unclear.items() if event > mark}

    def _floor(self, name: str, confirmed: Position, mark: int) -> Position:
        event = self._unclear.get(name)
        if event is not None:
            if event <= mark:
                del self._unclear[name]
                self._remember(name, confirmed)
            return confirmed
        base = self._base or confirmed
        return max(base, self._last.get(name, ZERO_POSITION))

    def _note_nameless(self, position: Position) -> None:
        """Take a write of a node that does not tell whose it is: it may be anyone's."""
        if position == ZERO_POSITION:
            self._lose_base()
        else:
            self._forget(position)

    def _note_named(self, name: str, position: Position) -> None:
        if position != ZERO_POSITION:
            self._remember(name, position)
            return
        if len(self._unclear) >= self._capacity:
            self._unclear.clear()
            self._lose_base()
            return
        self._events += 1
        self._unclear[name] = self._events

    def _lose_base(self) -> None:
        self._events += 1
        self._base_lost = self._events
        self._base = None

    def _remember(self, name: str, position: Position) -> None:
        self._last[name] = max(position, self._last.get(name, ZERO_POSITION))
        self._last.move_to_end(name)
        if len(self._last) > self._capacity:
            self._forget(self._last.popitem(last=False)[1])

    def _forget(self, position: Position) -> None:
        """Let the base cover a position that no session's entry does."""
        self._forgotten = max(self._forgotten, position)
        if self._base is not None:
            self._base = max(self._base, position)
