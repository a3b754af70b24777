"""The causal token: per database group, the highest position a session has written or read.

Its text form is `GROUP=TERM.OFFSET`, joined by commas, with percent-encoded group names. It is
passed as a connection attribute, in `SET bramblebeam_token` and in `SELECT @@bramblebeam_token`.
"""

import re
from collections.abc import Iterator, Mapping
from urllib.parse import quote, unquote

from expression import Error, Ok, Result

from bramblebeam.core.identity import ZERO_POSITION, GroupId, Position

MAXIMUM_TOKEN_LENGTH = 4_096
_ENTRY = re.compile(r"([^=,]+)=(\d{1,18})\.(\d{1,18})")


class CausalToken:
    """Positions by group; each of them only increases."""

    __slots__ = ("_positions", "_text")

    def __init__(self, positions: Mapping[GroupId, Position] | None = None) -> None:
        self._positions = dict(positions or {})
        self._text: str | None = None

    def __iter__(self) -> Iterator[GroupId]:
        return iter(self._positions)

    def position(self, group: GroupId) -> Position:
        """Return the group's position, or the zero position if the session has none."""
        return self._positions.get(group, ZERO_POSITION)

    def advance(self, group: GroupId, position: Position) -> None:
        """Raise the group's position; a lower position is ignored."""
        if position > self._positions.get(group, ZERO_POSITION):
            self._positions[group] = position
            self._text = None

    def merge(self, other: "CausalToken") -> None:
        """Raise every position to at least the other token's."""
        for group in other:
            self.advance(group, other.position(group))

    def encode(self) -> str:
        """Return the text form, sorted by group name."""
        if self._text is None:
            self._text = ",".join(
                f"{quote(group, safe='')}={position.term}.{position.offset}"
                for group, position in sorted(self._positions.items())
            )
        return self._text


def decode_token(text: str) -> Result[CausalToken, str]:
    """Parse the text form. The error describes what is wrong with it."""
    if len(text) > MAXIMUM_TOKEN_LENGTH:
        return Error(f"token is longer than {MAXIMUM_TOKEN_LENGTH} characters")
    token = CausalToken()
    for entry in filter(None, text.split(",")):
        match = _ENTRY.fullmatch(entry.strip())
        if match is None:
            return Error("token is not a list of GROUP=TERM.OFFSET")
        position = Position(int(match[2]), int(match[3]))
        token.advance(GroupId(unquote(match[1])), position)
    return Ok(token)
