"""Messages of gateway nodes, which serve callers on shared connections; part of the registry."""

from bramblebeam.core.failover import messages as failover
from bramblebeam.core.feed import messages as feed
from bramblebeam.core.gateway import messages as gateway
from bramblebeam.core.membership import messages as membership
from bramblebeam.core.quota import messages as quota
from bramblebeam.wire.messages import Hello, StreamProbe

MEMBERSHIP_MESSAGES: dict[int, type] = {
    200: membership.Ping,
    201: membership.Ack,
    202: membership.IndirectPing,
    203: membership.Gossip,
    204: membership.JoinRequest,
    205: membership.JoinReply,
    206: membership.DigestRequest,
    207: membership.DigestReply,
    208: membership.SyncRequest,
    209: membership.SyncOffer,
    210: membership.SyncDelta,
}

GATEWAY_MESSAGES: dict[int, type] = {
    700: gateway.ForwardedStatement,
    701: gateway.ForwardedReply,
    702: gateway.TransactionAbandoned,
    703: quota.AdmissionRequest,
    704: quota.Admission,
    705: quota.AdmissionReturned,
    706: gateway.StatementWithdrawn,
    707: quota.GrantRequest,
    708: quota.Grant,
    709: quota.GrantReturned,
}

FAILOVER_MESSAGES: dict[int, type] = {
    710: failover.StepDownRequest,
    711: failover.StepDownReply,
}

FEED_MESSAGES: dict[int, type] = {
    800: feed.FollowRequest,
    801: feed.FollowReply,
}

TRANSPORT_MESSAGES: dict[int, type] = {900: Hello, 901: StreamProbe}

GATEWAY_NODE_MESSAGES: dict[int, type] = {
    **MEMBERSHIP_MESSAGES,
    **GATEWAY_MESSAGES,
    **FAILOVER_MESSAGES,
    **FEED_MESSAGES,
    **TRANSPORT_MESSAGES,
}
"""All messages that gateway nodes exchange."""
