"""Message types by tag. Each package has a block of a hundred tags; tags are never reused."""

from bramblebeam.core import statement
from bramblebeam.core.administration import messages as administration
from bramblebeam.core.configuration import messages as configuration
from bramblebeam.core.group import messages as group
from bramblebeam.core.ownership import messages as ownership
from bramblebeam.wire.gateway_registry import GATEWAY_NODE_MESSAGES

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

OWNERSHIP_MESSAGES: dict[int, type] = {
    500: ownership.ReleaseRequest,
    501: ownership.ReleaseReply,
}

CONFIGURATION_MESSAGES: dict[int, type] = {
    300: configuration.Probe,
    301: configuration.Report,
    302: configuration.Pull,
    303: configuration.Changes,
    304: configuration.BucketDigests,
    305: configuration.BucketVersions,
    306: configuration.RowsWanted,
    307: configuration.RowsGiven,
    308: configuration.InForceRequest,
    309: configuration.InForceReply,
    310: configuration.ZoneVersionsRequest,
    311: configuration.ZoneVersionsReply,
}

GROUP_MESSAGES: dict[int, type] = {
    400: group.ChangePrimaryRequest,
    401: group.ChangePrimaryReply,
    402: group.GroupStatusRequest,
    403: group.GroupStatusReply,
    404: group.ReachabilityRequest,
    405: group.ReachabilityReply,
    406: group.PrimaryNotice,
}

ADMINISTRATION_MESSAGES: dict[int, type] = {
    600: administration.NodeStatusRequest,
    601: administration.NodeStatusReply,
    602: administration.DrainNodeRequest,
    603: administration.DrainNodeReply,
}

MESSAGES: dict[int, type] = {
    **ADMINISTRATION_MESSAGES,
    **STATEMENT_MESSAGES,
    **CONFIGURATION_MESSAGES,
    **OWNERSHIP_MESSAGES,
    **GROUP_MESSAGES,
    **GATEWAY_NODE_MESSAGES,
}
