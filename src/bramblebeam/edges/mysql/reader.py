"""Reads the fields of one client packet, with every length checked."""

import struct


class MalformedPacketError(Exception):
    """A client packet ends before its fields do, or carries values that are not allowed."""


class PacketReader:
    """A cursor over one packet. Every method raises MalformedPacketError past the end."""

    __slots__ = ("_data", "_position")

    def __init__(self, data: bytes, position: int = 0) -> None:
        self._data = data
        self._position = position

    @property
    def remaining(self) -> int:
        """How many bytes are left."""
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
        """Return all bytes that are left."""
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
        """Return a floating point number by its `struct` layout."""
        value: float = struct.unpack(layout, self.take(struct.calcsize(layout)))[0]
        return value

    def length_encoded_integer(self) -> int:
        """Return a length-encoded integer."""
        first = self.integer(1)
        if first < 0xFB:
            return first
        sizes = {0xFC: 2, 0xFD: 3, 0xFE: 8}
        if first not in sizes:
            raise MalformedPacketError("length is not allowed")
        return self.integer(sizes[first])

    def text(self) -> bytes:
        """Return a length-encoded string."""
        return self.take(self.length_encoded_integer())

    def null_terminated_string(self) -> bytes:
        """Return a string that ends with a zero byte, without it."""
        end = self._data.find(b"\x00", self._position)
        if end < 0:
            raise MalformedPacketError("string has no end")
        part = self._data[self._position : end]
        self._position = end + 1
        return part
