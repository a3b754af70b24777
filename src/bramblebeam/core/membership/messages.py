"""Messages of the membership protocol. Datagrams do not exceed `MAXIMUM_DATAGRAM_BYTES`."""

from dataclasses import dataclass
from typing import NamedTuple

from bramblebeam.core.identity import Address, NodeId, NodeSpec, ZoneId
from bramblebeam.core.membership.view import MemberState

MAXIMUM_DATAGRAM_BYTES = 1_200


class MemberUpdate(NamedTuple):
    """A member's record. `spec` is None only for a DEAD member."""

    node: NodeId
    incarnation: int
    state: MemberState
    spec: NodeSpec | None = None


class LinkUpdate(NamedTuple):
    """Whether the sender's zone's relays reach `zone`; a higher sequence supersedes a lower one."""

    zone: ZoneId
    sequence: int
    reachable: bool


class ZoneDigest(NamedTuple):
    """Digest of a zone's records. `settled`: unchanged at the sender for `settle_seconds`."""

    zone: ZoneId
    digest: int
    settled: bool


class MemberVersion(NamedTuple):
    """Version of a member's record that a node holds."""

    node: NodeId
    incarnation: int
    state: MemberState


class Seed(NamedTuple):
    """A node through which others join the cluster."""

    node: NodeId
    address: Address


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe `target`; a different node at its address does not reply."""

    sequence: int
    target: NodeId
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Reply to the `Ping` or `IndirectPing` with this sequence."""

    sequence: int
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class IndirectPing:
    """Ask a third node to ping `target` and to forward its reply."""

    sequence: int
    target: NodeId
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Gossip:
    """Changed records. `links` are accepted only from members of the receiver's zone."""

    updates: tuple[MemberUpdate, ...] = ()
    links: tuple[LinkUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """Request of a starting node to a seed for members of its zone."""

    zone: ZoneId


@dataclass(frozen=True, slots=True)
class JoinReply:
    """Members to synchronize with: some of the requester's zone, and the seed itself."""

    contacts: tuple[MemberUpdate, ...]


@dataclass(frozen=True, slots=True)
class DigestRequest:
    """Start a table comparison. `total`: exclusive or of all zones' digests."""

    total: int


@dataclass(frozen=True, slots=True)
class DigestReply:
    """The sender's digests by zone; empty if the totals are equal.

    `links`: the state of every known link, if the receiver is in the sender's zone.
    """

    zones: tuple[ZoneDigest, ...] = ()
    links: tuple[LinkUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Request the versions of differing zones, over a stream. Omitted zones count as empty."""

    zones: tuple[ZoneDigest, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncOffer:
    """The sender's versions of all members of the differing zones."""

    zones: tuple[ZoneId, ...]
    versions: tuple[MemberVersion, ...]
    links: tuple[LinkUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncDelta:
    """Records that the receiver lacks; `wanted`: members whose records the sender lacks."""

    updates: tuple[MemberUpdate, ...] = ()
    wanted: tuple[NodeId, ...] = ()
