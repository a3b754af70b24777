"""The commands specific to the group: SHOW BRAMBLEBEAM and CALL bramblebeam."""

import re
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from mysql_mimic.types import ColumnType

from bramblebeam.core.identity import Address
from bramblebeam.core.role import Role
from bramblebeam.core.statement import ColumnSpec
from bramblebeam.edges.mysql.server import CallerError, OkResult, RowsResult
from bramblebeam.lab.database.messages import (
    ConfirmPosition,
    FollowPrimary,
    MemberId,
    PauseWrites,
    PromiseTerm,
    PromoteMember,
)

if TYPE_CHECKING:
    from bramblebeam.lab.database.member import DatabaseMember

NUMBER = int(ColumnType.LONGLONG)
TEXT = int(ColumnType.VAR_STRING)
MILLISECONDS = 1_000

_CALL = re.compile(r"\s*CALL\s+bramblebeam\.(\w+)\s*\((.*)\)\s*;?\s*$", re.I | re.S)
_ENDPOINT = re.compile(r"([^=,\s]+)=([^:,\s]+):(\d+)")
_TERM = re.compile(r"\s*(\d+)\s*(?:,\s*'([^']*)'\s*)?$")

Command = Callable[["DatabaseMember", str], Awaitable[OkResult | RowsResult]]


async def call(member: "DatabaseMember", sql: str) -> OkResult | RowsResult:
    """Run a CALL statement. Raises CallerError (1305 for an unknown procedure)."""
    match = _CALL.match(sql)
    command = _COMMANDS.get(match.group(1).lower()) if match is not None else None
    if match is None or command is None:
        raise CallerError(1305, "42000", "PROCEDURE does not exist")
    return await command(member, match.group(2))


def _status_values(member: "DatabaseMember") -> dict[str, str | int]:
    status = member.status()
    return {
        "instance": member.settings.instance,
        "term": status.term,
        "role": "primary" if status.role is Role.PRIMARY else "replica",
        "last_term": status.last.term,
        "last_offset": status.last.offset,
        "applied_term": status.applied.term,
        "applied_offset": status.applied.offset,
        "lag_ms": round(status.lag * MILLISECONDS),
        "primary_contact_ms": round(status.primary_contact * MILLISECONDS),
        "primary": status.primary,
        "promised_term": status.promised_term,
        "leaving": int(status.leaving),
    }


def show_status(member: "DatabaseMember") -> RowsResult:
    """Return the status as one row with a column for each value."""
    return row_of(_status_values(member))


def show_brief_status(member: "DatabaseMember") -> RowsResult:
    """Return the status as one comma-separated string, in the column order of `show_status`."""
    return row_of({"status": ",".join(str(value) for value in _status_values(member).values())})


def show_peer(member: "DatabaseMember") -> RowsResult:
    """Return the address at which other members connect to this one."""
    return row_of({"host": member.peer_address.host, "port": member.peer_address.port})


def row_of(values: dict[str, str | int]) -> RowsResult:
    """Return a result of one row, with column types derived from the values."""
    columns = tuple(
        ColumnSpec(name, NUMBER if isinstance(value, int) else TEXT)
        for name, value in values.items()
    )
    return RowsResult(columns, [tuple(values.values())])


async def _promise(member: "DatabaseMember", arguments: str) -> RowsResult:
    term, _ = _term_and_text(arguments)
    await member.request(lambda token: PromiseTerm(token, term))
    return show_status(member)


async def _promote(member: "DatabaseMember", arguments: str) -> RowsResult:
    term, text = _term_and_text(arguments)
    members = _endpoints(member, text)
    await member.request(lambda token: PromoteMember(token, term, members))
    return show_status(member)


async def _follow(member: "DatabaseMember", arguments: str) -> RowsResult:
    term, text = _term_and_text(arguments)
    primary = _endpoints(member, text)[0]
    await member.request(lambda token: FollowPrimary(token, term, primary))
    return show_status(member)


async def _confirm(member: "DatabaseMember", arguments: str) -> RowsResult:
    position = await member.request(ConfirmPosition)
    return row_of({"term": position.term, "offset": position.offset})


async def _pause_writes(member: "DatabaseMember", arguments: str) -> OkResult:
    milliseconds, _ = _term_and_text(arguments)
    member.submit(PauseWrites(milliseconds / MILLISECONDS))
    return OkResult()


def _term_and_text(arguments: str) -> tuple[int, str]:
    match = _TERM.match(arguments)
    if match is None:
        raise CallerError(1318, "42000", "Incorrect arguments")
    return int(match.group(1)), match.group(2) or ""


def _endpoints(member: "DatabaseMember", text: str) -> tuple[MemberId, ...]:
    """Parse `instance=host:port,…` and store the addresses for peer links. Raises CallerError."""
    matches = [_ENDPOINT.fullmatch(part.strip()) for part in text.split(",")]
    names = []
    for match in matches:
        if match is None:
            raise CallerError(1210, "HY000", "Members are written instance=host:port")
        name = MemberId(match.group(1))
        member.peers.set_address(name, Address(match.group(2), int(match.group(3))))
        names.append(name)
    return tuple(names)


_COMMANDS: dict[str, Command] = {
    "promise": _promise,
    "promote": _promote,
    "follow": _follow,
    "confirm": _confirm,
    "pause_writes": _pause_writes,
}
