"""Stores leases as objects of the platform's store; a write's revision is the fencing token."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from bramblebeam.core.failover.lease import Lease, OrderedChange
from bramblebeam.core.identity import (
    UNKNOWN_INCARNATION,
    Address,
    GroupId,
    NodeId,
    incarnation_of,
    instance_id,
    server_name,
)
from bramblebeam.core.revision import FIRST_ERA, HIGHEST_ERA, NO_REVISION
from bramblebeam.platform.database_entries import START_TIME, start_time
from bramblebeam.platform.eras import StoreEras
from bramblebeam.platform.fields import MAX_DECIMAL_DIGITS, integer, object_of, text, word
from bramblebeam.platform.objects import (
    MALFORMED_SPEC,
    MAX_ERROR_CHARS,
    StoredObject,
    StoreFormatError,
)
from bramblebeam.platform.statements import format_position, parse_position
from bramblebeam.platform.store import StoreClient, StoreUnavailableError
from bramblebeam.platform.store_calls import StoreCallCounter
from bramblebeam.services.failover.ports import LeaseStoreUnavailableError

LEASE_KIND = "leases"
_ERA = "era"
_HOLDER = "holder"
_WRITE = "write"
_LAST_CHANGE = "last_change"
_UNSETTLED = "unsettled"
_PREPARING = "preparing"
_TARGET = "target"
_TERM = "term"
_CUT = "cut"
_NONCE_BYTES = 8
MAX_TERM = 10**MAX_DECIMAL_DIGITS
"""One above the highest term that a database can tell: each lease that is written can be read."""

Found = TypeVar("Found")


class ObjectLeaseStore:
    """Stores one lease per group, as an object with the group's name."""

    def __init__(self, address: Address, calls: StoreCallCounter, eras: StoreEras) -> None:
        self._address = address
        self._calls = calls
        self._eras = eras

    async def read(self, group: GroupId, timeout: float) -> Lease | None:
        """Return the lease, or None if there is none. Raises LeaseStoreUnavailableError."""
        found = await self._call(lambda client: client.get(LEASE_KIND, group, timeout))
        return _lease_of(group, found)

    async def create(self, group: GroupId, holder: NodeId, timeout: float) -> Lease | None:
        """Create the lease; None: it already exists. Raises LeaseStoreUnavailableError."""
        spec = _lease_spec(Lease(group, holder, NO_REVISION), self._eras.newest)
        found = await self._call(lambda client: client.create(LEASE_KIND, group, spec, timeout))
        return _lease_of(group, found)

    async def write(self, lease: Lease, content: Lease, timeout: float) -> Lease | None:
        """Write the lease if it is unchanged, else return None.

        If the answer is lost, the lease is read back and the write recognized by its nonce.
        Raises LeaseStoreUnavailableError.
        """
        # The era of the replaced lease: once it has ended, a matching revision is a coincidence.
        spec = _lease_spec(content, lease.token.era)
        group = lease.group
        try:
            found = await self._call(
                lambda client: client.replace(LEASE_KIND, group, lease.token, spec, timeout)
            )
        except LeaseStoreUnavailableError:
            found = await self._call(lambda client: client.get(LEASE_KIND, group, timeout))
            if found is None or found.spec != spec:
                raise
        return _lease_of(group, found)

    async def _call(self, work: Callable[[StoreClient], Awaitable[Found]]) -> Found:
        client = StoreClient(self._address, self._calls, self._eras)
        try:
            return await work(client)
        except (StoreUnavailableError, StoreFormatError) as error:
            raise LeaseStoreUnavailableError(str(error)) from error
        finally:
            client.close()


def _lease_spec(content: Lease, era: int) -> dict[str, Any]:
    return {
        _ERA: era,
        _HOLDER: content.holder,
        _WRITE: secrets.token_hex(_NONCE_BYTES),
        _LAST_CHANGE: _change_spec(content.last_change),
        _UNSETTLED: _change_spec(content.unsettled),
        _PREPARING: content.preparing,
    }


def _change_spec(change: OrderedChange | None) -> dict[str, Any] | None:
    if change is None:
        return None
    cut = format_position(change.cut)
    spec = {_TARGET: server_name(change.target), _TERM: change.term, _CUT: cut}
    start_time = incarnation_of(change.target)
    return spec if start_time == UNKNOWN_INCARNATION else {**spec, START_TIME: start_time}


def _lease_of(group: GroupId, found: StoredObject | None) -> Lease | None:
    """Return a read lease. Raises LeaseStoreUnavailableError if it can't be read.

    It is not taken for a free one: it may hold an order that is still carried out.
    """
    if found is None:
        return None
    try:
        return _parse_lease(group, found)
    except MALFORMED_SPEC as error:
        raise LeaseStoreUnavailableError(f"invalid lease: {error!r}"[:MAX_ERROR_CHARS]) from error


def _parse_lease(group: GroupId, found: StoredObject) -> Lease:
    spec = found.spec if isinstance(found.spec, dict) else {}
    holder = NodeId(text(spec.get(_HOLDER, ""), _HOLDER))
    last_change = _parse_change(spec.get(_LAST_CHANGE))
    unsettled = _parse_change(spec.get(_UNSETTLED))
    # Nodes of an earlier version do not write it.
    preparing = spec.get(_PREPARING) is True
    era = _parse_era(spec)
    return Lease(group, holder, found.revision, last_change, unsettled, era, preparing)


def _parse_era(spec: dict[str, Any]) -> int:
    """Return the era in which a lease was written; nodes of an earlier version write none."""
    return integer(spec.get(_ERA, FIRST_ERA), _ERA, FIRST_ERA, HIGHEST_ERA)


def _parse_change(content: Any) -> OrderedChange | None:
    if content is None:
        return None
    change = object_of(content, "change of primary")
    return OrderedChange(
        instance_id(word(change[_TARGET], _TARGET), start_time(change)),
        integer(change[_TERM], _TERM, 0, MAX_TERM),
        parse_position(word(change[_CUT], _CUT)),
    )
