"""Events, effects and messages of one member of a database group.

Members are named by their instance, which stands where `core.machine` says node.
"""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any, NamedTuple

from bramblebeam.core.identity import NodeId, Position
from bramblebeam.core.role import Role

MemberId = NodeId
"""The instance name of a group's member."""


class Entry(NamedTuple):
    """One entry of the log. `payload` None: the first entry of a term, which changes nothing."""

    term: int
    payload: Any


# Messages between members


@dataclass(frozen=True, slots=True)
class Append:
    """The primary of `term` sends the entries after `previous` (none: a heartbeat).

    `commit` is the offset up to which a majority holds the log. `round` is given back in the
    answer and tells which broadcast was answered. `age` (seconds) is how long ago the primary
    heard a majority: what it says of the commit may be that old. The time on the way is not in it.
    """

    term: int
    previous: Position
    entries: tuple[Entry, ...]
    commit: int
    round: int
    age: float = 0.0


@dataclass(frozen=True, slots=True)
class AppendReply:
    """A member's answer to `Append`.

    `promised` is the highest term that the member promised; above `term`, it refused. `matched`:
    the logs agree up to offset `last`; else `last` is where the primary should try next.
    """

    term: int
    promised: int
    matched: bool
    last: int
    round: int


# Events


@dataclass(frozen=True, slots=True)
class PromiseTerm:
    """A controller asks to refuse every term below `term`."""

    token: int
    term: int


@dataclass(frozen=True, slots=True)
class PromoteMember:
    """A controller makes this member the primary of the term it promised."""

    token: int
    term: int
    members: tuple[MemberId, ...]


@dataclass(frozen=True, slots=True)
class FollowPrimary:
    """A controller tells the primary of a term."""

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
    """A client asks for the last committed position, confirmed by a majority from now on."""

    token: int


@dataclass(frozen=True, slots=True)
class PauseWrites:
    """New writes wait for `seconds` (0: no longer)."""

    seconds: float


@dataclass(frozen=True, slots=True)
class SetLag:
    """As a replica, apply entries `seconds` after they were known to be committed."""

    seconds: float


@dataclass(frozen=True, slots=True)
class SetLeaving:
    """Show, or take back, the sign that this member is to leave."""

    leaving: bool


# Effects


@dataclass(frozen=True, slots=True)
class PersistPromise:
    """Keep the promise on disk, before any later effect."""

    term: int


@dataclass(frozen=True, slots=True)
class PersistEntries:
    """Replace what is on disk from `first` (an offset, from 1) by `entries`."""

    first: int
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Apply:
    """Carry out a committed entry on the rows."""

    position: Position
    payload: Any


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """The write is committed and applied; it comes right after its `Apply`."""

    token: int
    position: Position


@dataclass(frozen=True, slots=True)
class Confirmed:
    """The answer to `ConfirmPosition`."""

    token: int
    position: Position


@dataclass(frozen=True, slots=True)
class TermAccepted:
    """The controller's command was carried out."""

    token: int


class RefusalCode(IntEnum):
    """Error codes of the group's own, as MySQL clients see them."""

    TERM_TAKEN = 3100
    """A higher or equal term was promised already, or the command does not fit the promise."""
    NOT_PRIMARY = 3101
    """No primary, or not of the latest term: surely not run."""
    MAJORITY_NOT_REACHED = 3102
    """The entry is in this member's log but no majority is known to hold it: may have run."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The command, write or question is refused."""

    token: int
    code: RefusalCode
    detail: str


@dataclass(frozen=True, slots=True)
class ReplicaStatus:
    """What a member tells of itself. `lag` and `primary_contact` are seconds."""

    term: int
    role: Role
    last: Position
    applied: Position
    lag: float
    primary_contact: float
    primary: str
    promised_term: int
    leaving: bool
