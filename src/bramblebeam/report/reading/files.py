"""Reads text files line by line."""

from collections.abc import Iterator
from pathlib import Path

MAX_LINE_LENGTH = 1 << 16
"""Characters. bramblebeam writes no longer lines; of a longer one only the start is returned."""


class UnreadableError(Exception):
    """A file cannot be read or has no usable content; the message names the file."""


def read_lines(path: Path) -> Iterator[str]:
    """Yield the lines of a text file. Raises UnreadableError."""
    try:
        with path.open(encoding="utf-8", errors="replace", newline="\n") as file:
            is_continuation = False
            while line := file.readline(MAX_LINE_LENGTH):
                if not is_continuation:
                    yield line
                is_continuation = len(line) == MAX_LINE_LENGTH and not line.endswith("\n")
    except OSError as error:
        raise UnreadableError(f"{path}: {error.strerror}") from error
