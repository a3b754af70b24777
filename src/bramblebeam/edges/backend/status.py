"""The status query to a member of a database group, and the parser of its result.

Members are polled several times a second, so the query uses the brief form: one column whose text
holds the values in the order of `_FIELDS`. It takes a fifth of the bytes of a full row, which needs
a definition for each column. Commands return the full row.
"""

from typing import Any

from bramblebeam.core.group.messages import MemberStatus
from bramblebeam.core.identity import InstanceId, Position
from bramblebeam.core.role import Role
from bramblebeam.edges.backend.results import BackendResult

STATUS_QUERY = "SHOW BRAMBLEBEAM STATUS BRIEF"

_FIELDS = (
    "instance",
    "term",
    "role",
    "last_term",
    "last_offset",
    "applied_term",
    "applied_offset",
    "lag_ms",
    "primary_contact_ms",
    "primary",
    "promised_term",
    "leaving",
)


class StatusFormatError(Exception):
    """A member's status lacks a value or holds an invalid one. Not retriable."""


def parse_status(result: BackendResult) -> MemberStatus:
    """Parse a brief or full status. Raises StatusFormatError."""
    if len(result.rows) != 1:
        raise StatusFormatError(f"{len(result.rows)} status rows, expected one")
    row = _values_by_field(result)
    try:
        return MemberStatus(
            instance=InstanceId(str(row["instance"])),
            term=int(row["term"]),
            role=Role.PRIMARY if row["role"] == "primary" else Role.REPLICA,
            last=Position(int(row["last_term"]), int(row["last_offset"])),
            applied=Position(int(row["applied_term"]), int(row["applied_offset"])),
            lag_ms=int(row["lag_ms"]),
            primary_contact_ms=int(row["primary_contact_ms"]),
            primary=str(row["primary"] or ""),
            promised_term=int(row["promised_term"]),
            leaving=bool(int(row["leaving"])),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise StatusFormatError(f"invalid status: {error!r}") from error


def _values_by_field(result: BackendResult) -> dict[str, Any]:
    values = result.rows[0]
    if len(result.columns) == 1:
        return dict(zip(_FIELDS, str(values[0]).split(","), strict=False))
    names = (column.name for column in result.columns)
    return dict(zip(names, values, strict=True))
