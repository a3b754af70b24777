"""Parses the entry that a database registers in the store.

Other programs may write entries too. One that does not follow the platform's documentation is
rejected as a whole: if one field is wrong, the others cannot be relied on either.
"""

from __future__ import annotations

from typing import Any

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.identity import UNKNOWN_INCARNATION, Address, GroupId, ZoneId, instance_id
from bramblebeam.core.role import Role
from bramblebeam.platform.objects import StoredObject

_ROLES = {"primary": Role.PRIMARY, "replica": Role.REPLICA}
_LEAVING_BY_STATE = {"ready": False, "draining": True}
_START_TIME = "born"
_MAX_PORT = 65_535


def parse_database_entry(found: StoredObject) -> DatabaseEntry:
    """Return a registered database. Raises KeyError, TypeError, ValueError if it is invalid."""
    content = found.spec if found.spec is not None else found.status
    if not isinstance(content, dict):
        raise TypeError(f"{type(content).__name__} instead of an object")
    _validate_unused_fields(content)
    return DatabaseEntry(
        instance=instance_id(_word(found.name, "name"), _start_time(content)),
        group=GroupId(_text(content, "service")),
        address=_address(_text(content, "address")),
        zone=ZoneId(_text(content, "zone")),
        role=_ROLES[_text(content, "db_role")],
        leaving=_LEAVING_BY_STATE[_text(content, "state")],
        slots=_integer(content, "capacity", minimum=1),
    )


def _validate_unused_fields(content: dict[str, Any]) -> None:
    """Validate the fields that every database registers but that are not used here."""
    _text(content, "version")
    _integer(content, "cold_left_ms", minimum=0)
    _integer(content, "sequence", minimum=0)


def _start_time(content: dict[str, Any]) -> int:
    """Return the database's start time; databases of earlier deployments register none."""
    return (
        _integer(content, _START_TIME, minimum=1) if _START_TIME in content else UNKNOWN_INCARNATION
    )


def _text(content: dict[str, Any], key: str) -> str:
    return _word(content[key], key)


def _word(value: Any, key: str) -> str:
    """Return a text that can be sent as one word of a protocol line."""
    if not isinstance(value, str):
        raise TypeError(f"{key} is not a string")
    if not value or not value.isprintable() or " " in value:
        raise ValueError(f"{key} is not a single printable word")
    return value


def _integer(content: dict[str, Any], key: str, minimum: int) -> int:
    value = content[key]
    if type(value) is not int:
        raise TypeError(f"{key} is not an integer")
    if value < minimum:
        raise ValueError(f"{key} is below {minimum}")
    return value


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not 0 < int(port) <= _MAX_PORT:
        raise ValueError("address is not HOST:PORT")
    return Address(host, int(port))
