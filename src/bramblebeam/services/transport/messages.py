"""Messages between a node's other services and its transport service."""

from dataclasses import dataclass
from typing import Any

from bramblebeam.core.identity import Address, NodeId


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """Send `message` to a node and wait for its answer (`timeout` in seconds).

    The answer is the peer's message or a `PeerFailure`. A request to the own node goes directly to
    the service that handles the message's type. `silence_timeout`: fail earlier if nothing at all
    is received from the peer for so many seconds, not even the answer to a probe (None: do not).
    `repeatable`: the request may run twice, so it fails as soon as its stream is found to be
    unresponsive, even before its own silence timeout.
    """

    to: NodeId
    message: Any
    timeout: float
    silence_timeout: float | None = None
    repeatable: bool = False


@dataclass(frozen=True, slots=True)
class PeerPost:
    """Send `message` over the stream to a node, without an answer or a delivery guarantee."""

    to: NodeId
    message: Any


@dataclass(frozen=True, slots=True)
class PeerDatagram:
    """Send a small `message` as one UDP datagram."""

    to: Address
    message: Any


@dataclass(frozen=True, slots=True)
class PeerDelivery:
    """A peer's message, as the transport posts it to a service's mailbox.

    `source`: the sender's address of a datagram; None for a message from a stream.
    """

    sender: NodeId
    message: Any
    source: Address | None = None


TIMED_OUT = "timed out"


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """A request without an answer. `sent` False: the peer certainly did not receive it."""

    sent: bool
    detail: str

    @property
    def is_timeout(self) -> bool:
        """Whether only the request's timeout expired; the peer is not known to have failed."""
        return self.sent and self.detail == TIMED_OUT


@dataclass(frozen=True, slots=True)
class PeerRoute:
    """Route peers' messages of these types to the service `name`.

    They arrive as `PeerDelivery`. The reply to that envelope is sent back to the peer.
    """

    name: str
    types: tuple[type, ...]


@dataclass(frozen=True, slots=True)
class TrafficRequest:
    """Request the traffic counts since the start; the answer is the live `PeerTraffic`."""
