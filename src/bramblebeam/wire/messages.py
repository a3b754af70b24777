"""Messages of the transport itself."""

from dataclasses import dataclass

from bramblebeam.core.identity import NodeId

MINIMUM_PROTOCOL = 1
MAXIMUM_PROTOCOL = 3
COMPRESSION_PROTOCOL = 2
"""The first version that supports compressed replies."""
STREAM_COMPRESSION_PROTOCOL = 3
"""The first version that compresses the whole stream after the hello."""


@dataclass(frozen=True, slots=True)
class Hello:
    """The first frame in each direction of a stream.

    Both ends use the highest protocol version in both ranges; if there is none, they close.
    """

    node: NodeId
    minimum_protocol: int = MINIMUM_PROTOCOL
    maximum_protocol: int = MAXIMUM_PROTOCOL


@dataclass(frozen=True, slots=True)
class StreamProbe:
    """Checks whether an unresponsive peer still answers; it replies with the same message.

    Any answer will do, including a refusal by a peer that does not know the message.
    """


def highest_protocol(compresses_streams: bool) -> int:
    """Return the highest version that a node supports, with or without stream compression."""
    highest = STREAM_COMPRESSION_PROTOCOL if compresses_streams else COMPRESSION_PROTOCOL
    return min(highest, MAXIMUM_PROTOCOL)


def common_protocol(hello: Hello, own_highest: int) -> int | None:
    """Return the protocol version to use with the sender of `hello`, or None if there is none."""
    highest = min(hello.maximum_protocol, own_highest)
    lowest = max(hello.minimum_protocol, MINIMUM_PROTOCOL)
    return highest if highest >= lowest else None
