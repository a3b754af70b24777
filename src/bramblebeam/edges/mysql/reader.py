"""Reads the fields of one client packet, with bounds checks."""

import struct


class MalformedPacketError(Exception):
    """A client packet is truncated or holds an invalid value."""


class PacketReader:
    """A cursor over one packet. Methods raise MalformedPacketError if the packet is too short."""

    __slots__ = ("_data", "_position")

    def __init__(self, data: bytes, position: int = 0) -> None:
        self._data = data
        self._position = position

    @property
    def remaining(self) -> int:
        """The number of unread bytes."""
        return len(self._data) - self._position

    def take(self, length: int) -> bytes:
        """Return the next `length` bytes."""
        end = self._position + length
        if end > len(self._data):
            raise MalformedPacketError("packet is too short")
        part = self._data[self._position : end]
        self._position = end
        return part

    def rest(self) -> bytes:
        """Return all remaining bytes."""
        return self.take(self.remaining)

    def integer(self, size: int, signed: bool = False) -> int:
        """Return a little-endian integer of `size` bytes."""
        start = self._position
        end = start + size
        if end > len(self._data):
            raise MalformedPacketError("packet is too short")
        self._position = end
        return int.from_bytes(self._data[start:end], "little", signed=signed)

    def floating_point(self, layout: str) -> float:
        """Return a floating-point number with the given `struct` layout."""
        value: float = struct.unpack(layout, self.take(struct.calcsize(layout)))[0]
        return value

    def length_encoded_integer(self) -> int:
        """Return a length-encoded integer."""
        first = self.integer(1)
        if first < 0xFB:
            return first
        sizes = {0xFC: 2, 0xFD: 3, 0xFE: 8}
        if first not in sizes:
            raise MalformedPacketError("invalid length prefix")
        return self.integer(sizes[first])

    def length_encoded_string(self) -> bytes:
        """Return a length-encoded string."""
        return self.take(self.length_encoded_integer())

    def null_terminated_string(self) -> bytes:
        """Return a null-terminated string without its terminator."""
        end = self._data.find(b"\x00", self._position)
        if end < 0:
            raise MalformedPacketError("string is not null-terminated")
        part = self._data[self._position : end]
        self._position = end + 1
        return part
