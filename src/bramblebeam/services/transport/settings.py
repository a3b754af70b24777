"""Settings of the transport and membership services."""

from collections.abc import Sequence
from typing import Protocol

from bramblebeam.core.identity import Address, NodeId, ZoneId


class Endpoint(Protocol):
    """An address to listen on. Port 0: the operating system chooses the port."""

    @property
    def host(self) -> str:
        """The IP address."""

    @property
    def port(self) -> int:
        """The TCP and UDP port."""


class SeedNode(Protocol):
    """A node through which to join the system."""

    @property
    def node(self) -> NodeId:
        """Its name, or any other text if only the address is known."""

    @property
    def address(self) -> Address:
        """Its peer address."""


class PeerSettings(Protocol):
    """The part of a node's settings that concerns its peers."""

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
        """The endpoint on which the node listens for peers."""

    @property
    def seeds(self) -> Sequence[SeedNode]:
        """Nodes through which to join the system."""
