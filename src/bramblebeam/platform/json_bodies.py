"""Decodes JSON bodies that hold values of other writers.

`json.loads` rejects a whole body for a single value that is nested too deeply or has too many
digits. Here such a value is replaced by EXCESS, so that only the object that holds it is rejected.
"""

from __future__ import annotations

import json
import re
from typing import Any, Final, NamedTuple

MAX_DEPTH = 400
"""Nested lists and objects in a body; well below the depth at which `json.loads` fails."""
MAX_DIGITS = 4_300
"""Digits of an integer; Python's own limit, above which `json.loads` fails."""

# The quantifiers are possessive and the closing quote is optional: the scan never goes back, so
# that its time is linear for any text.
_TOKEN = re.compile(
    r'(?P<string>"(?:[^"\\]++|\\.)*+"?)|(?P<open>[\[{]++)|(?P<close>[\]}]++)|[0-9]{2,}+', re.DOTALL
)
_EXCESS_TEXT = "NaN"
"""Stands for an excessive value; JSON has no such constant, so that it is never a value."""


class _Excess:
    """The type of EXCESS; no parser of a field accepts it."""


EXCESS: Final = _Excess()
"""Replaces a value that is nested too deeply, has too many digits, or isn't a JSON number."""


class DecodedBody(NamedTuple):
    """A decoded body. `has_excess`: EXCESS replaces some of its values."""

    content: Any
    has_excess: bool


def _refuse_constant(name: str) -> Any:
    raise ValueError(f"{name} is not a JSON value")


_PLAIN = json.JSONDecoder(parse_constant=_refuse_constant)
_TOLERANT = json.JSONDecoder(parse_constant=lambda name: EXCESS)


def decode_body(text: str) -> DecodedBody:
    """Decode a JSON text, with EXCESS for its excessive values. Raises ValueError."""
    try:
        return DecodedBody(_PLAIN.decode(text), has_excess=False)
    except (ValueError, RecursionError):
        # Either one value is excessive, or the text isn't JSON; the latter fails again below.
        return DecodedBody(_TOLERANT.decode(_without_excess(text)), has_excess=True)


def holds_excess(value: Any) -> bool:
    """Return whether EXCESS replaces a part of a decoded value."""
    remaining = [value]
    while remaining:
        found = remaining.pop()
        if found is EXCESS:
            return True
        if isinstance(found, dict):
            remaining.extend(found.values())
        elif isinstance(found, list):
            remaining.extend(found)
    return False


def _without_excess(text: str) -> str:
    """Return a JSON text with _EXCESS_TEXT in place of values beyond MAX_DEPTH or MAX_DIGITS."""
    parts: list[str] = []
    depth = 0
    kept_until = 0
    for token in _TOKEN.finditer(text):
        start, end = token.span()
        if token.lastgroup == "open":
            if depth <= MAX_DEPTH < depth + end - start:
                parts += text[kept_until : start + MAX_DEPTH - depth], _EXCESS_TEXT
            depth += end - start
        elif token.lastgroup == "close":
            depth -= end - start
            if depth <= MAX_DEPTH < depth + end - start:
                kept_until = end - (MAX_DEPTH - depth)
        elif token.lastgroup is None and depth <= MAX_DEPTH and end - start > MAX_DIGITS:
            parts += text[kept_until:start], _EXCESS_TEXT
            kept_until = end
    return "".join([*parts, text[kept_until:]])
