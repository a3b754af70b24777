"""Bounds the numbers of incoming messages to those that later computations can handle."""

from math import inf
from typing import Any

LOWEST_INTEGER = -(1 << 63)
HIGHEST_INTEGER = (1 << 64) - 1
"""Integers have 64 bits, with a sign or, as digests of tables, without one. CBOR has larger ones,
which no float holds."""
_BOUNDS: dict[str, dict[str, Any]] = {
    "int": {"ge": LOWEST_INTEGER, "le": HIGHEST_INTEGER},
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
