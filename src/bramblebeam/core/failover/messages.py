"""Messages between nodes about a leader that is to be replaced."""

from enum import IntEnum
from typing import NamedTuple

from bramblebeam.core.identity import ZERO_POSITION, GroupId, Position, ServerName


class StepDownOutcome(IntEnum):
    """What became of the attempt to take the lead from a database."""

    DONE = 1
    """It leads no more, and takes no writes."""
    GONE = 2
    """Nothing listens at its address, or another database does."""
    UNREACHABLE = 3
    """It gave no answer. It may lead on, but the node that tried does not use it any more."""
    NO_ANSWER = 4
    """The node that was to try gave no answer."""


class StepDownRequest(NamedTuple):
    """Ask a node to take the lead from a database in favour of `term`, and to use it no more.

    Whichever start of it the node knows: the two nodes may not both have heard of the last one.
    """

    group: GroupId
    name: ServerName
    term: int


class StepDownReply(NamedTuple):
    """What the node met. `position`: the end of the database's log, where it is DONE."""

    outcome: StepDownOutcome
    position: Position = ZERO_POSITION


UNREACHABLE = StepDownReply(StepDownOutcome.UNREACHABLE)
NO_ANSWER = StepDownReply(StepDownOutcome.NO_ANSWER)
