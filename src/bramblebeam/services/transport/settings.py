"""What the transport and membership services are told at their start."""

from collections.abc import Sequence
from typing import Protocol

from bramblebeam.core.identity import Address, NodeId, ZoneId


class Endpoint(Protocol):
    """An address to listen on. Port 0: the system chooses."""

    @property
    def host(self) -> str:
        """The IP number."""

    @property
    def port(self) -> int:
        """The TCP and UDP port."""


class SeedNode(Protocol):
    """A node to join through."""

    @property
    def node(self) -> NodeId:
        """Its name, or any other text where only the address is known."""

    @property
    def address(self) -> Address:
        """Its peer address."""


class PeerSettings(Protocol):
    """The part of a node's settings that its peers matter to."""

    @property
    def node(self) -> NodeId:
        """The node's own name."""

    @property
    def zone(self) -> ZoneId:
        """The node's own zone."""

    @property
    def region(self) -> str:
        """The region of the zone."""

    @property
    def peer(self) -> Endpoint:
        """Where the node listens for its peers."""

    @property
    def seeds(self) -> Sequence[SeedNode]:
        """Nodes to join through."""
