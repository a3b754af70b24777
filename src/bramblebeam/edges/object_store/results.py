"""What the platform answers, as typed values."""

from dataclasses import dataclass

from bramblebeam.core.configuration.edit import StoreRow
from bramblebeam.core.configuration.rows import Row


@dataclass(frozen=True, slots=True)
class RowListing:
    """Every row at one version of the store."""

    version: int
    rows: tuple[Row, ...]


@dataclass(frozen=True, slots=True)
class RowChanges:
    """Changes that a watch told, oldest first. `version`: everything up to it was told."""

    rows: tuple[Row, ...]
    version: int


@dataclass(frozen=True, slots=True)
class MachineEntry:
    """One machine of the platform's lagging list."""

    node: str
    zone: str
    host: str
    port: int
    leaving: bool


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write did not run: the row is at another version (`current` None: it is deleted)."""

    current: StoreRow | None


@dataclass(frozen=True, slots=True)
class NotFound:
    """There is no such row."""


@dataclass(frozen=True, slots=True)
class Expired:
    """The store no longer keeps the changes after the asked version: list again."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The store refused the request as wrong; it did not run."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No answer. `sent` False: the store surely did not get the request."""

    sent: bool
    detail: str


PlatformError = Conflict | NotFound | Expired | Rejected | Unavailable


def error_text(error: PlatformError) -> str:
    """Return an error as a short text for people."""
    match error:
        case Unavailable(_, detail) | Rejected(_, detail):
            return detail
        case Conflict() | NotFound() | Expired():
            return type(error).__name__
