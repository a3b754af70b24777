"""The primary's part of the replication protocol: append, commit by majority, acknowledge."""

from collections import deque
from dataclasses import dataclass
from typing import Any

from bramblebeam.core.machine import Send
from bramblebeam.lab.database.applier import Applier
from bramblebeam.lab.database.log import Log
from bramblebeam.lab.database.messages import (
    Acknowledged,
    Append,
    AppendReply,
    Confirmed,
    Entry,
    MemberId,
    PersistEntries,
    Propose,
    RefusalCode,
    Refused,
)
from bramblebeam.lab.database.progress import GroupProgress, MemberProgress

HEARTBEAT_SECONDS = 0.05
COMMIT_NOTICE_SECONDS = 0.002
"""Maximum delay before an early heartbeat announces a new commit to the members."""

PROBE_SECONDS = 0.2
"""A member that has not replied for this long is sent heartbeats without entries."""

MAJORITY_TIMEOUT_SECONDS = 2.0
"""How long a write or confirmation waits for a majority."""

ISOLATION_SECONDS = 0.5
"""Without replies from a majority for this long, writes are refused before they are appended."""

RECENT_CONTACT_SECONDS = 3 * HEARTBEAT_SECONDS
ENTRIES_PER_APPEND = 500

Effects = list[Any]


@dataclass(slots=True)
class _PendingWrite:
    token: int
    offset: int
    deadline: float


@dataclass(slots=True)
class _PendingConfirm:
    token: int
    round: int
    deadline: float


class Primary:
    """State of the primary during one term. The term starts with an entry that changes no rows."""

    def __init__(
        self, term: int, others: list[MemberId], log: Log, applier: Applier, now: float
    ) -> None:
        self.term = term
        self.broadcast_at = now
        self._log = log
        self._applier = applier
        self._progress = GroupProgress(others, len(log))
        for progress in self._progress.members.values():
            progress.answered_at = now
        self._term_start = len(log) + 1
        self._round = 0
        self._paused_until = now
        self._held_writes: deque[Propose] = deque()
        self._pending_writes: deque[_PendingWrite] = deque()
        self._pending_confirms: deque[_PendingConfirm] = deque()

    def begin(self, now: float, effects: Effects) -> None:
        """Append the term's first entry and broadcast it."""
        self._append(Entry(self.term, None), effects)
        self._broadcast(now, effects)

    def propose(self, event: Propose, now: float, effects: Effects) -> None:
        """Append a client's write, or hold it while writes are paused."""
        if now < self._paused_until:
            self._held_writes.append(event)
        else:
            self._write(event, now, effects)

    def confirm(self, token: int, now: float, effects: Effects) -> None:
        """Start a round; replies to it from a majority confirm that the term is still current."""
        self._broadcast(now, effects)
        deadline = now + MAJORITY_TIMEOUT_SECONDS
        self._pending_confirms.append(_PendingConfirm(token, self._round, deadline))

    def pause_writes(self, seconds: float, now: float) -> None:
        """Hold new writes until `seconds` after `now`."""
        self._paused_until = now + seconds

    def handle_reply(
        self, sender: MemberId, reply: AppendReply, now: float, effects: Effects
    ) -> None:
        """Process a member's reply in this term and send it the entries that it still lacks."""
        progress = self._progress.record_reply(sender, reply, now)
        if progress is not None and progress.next <= len(self._log):
            self._send_append(sender, progress, now, effects)

    def advance_commit(self, now: float, effects: Effects) -> None:
        """Append held writes once a pause is over, and commit the entries that a majority holds."""
        while self._held_writes and now >= self._paused_until:
            self._write(self._held_writes.popleft(), now, effects)
        majority_offset = self._progress.match(len(self._log))
        if majority_offset >= self._term_start and majority_offset > self._applier.commit:
            self._applier.record_commit(majority_offset, now)
            self.broadcast_at = min(self.broadcast_at, now + COMMIT_NOTICE_SECONDS)

    def acknowledge(self, offset: int, effects: Effects) -> None:
        """Acknowledge the write whose entry was just applied, if a client waits for it."""
        if self._pending_writes and self._pending_writes[0].offset == offset:
            token = self._pending_writes.popleft().token
            effects.append(Acknowledged(token, self._log.position(offset)))

    def process_pending(self, now: float, effects: Effects) -> None:
        """Answer confirmations, expire requests past their deadline, and send due heartbeats."""
        self._answer_confirms(effects)
        while self._pending_writes and self._pending_writes[0].deadline <= now:
            effects.append(majority_not_reached(self._pending_writes.popleft().token))
        while self._pending_confirms and self._pending_confirms[0].deadline <= now:
            effects.append(not_primary(self._pending_confirms.popleft().token))
        if now >= self.broadcast_at:
            self._broadcast(now, effects)

    def refuse_pending(self, effects: Effects) -> None:
        """Refuse all pending requests because the term has ended."""
        effects.extend(majority_not_reached(write.token) for write in self._pending_writes)
        effects.extend(not_primary(confirm.token) for confirm in self._pending_confirms)
        effects.extend(not_primary(held.token) for held in self._held_writes)

    def contact_age(self, now: float) -> float:
        """Return the seconds since a majority last replied."""
        return now - self._progress.majority_contact_at(now)

    def _write(self, event: Propose, now: float, effects: Effects) -> None:
        if self.contact_age(now) > ISOLATION_SECONDS:
            effects.append(not_primary(event.token))
            return
        self._append(Entry(self.term, event.payload), effects)
        deadline = now + MAJORITY_TIMEOUT_SECONDS
        self._pending_writes.append(_PendingWrite(event.token, len(self._log), deadline))
        for member, progress in self._progress.members.items():
            if not self._is_unresponsive(progress, now):
                self._send_append(member, progress, now, effects)

    def _append(self, entry: Entry, effects: Effects) -> None:
        position = self._log.append(entry)
        effects.append(PersistEntries(position.offset, (entry,)))

    def _broadcast(self, now: float, effects: Effects) -> None:
        """Start a round: send every other member an Append, with or without entries."""
        self._round += 1
        self.broadcast_at = now + HEARTBEAT_SECONDS
        for member, progress in self._progress.members.items():
            self._send_append(member, progress, now, effects)

    def _send_append(
        self, member: MemberId, progress: MemberProgress, now: float, effects: Effects
    ) -> None:
        entries: tuple[Entry, ...] = ()
        if self._is_unresponsive(progress, now):
            progress.next = progress.match + 1
        else:
            entries = self._log.slice(progress.next - 1, ENTRIES_PER_APPEND)
        previous = self._log.position(progress.next - 1)
        progress.next += len(entries)
        message = Append(
            term=self.term,
            previous=previous,
            entries=entries,
            commit=self._applier.commit,
            round=self._round,
            age=self.contact_age(now),
        )
        effects.append(Send(member, message))

    def _answer_confirms(self, effects: Effects) -> None:
        if self._applier.applied < self._term_start:
            return
        confirmed_round = self._progress.answered_round(self._round)
        while self._pending_confirms and self._pending_confirms[0].round <= confirmed_round:
            position = self._log.position(self._applier.commit)
            effects.append(Confirmed(self._pending_confirms.popleft().token, position))

    @staticmethod
    def _is_unresponsive(progress: MemberProgress, now: float) -> bool:
        return now - progress.answered_at > PROBE_SECONDS


def majority_not_reached(token: int) -> Refused:
    """Return the refusal of a write that was appended but is not known to be on a majority."""
    detail = "no majority acknowledged the write; it may have run"
    return Refused(token, RefusalCode.MAJORITY_NOT_REACHED, detail)


def not_primary(token: int) -> Refused:
    """Return the refusal of a write or confirmation that certainly had no effect."""
    detail = "not the primary, or without a majority; not run"
    return Refused(token, RefusalCode.NOT_PRIMARY, detail)
