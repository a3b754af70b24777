"""Bounds the numbers of incoming messages to those that later computations can handle."""

from math import inf
from typing import Any

HIGHEST_INTEGER = (1 << 64) - 1
"""Integers have 64 bits, with or without a sign; digests use all of them. Larger ones of CBOR are
not read: floats may not hold them."""
_BOUNDS: dict[str, dict[str, Any]] = {
    "int": {"ge": -HIGHEST_INTEGER - 1, "le": HIGHEST_INTEGER},
    # Excludes NaN alone: a time may be infinite.
    "float": {"ge": -inf},
}


def bounded(schema: Any) -> Any:
    """Return a pydantic core schema with bounds on all integers and floats."""
    if isinstance(schema, dict):
        found = {key: bounded(value) for key, value in schema.items()}
        return {**_BOUNDS.get(schema.get("type", ""), {}), **found}
    if isinstance(schema, list):
        return [bounded(value) for value in schema]
    return schema
