"""Counts of what a node sends to and takes from its peers, by type of message."""

from dataclasses import dataclass, field

IP_AND_UDP_HEADER_BYTES = 28


@dataclass(slots=True)
class TrafficCount:
    """Messages and their bytes (payload and own framing; UDP and IP headers for datagrams)."""

    messages: int = 0
    octets: int = 0

    def add(self, octets: int) -> None:
        """Count one message."""
        self.messages += 1
        self.octets += octets


@dataclass(slots=True)
class PeerTraffic:
    """Since the start of the transport."""

    sent: dict[type, TrafficCount] = field(default_factory=dict)
    received: dict[type, TrafficCount] = field(default_factory=dict)

    def count_sent(self, message_type: type, octets: int) -> None:
        """Count a message that was handed to a socket or a queue."""
        self.sent.setdefault(message_type, TrafficCount()).add(octets)

    def count_received(self, message_type: type, octets: int) -> None:
        """Count a message that came in."""
        self.received.setdefault(message_type, TrafficCount()).add(octets)
