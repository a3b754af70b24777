"""What a member does while it is the primary of a term: append, count a majority, acknowledge."""

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
"""The members hear of new commits at the latest this long after, by an early heartbeat."""

PROBE_SECONDS = 0.2
"""A member that has not answered for this long gets heartbeats without entries."""

MAJORITY_TIMEOUT_SECONDS = 2.0
"""A write or a question waits this long for a majority."""

ISOLATION_SECONDS = 0.5
"""Without a majority's answers for this long, writes are refused before they are appended."""

CONTACT_FRESH_SECONDS = 3 * HEARTBEAT_SECONDS
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
    """The primary's part of one term. It begins with an entry of its own that changes nothing."""

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
        self._held: deque[Propose] = deque()
        self._writes: deque[_PendingWrite] = deque()
        self._confirms: deque[_PendingConfirm] = deque()

    def begin(self, now: float, effects: Effects) -> None:
        """Append the term's first entry and tell the members."""
        self._append(Entry(self.term, None), effects)
        self._broadcast(now, effects)

    def propose(self, event: Propose, now: float, effects: Effects) -> None:
        """Append a client's write, or hold it while writes are paused."""
        if now < self._paused_until:
            self._held.append(event)
        else:
            self._write(event, now, effects)

    def confirm(self, token: int, now: float, effects: Effects) -> None:
        """Begin a round whose answers confirm this term to a client."""
        self._broadcast(now, effects)
        deadline = now + MAJORITY_TIMEOUT_SECONDS
        self._confirms.append(_PendingConfirm(token, self._round, deadline))

    def pause_writes(self, seconds: float, now: float) -> None:
        """Hold new writes for `seconds` from now on."""
        self._paused_until = now + seconds

    def take_reply(
        self, sender: MemberId, reply: AppendReply, now: float, effects: Effects
    ) -> None:
        """Take a member's answer of this term; send it what it still lacks."""
        progress = self._progress.take(sender, reply, now)
        if progress is not None and progress.next <= len(self._log):
            self._send_append(sender, progress, now, effects)

    def count_majority(self, now: float, effects: Effects) -> None:
        """Release writes after a pause and commit what a majority holds."""
        while self._held and now >= self._paused_until:
            self._write(self._held.popleft(), now, effects)
        held = self._progress.match(len(self._log))
        if held >= self._term_start and held > self._applier.commit:
            self._applier.commit_known(held, now)
            self.broadcast_at = min(self.broadcast_at, now + COMMIT_NOTICE_SECONDS)

    def acknowledge(self, offset: int, effects: Effects) -> None:
        """Answer the write whose entry was applied just now, if a client waits for it."""
        if self._writes and self._writes[0].offset == offset:
            token = self._writes.popleft().token
            effects.append(Acknowledged(token, self._log.position(offset)))

    def keep_up(self, now: float, effects: Effects) -> None:
        """Answer confirmed questions, give up late ones, and send heartbeats."""
        self._answer_confirms(effects)
        while self._writes and self._writes[0].deadline <= now:
            effects.append(majority_lost(self._writes.popleft().token))
        while self._confirms and self._confirms[0].deadline <= now:
            effects.append(not_primary(self._confirms.popleft().token))
        if now >= self.broadcast_at:
            self._broadcast(now, effects)

    def abandon(self, effects: Effects) -> None:
        """Give every waiting client its last word: the term is over."""
        effects.extend(majority_lost(write.token) for write in self._writes)
        effects.extend(not_primary(confirm.token) for confirm in self._confirms)
        effects.extend(not_primary(held.token) for held in self._held)

    def contact_age(self, now: float) -> float:
        """Return how long ago a majority was last heard (seconds)."""
        return now - self._progress.contact(now)

    def _write(self, event: Propose, now: float, effects: Effects) -> None:
        if self.contact_age(now) > ISOLATION_SECONDS:
            effects.append(not_primary(event.token))
            return
        self._append(Entry(self.term, event.payload), effects)
        deadline = now + MAJORITY_TIMEOUT_SECONDS
        self._writes.append(_PendingWrite(event.token, len(self._log), deadline))
        for member, progress in self._progress.members.items():
            if not self._silent(progress, now):
                self._send_append(member, progress, now, effects)

    def _append(self, entry: Entry, effects: Effects) -> None:
        position = self._log.append(entry)
        effects.append(PersistEntries(position.offset, (entry,)))

    def _broadcast(self, now: float, effects: Effects) -> None:
        """Begin a round: every other member gets a message, with entries or without."""
        self._round += 1
        self.broadcast_at = now + HEARTBEAT_SECONDS
        for member, progress in self._progress.members.items():
            self._send_append(member, progress, now, effects)

    def _send_append(
        self, member: MemberId, progress: MemberProgress, now: float, effects: Effects
    ) -> None:
        entries: tuple[Entry, ...] = ()
        if self._silent(progress, now):
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
        answered = self._progress.answered_round(self._round)
        while self._confirms and self._confirms[0].round <= answered:
            position = self._log.position(self._applier.commit)
            effects.append(Confirmed(self._confirms.popleft().token, position))

    @staticmethod
    def _silent(progress: MemberProgress, now: float) -> bool:
        return now - progress.answered_at > PROBE_SECONDS


def majority_lost(token: int) -> Refused:
    """Return the answer to a write that is in the log but not known to be held by a majority."""
    detail = "no majority acknowledged the write; it may have run"
    return Refused(token, RefusalCode.MAJORITY_NOT_REACHED, detail)


def not_primary(token: int) -> Refused:
    """Return the answer to a write or question that surely changed nothing."""
    detail = "not the primary, or without a majority; not run"
    return Refused(token, RefusalCode.NOT_PRIMARY, detail)
