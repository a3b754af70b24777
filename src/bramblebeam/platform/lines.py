"""Framing of the line protocol, used for both callers and databases."""

MAXIMUM_LINE_BYTES = 1 << 20
LINE_END = b"\r\n"


class LineFormatError(ValueError):
    """Received bytes are not a protocol line; the connection must be closed."""


class LineBuffer:
    """Splits received bytes into lines."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, data: bytes) -> list[str]:
        """Return the lines completed by `data`. Raises LineFormatError."""
        received = self._pending + data if self._pending else data
        *complete, self._pending = received.split(LINE_END)
        if len(self._pending) > MAXIMUM_LINE_BYTES:
            raise LineFormatError("a line is too long")
        try:
            return [line.decode() for line in complete]
        except UnicodeDecodeError as error:
            raise LineFormatError("a line is not UTF-8") from error


def encode_line(*fields: str) -> bytes:
    """Return a line of the given fields, separated by spaces."""
    return " ".join(fields).encode() + LINE_END
