"""What a database says of itself in the store, as the product's entry of it.

An entry may come from another writer. One that is not as the platform's pages say names no database
at all: with a part of it wrong, nothing tells that the rest is right.
"""

from __future__ import annotations

from typing import Any

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.identity import UNKNOWN_INCARNATION, Address, GroupId, ZoneId, instance_id
from bramblebeam.core.role import Role
from bramblebeam.platform.objects import StoredObject

_ROLES = {"primary": Role.PRIMARY, "replica": Role.REPLICA}
_IS_LEAVING = {"ready": False, "draining": True}
_BORN = "born"
_HIGHEST_PORT = 65_535


def parse_database_entry(found: StoredObject) -> DatabaseEntry:
    """Return a registered database. Raises KeyError, TypeError, ValueError where it is none."""
    content = found.spec if found.spec is not None else found.status
    if not isinstance(content, dict):
        raise TypeError(f"{type(content).__name__} is no entry")
    _require_unused_fields(content)
    return DatabaseEntry(
        instance=instance_id(_word(found.name, "name"), _born(content)),
        group=GroupId(_text(content, "service")),
        address=_address(_text(content, "address")),
        zone=ZoneId(_text(content, "zone")),
        role=_ROLES[_text(content, "db_role")],
        leaving=_IS_LEAVING[_text(content, "state")],
        slots=_whole(content, "capacity", least=1),
    )


def _require_unused_fields(content: dict[str, Any]) -> None:
    """Check the fields that every database tells and nothing here reads."""
    _text(content, "version")
    _whole(content, "cold_left_ms", least=0)
    _whole(content, "sequence", least=0)


def _born(content: dict[str, Any]) -> int:
    """Return when the database started; earlier deployments do not tell."""
    return _whole(content, _BORN, least=1) if _BORN in content else UNKNOWN_INCARNATION


def _text(content: dict[str, Any], key: str) -> str:
    return _word(content[key], key)


def _word(value: Any, key: str) -> str:
    """Return a text that can stand in a line of the wire as one word."""
    if not isinstance(value, str):
        raise TypeError(f"{key} is no text")
    if not value or not value.isprintable() or " " in value:
        raise ValueError(f"{key} is no word")
    return value


def _whole(content: dict[str, Any], key: str, least: int) -> int:
    value = content[key]
    if type(value) is not int:
        raise TypeError(f"{key} is no whole number")
    if value < least:
        raise ValueError(f"{key} is below {least}")
    return value


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not 0 < int(port) <= _HIGHEST_PORT:
        raise ValueError("address is no host with a port")
    return Address(host, int(port))
