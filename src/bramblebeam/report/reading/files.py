"""Files of lines, read one by one."""

from collections.abc import Iterator
from pathlib import Path

MAX_LINE_LENGTH = 1 << 16
"""Characters; what is longer is no line of ours, and is handed out as its beginning alone."""


class UnreadableError(Exception):
    """A file that cannot be read, or that holds nothing of ours; the text names it."""


def read_lines(path: Path) -> Iterator[str]:
    """Yield the lines of a text file. Raises UnreadableError."""
    try:
        with path.open(encoding="utf-8", errors="replace", newline="\n") as file:
            is_rest = False
            while line := file.readline(MAX_LINE_LENGTH):
                if not is_rest:
                    yield line
                is_rest = len(line) == MAX_LINE_LENGTH and not line.endswith("\n")
    except OSError as error:
        raise UnreadableError(f"{path}: {error.strerror}") from error
