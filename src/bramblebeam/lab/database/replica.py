"""State machine of one group member, without I/O (see `core.machine`).

The protocol is Raft, except that an external controller elects the primary:

- A member that promised a term refuses every lower one. A controller that has promises of a term
  from a majority promotes the member with the highest last position to primary of the term.
- A primary acknowledges a write only when a majority appended it, after an entry of its own term.
- A replica drops entries that conflict with its primary's log; none of them was acknowledged.
"""

from collections.abc import Iterable
from typing import Any

from bramblebeam.core.machine import Received, Send, Wakeup
from bramblebeam.core.role import Role
from bramblebeam.lab.database.applier import Applier
from bramblebeam.lab.database.log import Log
from bramblebeam.lab.database.messages import (
    Append,
    AppendReply,
    ConfirmPosition,
    Entry,
    FollowPrimary,
    MemberId,
    PauseWrites,
    PersistEntries,
    PersistPromise,
    PromiseTerm,
    PromoteMember,
    Propose,
    RefusalCode,
    Refused,
    ReplicaStatus,
    SetLag,
    SetLeaving,
    TermAccepted,
)
from bramblebeam.lab.database.primary import RECENT_CONTACT_SECONDS, Effects, Primary, not_primary


class Replica:
    """The state machine of one member. Times are in seconds of a monotonic clock.

    `promised` and `entries` are restored from disk; all other state is lost in a restart, and a
    member never starts as primary.
    """

    def __init__(
        self, me: MemberId, now: float, promised: int = 0, entries: Iterable[Entry] = ()
    ) -> None:
        self.me = me
        self.log = Log(entries)
        self.promised = promised
        self.term = self.log.last.term
        self.primary: MemberId | None = None
        self.leaving = False
        self._granted = 0
        self._contact_at = now
        self._applier = Applier(now)
        self._primary_state: Primary | None = None

    # State machine interface

    def handle(self, event: Any, now: float) -> Effects:
        """Process one event; return the effects in the order in which they must be executed."""
        effects: Effects = []
        match event:
            case Received(sender, Append() as message):
                self._handle_append(sender, message, now, effects)
            case Received(sender, AppendReply() as message):
                self._handle_reply(sender, message, now, effects)
            case Propose() | ConfirmPosition():
                self._handle_client_request(event, now, effects)
            case PromiseTerm() | PromoteMember() | FollowPrimary():
                self._command(event, now, effects)
            case PauseWrites(seconds):
                if self._primary_state is not None:
                    self._primary_state.pause_writes(seconds, now)
            case SetLag(seconds):
                self._applier.lag = seconds
            case SetLeaving(leaving):
                self.leaving = leaving
            case Wakeup():
                pass
        self._advance(now, effects)
        return effects

    def next_wakeup(self) -> float | None:
        """Return the time of the next `Wakeup` (seconds), or None."""
        due = self._applier.next_due()
        if self._primary_state is None:
            return due
        broadcast_at = self._primary_state.broadcast_at
        return broadcast_at if due is None else min(due, broadcast_at)

    def status(self, now: float) -> ReplicaStatus:
        """Return the status that the member reports."""
        contact = self._contact(now)
        return ReplicaStatus(
            term=self.term,
            role=self.role,
            last=self.log.last,
            applied=self._applier.applied_position(self.log),
            lag=contact if self._primary_state is not None else self._applier.staleness(now),
            primary_contact=contact,
            primary=self.primary or "",
            promised_term=self.promised,
            leaving=self.leaving,
        )

    @property
    def role(self) -> Role:
        """PRIMARY if this member considers itself the primary of its term."""
        return Role.REPLICA if self._primary_state is None else Role.PRIMARY

    @property
    def commit(self) -> int:
        """The offset up to which this member knows the log to be committed."""
        return self._applier.commit

    # Commands of controllers

    def _command(
        self, event: PromiseTerm | PromoteMember | FollowPrimary, now: float, effects: Effects
    ) -> None:
        match event:
            case PromiseTerm(_, term):
                accepted = self._promise(term, effects)
            case PromoteMember(_, term, members):
                accepted = self._promote(term, members, now, effects)
            case FollowPrimary(_, term, primary):
                accepted = self._follow(term, primary, effects)
        if accepted:
            effects.append(TermAccepted(event.token))
            return
        detail = f"term {self.promised} is already promised"
        effects.append(Refused(event.token, RefusalCode.TERM_TAKEN, detail))

    def _promise(self, term: int, effects: Effects) -> bool:
        if term <= self.promised:
            return False
        self._adopt_promise(term, effects)
        self._granted = term
        return True

    def _promote(
        self, term: int, members: tuple[MemberId, ...], now: float, effects: Effects
    ) -> bool:
        if self._primary_state is not None and self.term == term:
            return True
        if self._granted != term or self.me not in members:
            return False
        self._granted = 0
        self.term = term
        self.primary = self.me
        others = [member for member in members if member != self.me]
        self._primary_state = Primary(term, others, self.log, self._applier, now)
        self._primary_state.begin(now, effects)
        return True

    def _follow(self, term: int, primary: MemberId, effects: Effects) -> bool:
        is_primary = self._primary_state is not None and self.term == term
        if term < self.promised or (is_primary and primary != self.me):
            return False
        if not is_primary and primary != self.me:
            self._adopt_term(term, primary, effects)
        return True

    def _adopt_promise(self, term: int, effects: Effects) -> None:
        """Refuse lower terms from now on; give up the role held in one."""
        if term > self.promised:
            self.promised = term
            effects.append(PersistPromise(term))
        self._granted = 0
        self.primary = None
        self._step_down(effects)

    def _adopt_term(self, term: int, primary: MemberId, effects: Effects) -> None:
        """Become a replica of the primary of `term`, which must not be below the promised term."""
        if (term, primary) != (self.term, self.primary):
            self._adopt_promise(term, effects)
            self.term = term
            self.primary = primary

    def _step_down(self, effects: Effects) -> None:
        if self._primary_state is not None:
            self._primary_state.refuse_pending(effects)
            self._primary_state = None

    # Primary

    def _handle_client_request(
        self, event: Propose | ConfirmPosition, now: float, effects: Effects
    ) -> None:
        if self._primary_state is None:
            effects.append(not_primary(event.token))
        elif isinstance(event, Propose):
            self._primary_state.propose(event, now, effects)
        else:
            self._primary_state.confirm(event.token, now, effects)

    def _handle_reply(
        self, sender: MemberId, reply: AppendReply, now: float, effects: Effects
    ) -> None:
        if self._primary_state is None or reply.term != self.term:
            return
        if reply.promised > self.term:
            self.primary = None
            self._step_down(effects)
            return
        self._primary_state.handle_reply(sender, reply, now, effects)

    # Replica

    def _handle_append(
        self, sender: MemberId, message: Append, now: float, effects: Effects
    ) -> None:
        is_primary = self._primary_state is not None and message.term == self.term
        if message.term < self.promised or is_primary:
            reply = AppendReply(message.term, self.promised, False, len(self.log), message.round)
            effects.append(Send(sender, reply))
            return
        self._adopt_term(message.term, sender, effects)
        self._contact_at = now
        matched = self.log.holds(message.previous)
        if matched:
            last = self._append_entries(message, effects)
            self._applier.record_commit(min(message.commit, last), now)
            if message.commit <= last:
                self._applier.record_caught_up(now - message.age)
        else:
            last = self._retry_offset(message.previous.offset)
        reply = AppendReply(message.term, self.promised, matched, last, message.round)
        effects.append(Send(sender, reply))

    def _append_entries(self, message: Append, effects: Effects) -> int:
        """Append the new entries, dropping conflicting ones; return the message's last offset."""
        start = message.previous.offset
        for index, entry in enumerate(message.entries):
            offset = start + index + 1
            if offset > len(self.log) or self.log.entry(offset).term != entry.term:
                self._replace_from(offset, message.entries[index:], effects)
                break
        return start + len(message.entries)

    def _replace_from(self, offset: int, entries: tuple[Entry, ...], effects: Effects) -> None:
        assert offset > self._applier.commit, "a committed entry must never be dropped"
        self.log.truncate(offset - 1)
        for entry in entries:
            self.log.append(entry)
        effects.append(PersistEntries(offset, entries))

    def _retry_offset(self, offset: int) -> int:
        """Return the offset from which the primary should retry after a mismatch at `offset`."""
        if offset > len(self.log):
            return len(self.log)
        return max(self._applier.commit, self.log.first_offset_of_term(offset) - 1)

    # After every event

    def _advance(self, now: float, effects: Effects) -> None:
        primary_state = self._primary_state
        if primary_state is not None:
            primary_state.advance_commit(now, effects)
        for apply in self._applier.take_due(self.log, now, primary_state is not None):
            effects.append(apply)
            if primary_state is not None:
                primary_state.acknowledge(apply.position.offset, effects)
        if primary_state is not None:
            primary_state.process_pending(now, effects)

    def _contact(self, now: float) -> float:
        """Return the seconds since the last contact with the primary or, on it, with a majority.

        A primary with recent contact returns 0.
        """
        if self._primary_state is None:
            return max(0.0, now - self._contact_at)
        age = self._primary_state.contact_age(now)
        return 0.0 if age <= RECENT_CONTACT_SECONDS else age
