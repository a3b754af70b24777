"""Messages of the membership protocol. Datagrams stay below `MAXIMUM_DATAGRAM_BYTES`."""

from dataclasses import dataclass
from typing import NamedTuple

from bramblebeam.core.identity import Address, NodeId, NodeSpec, ZoneId
from bramblebeam.core.membership.view import MemberState

MAXIMUM_DATAGRAM_BYTES = 1_200


class MemberUpdate(NamedTuple):
    """One member's record. `spec` is None only for a DEAD member."""

    node: NodeId
    incarnation: int
    state: MemberState
    spec: NodeSpec | None = None


class LinkUpdate(NamedTuple):
    """Whether this zone's relays reach `zone`; the higher sequence wins."""

    zone: ZoneId
    sequence: int
    reachable: bool


class ZoneDigest(NamedTuple):
    """Digest of one zone's records. `settled`: it has not changed for a while at the sender."""

    zone: ZoneId
    digest: int
    settled: bool


class MemberVersion(NamedTuple):
    """Which record of a member a node holds."""

    node: NodeId
    incarnation: int
    state: MemberState


class Seed(NamedTuple):
    """A node to join through."""

    node: NodeId
    address: Address


@dataclass(frozen=True, slots=True)
class Ping:
    """Ask `target` for a sign of life; another node at its address stays silent."""

    sequence: int
    target: NodeId
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """A sign of life, for the `Ping` or `IndirectPing` of this sequence."""

    sequence: int
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class IndirectPing:
    """Ask a third node to ping `target` and to pass its answer on."""

    sequence: int
    target: NodeId
    updates: tuple[MemberUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class Gossip:
    """Records that changed. `links` are taken only from members of the own zone."""

    updates: tuple[MemberUpdate, ...] = ()
    links: tuple[LinkUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class JoinRequest:
    """A starting node asks a seed for members of its zone."""

    zone: ZoneId


@dataclass(frozen=True, slots=True)
class JoinReply:
    """Members to synchronize with: of the asker's zone, or the seed itself where it knows none."""

    contacts: tuple[MemberUpdate, ...]


@dataclass(frozen=True, slots=True)
class DigestRequest:
    """Compare tables: the exclusive or of all zones' digests."""

    total: int


@dataclass(frozen=True, slots=True)
class DigestReply:
    """The other's digest by zone; empty where the totals are equal.

    `links`: for a member of the own zone, the state of every link known.
    """

    zones: tuple[ZoneDigest, ...] = ()
    links: tuple[LinkUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Over a stream: ask for what differs. Zones left out count as empty."""

    zones: tuple[ZoneDigest, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncOffer:
    """The versions held of every member of the zones that differ."""

    zones: tuple[ZoneId, ...]
    versions: tuple[MemberVersion, ...]
    links: tuple[LinkUpdate, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncDelta:
    """Records that the receiver lacks; `wanted`: those that the sender lacks."""

    updates: tuple[MemberUpdate, ...] = ()
    wanted: tuple[NodeId, ...] = ()
