"""Converts field values to plain arrays and back, according to their declared types.

Records are encoded as arrays of their fields in declared order. Named tuples are arrays already;
nested dataclasses are converted by the functions that are built here, once per type.
"""

import dataclasses
import types
import typing
from collections.abc import Callable, Mapping, Sequence
from operator import attrgetter
from typing import Any

from pydantic_core import ArgsKwargs

Converter = Callable[[Any], Any]


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Converters of one type; None if values are encoded unchanged."""

    pack: Converter | None = None
    unpack: Converter | None = None


PLAIN = Shape()


def record_fields(cls: type) -> Callable[[Any], tuple[Any, ...]]:
    """Return a function that returns the fields of a dataclass instance as a tuple, in order."""
    names = [field.name for field in dataclasses.fields(cls)]
    if not names:
        return lambda _record: ()
    getter = attrgetter(*names)
    if len(names) == 1:
        return lambda record: (getter(record),)
    return getter


def record_shape(cls: type) -> Shape:
    """Return the converters of a dataclass. `unpack` ignores surplus items of an array."""
    fields = record_fields(cls)
    hints = typing.get_type_hints(cls)
    shapes = [shape_of(hints[field.name]) for field in dataclasses.fields(cls)]
    packers = [(at, shape.pack) for at, shape in enumerate(shapes) if shape.pack is not None]
    unpackers = [(at, shape.unpack) for at, shape in enumerate(shapes) if shape.unpack is not None]
    length = len(shapes)

    def pack(record: Any) -> Any:
        if record is None or not packers:
            return None if record is None else fields(record)
        values = list(fields(record))
        for at, packer in packers:
            values[at] = packer(values[at])
        return values

    def unpack(array: Any) -> Any:
        if not isinstance(array, list):
            return array
        values = array[:length]
        for at, unpacker in unpackers:
            if at < len(values):
                values[at] = unpacker(values[at])
        return ArgsKwargs(tuple(values))

    return Shape(pack, unpack)


def message_shape(cls: type) -> Shape:
    """Return the converters of a message. `unpack` ignores surplus items of an array."""
    if not _is_named_tuple(cls):
        return _class_shape(cls)
    _named_tuple_shape(cls)
    length = len(typing.get_type_hints(cls))
    return Shape(tuple, lambda array: array[:length])


def shape_of(hint: Any) -> Shape:
    """Return the converters of a declared type; dataclasses at any depth are converted."""
    if isinstance(hint, typing.NewType):
        return shape_of(hint.__supertype__)
    if isinstance(hint, type):
        return _class_shape(hint)
    return _generic_shape(hint)


def _generic_shape(hint: Any) -> Shape:
    origin = typing.get_origin(hint)
    if origin is typing.Annotated:
        return shape_of(typing.get_args(hint)[0])
    if origin is typing.Union or origin is types.UnionType:
        return _union_shape(hint)
    if isinstance(origin, type) and issubclass(origin, Mapping):
        return _mapping_shape(hint)
    if isinstance(origin, type) and issubclass(origin, Sequence | set | frozenset):
        return _sequence_shape(hint)
    return PLAIN


def _class_shape(cls: type) -> Shape:
    if dataclasses.is_dataclass(cls):
        return record_shape(cls)
    if _is_named_tuple(cls):
        return _named_tuple_shape(cls)
    return PLAIN


def _is_named_tuple(cls: type) -> bool:
    return issubclass(cls, tuple) and hasattr(cls, "_fields")


def _named_tuple_shape(cls: Any) -> Shape:
    hints = typing.get_type_hints(cls)
    shapes = [shape_of(hints[name]) for name in cls._fields]
    if all(shape is PLAIN for shape in shapes):
        return PLAIN
    raise TypeError(f"named tuple {cls.__name__} contains a dataclass; make it a dataclass")


def _union_shape(hint: Any) -> Shape:
    shapes = [shape_of(part) for part in typing.get_args(hint) if part is not types.NoneType]
    converted = [shape for shape in shapes if shape is not PLAIN]
    if not converted:
        return PLAIN
    if len(shapes) > 1:
        raise TypeError(f"union {hint} contains a dataclass and another type")
    return converted[0]


def _sequence_shape(hint: Any) -> Shape:
    parts = [part for part in typing.get_args(hint) if part is not Ellipsis]
    inner = [shape_of(part) for part in parts]
    if all(shape is PLAIN for shape in inner):
        return PLAIN
    if len(inner) != 1:
        raise TypeError(f"{hint} contains a dataclass at a fixed position")
    pack, unpack = inner[0].pack, inner[0].unpack
    if pack is None or unpack is None:
        return PLAIN
    return Shape(_each(pack), _each(unpack))


def _mapping_shape(hint: Any) -> Shape:
    key, value = typing.get_args(hint)
    if shape_of(key) is not PLAIN:
        raise TypeError(f"{hint} has a dataclass as its key")
    pack, unpack = shape_of(value).pack, shape_of(value).unpack
    if pack is None or unpack is None:
        return PLAIN
    return Shape(_each_value(pack), _each_value(unpack))


def _each(convert: Converter) -> Converter:
    def convert_all(values: Any) -> Any:
        if not isinstance(values, list | tuple | set | frozenset):
            return values
        return [convert(value) for value in values]

    return convert_all


def _each_value(convert: Converter) -> Converter:
    def convert_all(values: Any) -> Any:
        if not isinstance(values, Mapping):
            return values
        return {key: convert(value) for key, value in values.items()}

    return convert_all
