"""Results and errors of requests to the platform."""

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
    """Changes reported by a watch, oldest first. All changes up to `version` have been reported."""

    rows: tuple[Row, ...]
    version: int


@dataclass(frozen=True, slots=True)
class MachineEntry:
    """One machine of the platform's list, which may be stale."""

    node: str
    zone: str
    host: str
    port: int
    leaving: bool


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write did not run: the row is at another version (`current` is None if it is deleted)."""

    current: StoreRow | None


@dataclass(frozen=True, slots=True)
class NotFound:
    """The row does not exist."""


@dataclass(frozen=True, slots=True)
class Expired:
    """The store no longer has the changes after the requested version; a new listing is needed."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The store rejected the request as invalid; it did not run."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class Unavailable:
    """No valid response. `sent` is False if the store can't have received the request."""

    sent: bool
    detail: str


PlatformError = Conflict | NotFound | Expired | Rejected | Unavailable


def error_text(error: PlatformError) -> str:
    """Return a short description of an error for logs and messages."""
    match error:
        case Unavailable(_, detail) | Rejected(_, detail):
            return detail
        case Conflict() | NotFound() | Expired():
            return type(error).__name__
