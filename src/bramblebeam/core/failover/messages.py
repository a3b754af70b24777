"""Messages between nodes for replacing a leader."""

from enum import IntEnum
from typing import NamedTuple

from bramblebeam.core.identity import ZERO_POSITION, GroupId, Position, ServerName


class StepDownOutcome(IntEnum):
    """Result of an attempt to make a database step down as leader."""

    DONE = 1
    """It no longer leads and accepts no writes."""
    GONE = 2
    """No process listens at its address, or another database does."""
    UNREACHABLE = 3
    """It did not respond. It may still lead, but the requested node no longer uses it."""
    NO_ANSWER = 4
    """The requested node did not respond."""


class StepDownRequest(NamedTuple):
    """Requests a node to make a database step down for `term`, and to stop using it.

    Applies to any incarnation of the server, since the nodes may not both know the latest one.
    """

    group: GroupId
    name: ServerName
    term: int


class StepDownReply(NamedTuple):
    """Result of a step-down request. `position`: the end of the database's log if DONE."""

    outcome: StepDownOutcome
    position: Position = ZERO_POSITION


UNREACHABLE = StepDownReply(StepDownOutcome.UNREACHABLE)
NO_ANSWER = StepDownReply(StepDownOutcome.NO_ANSWER)
