"""Parses the entry that a database registers in the store.

Other programs may write entries too. One that does not follow the platform's documentation is
rejected as a whole: if one field is wrong, the others cannot be relied on either.
"""

from __future__ import annotations

from typing import Any

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.identity import UNKNOWN_INCARNATION, GroupId, ZoneId, instance_id
from bramblebeam.core.role import Role
from bramblebeam.platform.fields import MAX_COUNT, address, integer, object_of, word
from bramblebeam.platform.objects import StoredObject

_ROLES = {"primary": Role.PRIMARY, "replica": Role.REPLICA}
_LEAVING_BY_STATE = {"ready": False, "draining": True}
START_TIME = "born"


def parse_database_entry(found: StoredObject) -> DatabaseEntry:
    """Return a registered database. Raises KeyError, FieldError if it is invalid."""
    content = object_of(found.spec if found.spec is not None else found.status, "entry")
    _validate_unused_fields(content)
    return DatabaseEntry(
        instance=instance_id(word(found.name, "name"), start_time(content)),
        group=GroupId(word(content["service"], "service")),
        address=address(content["address"], "address"),
        zone=ZoneId(word(content["zone"], "zone")),
        role=_ROLES[word(content["db_role"], "db_role")],
        leaving=_LEAVING_BY_STATE[word(content["state"], "state")],
        slots=integer(content["capacity"], "capacity", 1, MAX_COUNT),
    )


def start_time(content: dict[str, Any]) -> int:
    """Return a database's start time; databases of earlier deployments register none.

    Raises FieldError.
    """
    if START_TIME not in content:
        return UNKNOWN_INCARNATION
    return integer(content[START_TIME], START_TIME, minimum=1)


def _validate_unused_fields(content: dict[str, Any]) -> None:
    """Validate the fields that every database registers but that are not used here."""
    word(content["version"], "version")
    integer(content["cold_left_ms"], "cold_left_ms")
    integer(content["sequence"], "sequence")
