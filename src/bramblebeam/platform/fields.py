"""Reads values of other writers within bounds, so that whatever is accepted can be worked with.

The bounds are far beyond what any deployment needs. They exclude what no later step can handle:
integers that no float holds, texts that no line carries, addresses that cannot be connected to.
Error texts name the field but never show its value, which may be huge or secret.
"""

from __future__ import annotations

import socket
from typing import Any

from bramblebeam.core.identity import Address

MAX_TEXT_CHARS = 1_024
"""Characters of a name. Several fit on one line of the protocol and on one line of the log."""
MAX_INTEGER = (1 << 53) - 1
"""Largest integer that floats, and so all JSON readers, represent exactly."""
MAX_COUNT = 1_000_000
"""Largest number of slots, connections or replicas of one database or group."""
MAX_DURATION_MS = 31 * 24 * 3_600 * 1_000
"""Longest time limit (milliseconds): a month, which every timer can hold."""
MAX_DECIMAL_DIGITS = 18
"""Digits of an integer that is sent as text; it then fits into 64 bits."""
MAX_PORT = 65_535


class FieldError(ValueError):
    """A field is missing or has a value that is not allowed; the text names the field."""


def object_of(value: Any, name: str) -> dict[str, Any]:
    """Return a JSON object. Raises FieldError."""
    if not isinstance(value, dict):
        raise FieldError(f"{name}: {type(value).__name__} instead of an object")
    return value


def list_of(value: Any, name: str) -> list[Any]:
    """Return a JSON list. Raises FieldError."""
    if not isinstance(value, list):
        raise FieldError(f"{name}: {type(value).__name__} instead of a list")
    return value


def text(value: Any, name: str) -> str:
    """Return a text of any characters. Raises FieldError."""
    if type(value) is not str:
        raise FieldError(f"{name} is not a string")
    if len(value) > MAX_TEXT_CHARS:
        raise FieldError(f"{name} has more than {MAX_TEXT_CHARS} characters")
    return value


def word(value: Any, name: str) -> str:
    """Return a text that can be sent as one word of a protocol line. Raises FieldError."""
    if type(value) is not str:
        raise FieldError(f"{name} is not a string")
    if " " in value or not value.isprintable() or not 0 < len(value) <= MAX_TEXT_CHARS:
        raise FieldError(f"{name} is not a printable word of 1 to {MAX_TEXT_CHARS} characters")
    return value


def integer(value: Any, name: str, minimum: int = 0, maximum: int = MAX_INTEGER) -> int:
    """Return an integer in a range. Raises FieldError."""
    if type(value) is not int:
        raise FieldError(f"{name} is not an integer")
    if minimum <= value <= maximum:
        return value
    raise FieldError(f"{name} is not in the range of {minimum} to {maximum}")


def number(value: Any, name: str, maximum: float) -> float:
    """Return a number from 0 to `maximum`. Raises FieldError."""
    if type(value) is not int and type(value) is not float:
        raise FieldError(f"{name} is not a number")
    # Compared before it is converted: an integer may be too large for a float. NaN fails, too.
    if 0 <= value <= maximum:
        return float(value)
    raise FieldError(f"{name} is not in the range of 0 to {maximum}")


def decimal(digits: str, name: str) -> int:
    """Return an integer that is sent as text, in ASCII digits only. Raises FieldError.

    int() also accepts signs, blanks, underscores and the digits of other scripts.
    """
    if not (digits.isascii() and digits.isdigit()) or len(digits) > MAX_DECIMAL_DIGITS:
        raise FieldError(f"{name} is not a number of 1 to {MAX_DECIMAL_DIGITS} digits")
    return int(digits)


def address(value: Any, name: str) -> Address:
    """Return the address in a text of the form IP:PORT. Raises FieldError."""
    host, _, port = word(value, name).rpartition(":")
    number_of_port = decimal(port, name)
    if not 0 < number_of_port <= MAX_PORT:
        raise FieldError(f"{name} has a port that is out of range")
    return Address(ip_number(host, name), number_of_port)


def ip_number(host: str, name: str) -> str:
    """Return a host that is an IP number; names are not looked up. Raises FieldError."""
    try:
        socket.inet_pton(socket.AF_INET6 if ":" in host else socket.AF_INET, host)
    except (OSError, ValueError) as error:
        raise FieldError(f"{name} is not at an IP number") from error
    return host
