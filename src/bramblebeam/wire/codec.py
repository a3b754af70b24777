"""Encodes typed messages as CBOR, and decodes and validates incoming ones.

A message is encoded as `[tag, field, field, ...]`, in the order in which its class declares the
fields; nested dataclasses and named tuples are encoded as arrays in the same way. A newer release
may append fields with defaults to a message or a dataclass: an older node ignores them, and a newer
node fills in the defaults. Named tuples inside a message never change. Tags are never reused.
"""

import dataclasses
from collections.abc import Callable
from functools import cached_property
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError
from pydantic_core import SchemaValidator

from bramblebeam.wire.bounds import bounded
from bramblebeam.wire.shapes import Converter, message_shape

MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024
MAXIMUM_TAG = (1 << 31) - 1
_MAX_ERROR_CHARS = 500
"""Characters of an error text: a message may have wrong values by the thousand."""


class DecodeError(Exception):
    """Bytes from a peer are not a message that this node understands. Not retriable."""


class UnknownTagError(DecodeError):
    """A well-formed message of an unknown type, as a newer node may send."""


@dataclasses.dataclass(frozen=True)
class _MessageType:
    """How one type of message is packed, unpacked and validated."""

    tag: int
    cls: type
    pack: Converter
    unpack: Converter

    @cached_property
    def validate(self) -> Callable[[Any], Any]:
        """Validator of the fields, built on first use because building it is slow."""
        return SchemaValidator(bounded(TypeAdapter(self.cls).core_schema)).validate_python


class Codec:
    """Encodes, decodes and validates messages of the types registered by tag."""

    def __init__(self, types: dict[int, type]) -> None:
        self._by_tag: dict[int, _MessageType] = {}
        self._by_class: dict[type, _MessageType] = {}
        for tag, cls in types.items():
            message_type = _message_type(tag, cls)
            self._by_tag[tag] = message_type
            self._by_class[cls] = message_type

    def encode(self, message: Any) -> bytes:
        """Return the encoded message. Raises KeyError for a type without a tag."""
        message_type = self._by_class[type(message)]
        encoded: bytes = cbor2.dumps((message_type.tag, *message_type.pack(message)))
        return encoded

    def decode(self, data: bytes) -> Any:
        """Return the message. Raises DecodeError unless it is of a message_type type and valid."""
        if len(data) > MAXIMUM_MESSAGE_BYTES:
            raise DecodeError(f"message of {len(data)} bytes is too large")
        try:
            body = cbor2.loads(data)
        except Exception as error:
            raise DecodeError("message is not CBOR") from error
        if not isinstance(body, list) or not body or type(body[0]) is not int:
            raise DecodeError("message is not an array that starts with a tag")
        message_type = self._by_tag.get(body[0])
        if message_type is None:
            if not 0 <= body[0] <= MAXIMUM_TAG:
                raise DecodeError("message tag is out of range")
            raise UnknownTagError(f"message tag {body[0]} is unknown")
        try:
            return message_type.validate(message_type.unpack(body[1:]))
        except (ValidationError, ValueError, RecursionError) as error:
            detail = f"{message_type.cls.__name__} has wrong fields: {_text_of(error)}"
            raise DecodeError(detail[:_MAX_ERROR_CHARS]) from error


def _text_of(error: Exception) -> str:
    try:
        return str(error)
    except ValueError:
        # It quotes an integer with more digits than Python converts to a text.
        return type(error).__name__


def _message_type(tag: int, cls: type) -> _MessageType:
    shape = message_shape(cls)
    if shape.pack is None or shape.unpack is None:
        raise TypeError(f"{cls.__name__} is neither a dataclass nor a named tuple")
    return _MessageType(tag, cls, shape.pack, shape.unpack)
