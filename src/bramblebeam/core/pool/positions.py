"""Tracks the last acknowledged write of each named session, at the owner of a primary.

A session that presents its name without a token needs a floor that covers its own writes, through
whichever node they came. If all of them went through one owner, the owner knows the last one. It is
usually far below the group's newest position, so that replicas that are slightly behind can serve
the session.

The owner did not see writes from before its ownership, nor those of earlier terms. The `base`
covers them: a position that the primary confirmed, in its current term, after this ownership began
and when no connection of a former owner was left.
"""

from collections import OrderedDict
from collections.abc import Sequence

from bramblebeam.core.identity import ZERO_POSITION, Position
from bramblebeam.core.statement import ExecuteReply, ExecuteRequest, StatementKind
from bramblebeam.core.verdict import Verdict

CAPACITY = 4_096
"""Sessions tracked per instance; evicting one raises the base."""

_COMMITTING = (StatementKind.WRITE, StatementKind.COMMIT)


class SessionPositions:
    """Positions of the writes during one ownership of one instance.

    Events that leave a position unknown are numbered, so that only a position that was confirmed in
    a round that began after the event counts as covering it.
    """

    def __init__(self, capacity: int = CAPACITY) -> None:
        self._capacity = capacity
        self._base: Position | None = None
        self._positions: OrderedDict[str, Position] = OrderedDict()
        self._evicted = ZERO_POSITION
        self._events = 0
        self._base_dropped_at = 0
        self._unknown_since: dict[str, int] = {}

    def mark(self) -> int:
        """Return the number of the latest event; call it before a round begins."""
        return self._events

    def record(self, request: ExecuteRequest, reply: ExecuteReply) -> None:
        """Record the answer to a request, before the edge gets it."""
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
            self._record_unnamed(position)
        elif name:
            self._record_named(name, position)

    def floors(
        self, names: Sequence[str], confirmed: Position, mark: int, complete: bool
    ) -> tuple[Position, ...]:
        """Return a position for each session that covers its acknowledged writes.

        `confirmed`: by the primary, in a round that began after the request arrived and `mark` was
        taken. `complete`: this node has owned the instance since then, and no connection of a
        former owner was left when the round began.
        """
        if not complete or self._base_dropped_at > mark:
            return (confirmed,) * len(names)
        if self._base is None or self._base.term != confirmed.term:
            self._set_base(confirmed, mark)
        return tuple(self._floor(name, confirmed, mark) for name in names)

    def _set_base(self, confirmed: Position, mark: int) -> None:
        """Set a base that covers everything up to `confirmed`."""
        self._base = max(confirmed, self._evicted)
        for name in [name for name, position in self._positions.items() if position <= confirmed]:
            del self._positions[name]
        self._unknown_since = {
            name: event for name, event in self._unknown_since.items() if event > mark
        }

    def _floor(self, name: str, confirmed: Position, mark: int) -> Position:
        event = self._unknown_since.get(name)
        if event is not None:
            if event <= mark:
                del self._unknown_since[name]
                self._set_position(name, confirmed)
            return confirmed
        base = self._base or confirmed
        return max(base, self._positions.get(name, ZERO_POSITION))

    def _record_unnamed(self, position: Position) -> None:
        """Record a write from a node that does not report its session: it may be any session's."""
        if position == ZERO_POSITION:
            self._drop_base()
        else:
            self._raise_base(position)

    def _record_named(self, name: str, position: Position) -> None:
        if position != ZERO_POSITION:
            self._set_position(name, position)
            return
        if len(self._unknown_since) >= self._capacity:
            self._unknown_since.clear()
            self._drop_base()
            return
        self._events += 1
        self._unknown_since[name] = self._events

    def _drop_base(self) -> None:
        self._events += 1
        self._base_dropped_at = self._events
        self._base = None

    def _set_position(self, name: str, position: Position) -> None:
        self._positions[name] = max(position, self._positions.get(name, ZERO_POSITION))
        self._positions.move_to_end(name)
        if len(self._positions) > self._capacity:
            self._raise_base(self._positions.popitem(last=False)[1])

    def _raise_base(self, position: Position) -> None:
        """Raise the base to cover a position that no session entry covers."""
        self._evicted = max(self._evicted, position)
        if self._base is not None:
            self._base = max(self._base, position)
