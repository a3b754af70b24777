"""Messages of the transport itself."""

from dataclasses import dataclass

from bramblebeam.core.identity import NodeId

MINIMUM_PROTOCOL = 1
MAXIMUM_PROTOCOL = 3
COMPRESSION_PROTOCOL = 2
"""The first version that knows compressed replies."""
STREAM_COMPRESSION_PROTOCOL = 3
"""From this version on all that follows the hello is compressed."""


@dataclass(frozen=True, slots=True)
class Hello:
    """The first frame in each direction of a stream.

    Both ends take the highest protocol version that lies in both ranges; without one they close.
    """

    node: NodeId
    minimum_protocol: int = MINIMUM_PROTOCOL
    maximum_protocol: int = MAXIMUM_PROTOCOL


@dataclass(frozen=True, slots=True)
class StreamProbe:
    """Asks a peer whose stream has been silent whether it still answers; the answer is the same.

    Any answer will do, also the refusal of a peer that does not know the message.
    """


def highest_protocol(compresses_streams: bool) -> int:
    """Return the highest version that a node speaks, by whether it compresses streams."""
    highest = STREAM_COMPRESSION_PROTOCOL if compresses_streams else COMPRESSION_PROTOCOL
    return min(highest, MAXIMUM_PROTOCOL)


def common_protocol(hello: Hello, own_highest: int) -> int | None:
    """Return the protocol version to speak with the sender of `hello`, or None."""
    highest = min(hello.maximum_protocol, own_highest)
    lowest = max(hello.minimum_protocol, MINIMUM_PROTOCOL)
    return highest if highest >= lowest else None
