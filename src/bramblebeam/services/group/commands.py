"""The statements by which a database group is asked and commanded, and the reading of answers."""

from collections.abc import Iterable
from typing import Any

from bramblebeam.core.group.messages import MemberStatus
from bramblebeam.core.identity import InstanceId, InstanceSpec, Position
from bramblebeam.core.statement import Role
from bramblebeam.edges.backend import BackendResult

STATUS = "SHOW BRAMBLEBEAM STATUS"


class StatusFormatError(Exception):
    """A member's status row lacks a column or holds a wrong value. Not retriable."""


def promise(term: int) -> str:
    """Return the statement that promises a term."""
    return f"CALL bramblebeam.promise({term})"


def promote(term: int, members: Iterable[InstanceSpec]) -> str:
    """Return the statement that makes its receiver the primary of a term."""
    listed = ",".join(_endpoint(member) for member in members)
    return f"CALL bramblebeam.promote({term}, '{listed}')"


def follow(term: int, primary: InstanceSpec) -> str:
    """Return the statement that makes its receiver follow the primary of a term."""
    return f"CALL bramblebeam.follow({term}, '{_endpoint(primary)}')"


def pause_writes(milliseconds: int) -> str:
    """Return the statement that has a primary hold new writes back (0: let them go on)."""
    return f"CALL bramblebeam.pause_writes({milliseconds})"


def parse_status(result: BackendResult) -> MemberStatus:
    """Read a status row. Raises StatusFormatError."""
    if len(result.rows) != 1:
        raise StatusFormatError(f"{len(result.rows)} rows instead of one")
    names = (column.name for column in result.columns)
    row: dict[str, Any] = dict(zip(names, result.rows[0], strict=True))
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
        raise StatusFormatError(f"status row is not readable: {error!r}") from error


def _endpoint(member: InstanceSpec) -> str:
    return f"{member.instance}={member.address.host}:{member.address.port}"
