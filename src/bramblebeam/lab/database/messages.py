"""Events, effects and messages of the state machine of one group member.

Members are identified by instance name, where `core.machine` uses node names.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple

from bramblebeam.core.identity import NodeId, Position
from bramblebeam.core.role import Role

MemberId = NodeId
"""The instance name of a group member."""


class Entry(NamedTuple):
    """One log entry. `payload` is None in a term's first entry, which changes no rows."""

    term: int
    payload: Any


# Messages between members


@dataclass(frozen=True, slots=True)
class Append:
    """Sent by the primary of `term` with the entries after `previous` (no entries: a heartbeat).

    `commit` is the offset up to which a majority holds the log. `round` identifies the broadcast
    and is repeated in the reply. `age` (seconds) is how long ago the primary last had replies
    from a majority, so `commit` may be that old; it excludes network delay.
    """

    term: int
    previous: Position
    entries: tuple[Entry, ...]
    commit: int
    round: int
    age: float = 0.0


@dataclass(frozen=True, slots=True)
class AppendReply:
    """A member's reply to `Append`.

    `promised` is the highest term that the member promised; if above `term`, it refused. If
    `matched`, the logs agree up to offset `last`; else `last` is where the primary should retry.
    """

    term: int
    promised: int
    matched: bool
    last: int
    round: int


# Events


@dataclass(frozen=True, slots=True)
class PromiseTerm:
    """A controller requests a promise to refuse every term below `term`."""

    token: int
    term: int


@dataclass(frozen=True, slots=True)
class PromoteMember:
    """A controller makes this member the primary of the term that it promised."""

    token: int
    term: int
    members: tuple[MemberId, ...]


@dataclass(frozen=True, slots=True)
class FollowPrimary:
    """A controller announces the primary of a term."""

    token: int
    term: int
    primary: MemberId


@dataclass(frozen=True, slots=True)
class Propose:
    """A client's write."""

    token: int
    payload: Any


@dataclass(frozen=True, slots=True)
class ConfirmPosition:
    """A client requests the last committed position, confirmed by replies sent from now on."""

    token: int


@dataclass(frozen=True, slots=True)
class PauseWrites:
    """Hold new writes for `seconds` (0: resume)."""

    seconds: float


@dataclass(frozen=True, slots=True)
class SetLag:
    """Set a replica's delay between learning of a commit and applying it."""

    seconds: float


@dataclass(frozen=True, slots=True)
class SetLeaving:
    """Set or clear the flag that this member is leaving."""

    leaving: bool


# Effects


@dataclass(frozen=True, slots=True)
class PersistPromise:
    """Persist the promised term before any later effect."""

    term: int


@dataclass(frozen=True, slots=True)
class PersistEntries:
    """Replace the persisted entries from offset `first` on by `entries`."""

    first: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply a committed entry to the rows."""

    position: Position
    payload: Any


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The write is committed and applied. Follows its `Apply` immediately."""

    token: int
    position: Position


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The answer to `ConfirmPosition`."""

    token: int
    position: Position


@dataclass(frozen=True, slots=True)
class TermAccepted:
    """The controller's command was accepted."""

    token: int


class RefusalCode(IntEnum):
    """Group-specific error codes, as sent to MySQL clients."""

    TERM_TAKEN = 3100
    """An equal or higher term is already promised, or the command contradicts the promise."""
    NOT_PRIMARY = 3101
    """This member is not the primary, or not of the latest term: not run."""
    MAJORITY_NOT_REACHED = 3102
    """The entry is in this member's log but not known to be on a majority: may have run."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The command, write or confirmation is refused."""

    token: int
    code: RefusalCode
    detail: str


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """Status that a member reports. `lag` and `primary_contact` are in seconds."""

    term: int
    role: Role
    last: Position
    applied: Position
    lag: float
    primary_contact: float
    primary: str
    promised_term: int
    leaving: bool
