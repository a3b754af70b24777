"""Encodes typed messages as CBOR and checks what comes in.

A message travels as `[tag, field, field, ...]` in the order its class declares the fields;
dataclasses and named tuples inside it travel as arrays in the same way. A newer node may add
fields with defaults at the end of a message or of a dataclass: an older one leaves them out on
reading, and a newer one fills them in from the defaults. Named tuples inside a message never
change. Tags are never given twice.
"""

import dataclasses
from collections.abc import Callable
from functools import cached_property
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

from bramblebeam.wire.shapes import Converter, message_shape

MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024


class DecodeError(Exception):
    """Bytes from a peer are not a message this node understands. Not retriable."""


class UnknownTagError(DecodeError):
    """A well-formed message of a type that this node does not know, as a newer node may send."""


@dataclasses.dataclass(frozen=True)
class _MessageType:
    """How one type of message is packed, unpacked and checked."""

    tag: int
    cls: type
    pack: Converter
    unpack: Converter

    @cached_property
    def validate(self) -> Callable[[Any], Any]:
        """The check of its fields; made when the first message comes, as it takes a while."""
        return TypeAdapter(self.cls).validator.validate_python


class Codec:
    """Knows the message types by tag and encodes, decodes and checks them."""

    def __init__(self, types: dict[int, type]) -> None:
        self._by_tag: dict[int, _MessageType] = {}
        self._by_class: dict[type, _MessageType] = {}
        for tag, cls in types.items():
            known = _describe(tag, cls)
            self._by_tag[tag] = known
            self._by_class[cls] = known

    def encode(self, message: Any) -> bytes:
        """Return the message's bytes. Raises KeyError for a type without a tag."""
        known = self._by_class[type(message)]
        encoded: bytes = cbor2.dumps((known.tag, *known.pack(message)))
        return encoded

    def decode(self, data: bytes) -> Any:
        """Return the message. Raises DecodeError for anything that is not a known, valid one."""
        if len(data) > MAXIMUM_MESSAGE_BYTES:
            raise DecodeError(f"message of {len(data)} bytes is too large")
        try:
            body = cbor2.loads(data)
        except Exception as error:
            raise DecodeError("message is not CBOR") from error
        if not isinstance(body, list) or not body or not isinstance(body[0], int):
            raise DecodeError("message is not an array that starts with a tag")
        known = self._by_tag.get(body[0])
        if known is None:
            raise UnknownTagError(f"message tag {body[0]} is unknown")
        try:
            return known.validate(known.unpack(body[1:]))
        except (ValidationError, RecursionError) as error:
            raise DecodeError(f"{known.cls.__name__} has wrong fields: {error}") from error


def _describe(tag: int, cls: type) -> _MessageType:
    shape = message_shape(cls)
    if shape.pack is None or shape.unpack is None:
        raise TypeError(f"{cls.__name__} is neither a dataclass nor a named tuple")
    return _MessageType(tag, cls, shape.pack, shape.unpack)
