"""Which message has which tag. One block of a hundred a package; a tag is never used twice."""

from bramblebeam.core import statement
from bramblebeam.wire.messages import Hello

STATEMENT_MESSAGES: dict[int, type] = {
    100: statement.ExecuteRequest,
    101: statement.ExecuteReply,
    102: statement.FetchRequest,
    103: statement.AbandonRequest,
    104: statement.PositionRequest,
    105: statement.PositionReply,
    106: statement.SubscribeRequest,
    107: statement.SubscribeReply,
    108: statement.InstanceStatus,
}

TRANSPORT_MESSAGES: dict[int, type] = {900: Hello}

MESSAGES: dict[int, type] = {**STATEMENT_MESSAGES, **TRANSPORT_MESSAGES}
