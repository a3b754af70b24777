"""What other services of a node ask the transport."""

from dataclasses import dataclass
from typing import Any

from bramblebeam.core.identity import Address, NodeId


@dataclass(frozen=True, slots=True)
class PeerRequest:
    """Send `message` to a node and wait for its answer (`timeout` in seconds).

    The answer is the peer's message or a `PeerFailure`. A request to the own node goes straight to
    the service that takes the message's type. `silence`: fail earlier, when for so many seconds
    nothing at all has come from the peer, not even the answer to a probe (None: do not).
    `repeatable`: it may run twice, so that it fails as soon as its stream is found to be silent.
    """

    to: NodeId
    message: Any
    timeout: float
    silence_timeout: float | None = None
    repeatable: bool = False


@dataclass(frozen=True, slots=True)
class PeerPost:
    """Send `message` over the stream to a node without an answer and without a promise."""

    to: NodeId
    message: Any


@dataclass(frozen=True, slots=True)
class PeerDatagram:
    """Send a small `message` as one UDP datagram."""

    to: Address
    message: Any


@dataclass(frozen=True, slots=True)
class PeerDelivery:
    """What the transport puts in a service's mailbox for a message from a peer.

    `source`: where a datagram came from; None for what came over a stream.
    """

    sender: NodeId
    message: Any
    source: Address | None = None


TIMED_OUT = "timed out"


@dataclass(frozen=True, slots=True)
class PeerFailure:
    """No answer. `sent` False: the peer surely did not get the message."""

    sent: bool
    detail: str

    @property
    def is_timeout(self) -> bool:
        """Whether only the request's time is over: as far as is known the peer runs."""
        return self.sent and self.detail == TIMED_OUT


@dataclass(frozen=True, slots=True)
class PeerRoute:
    """Register: messages of these types from peers go to the service `name`.

    They arrive as `PeerDelivery`; the reply of that envelope goes back to the peer.
    """

    name: str
    types: tuple[type, ...]


@dataclass(frozen=True, slots=True)
class TrafficRequest:
    """Ask for the traffic with peers so far; the answer is the live `PeerTraffic`."""
