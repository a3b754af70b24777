"""Counts the messages that a node sends to and receives from its peers, by type."""

from dataclasses import dataclass, field

IP_AND_UDP_HEADER_BYTES = 28


@dataclass(slots=True)
class TrafficCount:
    """Number of messages and their bytes: payload and framing, for datagrams UDP and IP headers."""

    messages: int = 0
    octets: int = 0

    def add(self, octets: int) -> None:
        """Count one message."""
        self.messages += 1
        self.octets += octets


@dataclass(slots=True)
class PeerTraffic:
    """Traffic since the start of the transport."""

    sent: dict[type, TrafficCount] = field(default_factory=dict)
    received: dict[type, TrafficCount] = field(default_factory=dict)

    def count_sent(self, message_type: type, octets: int) -> None:
        """Count a message that was passed to a socket or a queue."""
        self.sent.setdefault(message_type, TrafficCount()).add(octets)

    def count_received(self, message_type: type, octets: int) -> None:
        """Count a received message."""
        self.received.setdefault(message_type, TrafficCount()).add(octets)
