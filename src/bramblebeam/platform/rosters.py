"""Stores rosters as objects of the platform's store, one per group with synchronous replicas."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from bramblebeam.core.failover.roster import Roster, RosterMember
from bramblebeam.core.identity import (
    UNKNOWN_INCARNATION,
    Address,
    GroupId,
    InstanceId,
    incarnation_of,
    instance_id,
    server_name,
)
from bramblebeam.core.revision import Revision
from bramblebeam.platform.database_entries import START_TIME, start_time
from bramblebeam.platform.eras import StoreEras
from bramblebeam.platform.fields import (
    MAX_PORT,
    FieldError,
    integer,
    ip_number,
    list_of,
    object_of,
    word,
)
from bramblebeam.platform.objects import (
    MALFORMED_SPEC,
    MAX_ERROR_CHARS,
    StoredObject,
    StoreFormatError,
)
from bramblebeam.platform.store import StoreClient, StoreUnavailableError
from bramblebeam.platform.store_calls import StoreCallCounter
from bramblebeam.services.failover.ports import RosterStoreUnavailableError

ROSTER_KIND = "rosters"
_MEMBERS = "members"
_COVERED = "covered"
_LEADER = "leader"
_LOSS_ACCEPTED = "loss_accepted"
_NAME = "name"
_HOST = "host"
_PORT = "port"
MAX_DATABASES = 1_000
"""Databases that a roster may list; a group has a few, and its roster also some that left."""

Found = TypeVar("Found")


class ObjectRosterStore:
    """Stores one roster per group, as an object with the group's name."""

    def __init__(self, address: Address, calls: StoreCallCounter, eras: StoreEras) -> None:
        self._address = address
        self._calls = calls
        self._eras = eras

    async def read(self, group: GroupId, timeout: float) -> Roster | None:
        """Return the roster, or None if there is none. Raises RosterStoreUnavailableError."""
        found = await self._call(lambda client: client.get(ROSTER_KIND, group, timeout))
        return _roster_of(group, found)

    async def create(self, roster: Roster, timeout: float) -> Roster | None:
        """Create the roster; None: it already exists. Raises RosterStoreUnavailableError."""
        spec = _roster_spec(roster)
        found = await self._call(
            lambda client: client.create(ROSTER_KIND, roster.group, spec, timeout)
        )
        return _roster_of(roster.group, found)

    async def write(self, roster: Roster, timeout: float) -> Roster | None:
        """Write the roster if the stored one still has its revision, else return None.

        Raises RosterStoreUnavailableError: the write may have taken effect.
        """
        spec = _roster_spec(roster)
        group, revision = roster.group, roster.revision
        found = await self._call(
            lambda client: client.replace(ROSTER_KIND, group, revision, spec, timeout)
        )
        return _roster_of(group, found)

    async def _call(self, work: Callable[[StoreClient], Awaitable[Found]]) -> Found:
        client = StoreClient(self._address, self._calls, self._eras)
        try:
            return await work(client)
        except (StoreUnavailableError, StoreFormatError) as error:
            raise RosterStoreUnavailableError(str(error)) from error
        finally:
            client.close()


def _roster_spec(roster: Roster) -> dict[str, Any]:
    return {
        _MEMBERS: [_member_spec(member) for member in roster.members],
        _COVERED: [_instance_spec(instance) for instance in roster.covered],
        _LEADER: None if roster.leader is None else _instance_spec(roster.leader),
        _LOSS_ACCEPTED: roster.loss_accepted,
    }


def _member_spec(member: RosterMember) -> dict[str, Any]:
    address = {_HOST: member.address.host, _PORT: member.address.port}
    return {**_instance_spec(member.instance), **address}


def _instance_spec(instance: InstanceId) -> dict[str, Any]:
    spec: dict[str, Any] = {_NAME: server_name(instance)}
    start_time = incarnation_of(instance)
    return spec if start_time == UNKNOWN_INCARNATION else {**spec, START_TIME: start_time}


def _roster_of(group: GroupId, found: StoredObject | None) -> Roster | None:
    """Return a read roster. Raises RosterStoreUnavailableError if it can't be read."""
    if found is None:
        return None
    try:
        return _parse_roster(group, found)
    except StoreFormatError as error:
        raise RosterStoreUnavailableError(str(error)) from error


def _parse_roster(group: GroupId, found: StoredObject) -> Roster:
    try:
        return _roster_from(group, found.revision, object_of(found.spec, "roster"))
    except MALFORMED_SPEC as error:
        raise StoreFormatError(f"invalid roster: {error!r}"[:MAX_ERROR_CHARS]) from error


def _roster_from(group: GroupId, revision: Revision, spec: dict[str, Any]) -> Roster:
    leader = spec[_LEADER]
    return Roster(
        group,
        revision,
        tuple(sorted(_parse_member(member) for member in _databases(spec, _MEMBERS))),
        tuple(_parse_instance(instance) for instance in _databases(spec, _COVERED)),
        None if leader is None else _parse_instance(leader),
        spec.get(_LOSS_ACCEPTED) is True,
    )


def _databases(spec: dict[str, Any], key: str) -> list[Any]:
    """Return a list of databases; each of them may be called in a change of primary."""
    listed = list_of(spec[key], key)
    if len(listed) > MAX_DATABASES:
        raise FieldError(f"{key} has more than {MAX_DATABASES} databases")
    return listed


def _parse_member(content: Any) -> RosterMember:
    member = object_of(content, "member")
    host = ip_number(word(member[_HOST], _HOST), _HOST)
    port = integer(member[_PORT], _PORT, 1, MAX_PORT)
    return RosterMember(_parse_instance(member), Address(host, port))


def _parse_instance(content: Any) -> InstanceId:
    database = object_of(content, "database")
    return instance_id(word(database[_NAME], _NAME), start_time(database))
