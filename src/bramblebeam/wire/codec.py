"""Encodes typed messages as CBOR and checks what comes in.

A message travels as `[tag, field, field, ...]` in the order the dataclass declares its fields.
A newer node may add fields with defaults at the end: an older one leaves them out on reading,
and a newer one fills them in from the defaults. Tags are never given twice.
"""

import dataclasses
from typing import Any

import cbor2
from pydantic import TypeAdapter, ValidationError

MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024


class DecodeError(Exception):
    """Bytes from a peer are not a message this node understands. Not retriable."""


@dataclasses.dataclass(frozen=True, slots=True)
class _MessageType:
    tag: int
    cls: type
    names: tuple[str, ...]
    adapter: TypeAdapter[Any]


class Codec:
    """Knows the message types by tag and encodes, decodes and checks them."""

    def __init__(self, types: dict[int, type]) -> None:
        self._by_tag: dict[int, _MessageType] = {}
        self._by_class: dict[type, _MessageType] = {}
        for tag, cls in types.items():
            names = tuple(field.name for field in dataclasses.fields(cls))
            known = _MessageType(tag, cls, names, TypeAdapter(cls))
            self._by_tag[tag] = known
            self._by_class[cls] = known

    def encode(self, message: Any) -> bytes:
        """Return the message's bytes. Raises KeyError for a type without a tag."""
        known = self._by_class[type(message)]
        fields = [_plain(getattr(message, name)) for name in known.names]
        encoded: bytes = cbor2.dumps([known.tag, *fields])
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
            raise DecodeError(f"message tag {body[0]} is unknown")
        try:
            return known.adapter.validate_python(dict(zip(known.names, body[1:], strict=False)))
        except (ValidationError, RecursionError) as error:
            raise DecodeError(f"{known.cls.__name__} has wrong fields: {error}") from error


def _plain(value: Any) -> Any:
    """Turn nested dataclasses into maps, which carry their field names."""
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        return {
            field.name: _plain(getattr(value, field.name)) for field in dataclasses.fields(value)
        }
    return value
