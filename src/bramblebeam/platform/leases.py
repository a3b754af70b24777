"""Leases as objects of the platform's store; the revision of a write is the fencing token."""

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
from bramblebeam.core.revision import FIRST_ERA, NO_REVISION
from bramblebeam.platform.eras import StoreEras
from bramblebeam.platform.objects import StoredObject, StoreFormatError
from bramblebeam.platform.statements import (
    StatementFormatError,
    format_position,
    parse_position,
)
from bramblebeam.platform.store import StoreClient, StoreUnavailableError
from bramblebeam.platform.store_calls import StoreCallCounter
from bramblebeam.services.failover.ports import LeaseStoreUnavailableError

LEASE_KIND = "leases"
_ERA = "era"
_HOLDER = "holder"
_WRITE = "write"
_LAST_CHANGE = "last_change"
_UNSETTLED = "unsettled"
_TARGET = "target"
_BORN = "born"
_TERM = "term"
_CUT = "cut"
_NONCE_BYTES = 8

Found = TypeVar("Found")


class ObjectLeaseStore:
    """Keeps one lease a group as an object of that name."""

    def __init__(self, address: Address, calls: StoreCallCounter, eras: StoreEras) -> None:
        self._address = address
        self._calls = calls
        self._eras = eras

    async def read(self, group: GroupId, timeout: float) -> Lease | None:
        """Return the lease, or None. Raises LeaseStoreUnavailableError."""
        found = await self._call(lambda client: client.get(LEASE_KIND, group, timeout))
        return None if found is None else _lease(group, found)

    async def create(self, group: GroupId, holder: NodeId, timeout: float) -> Lease | None:
        """Create the lease; None: there is one. Raises LeaseStoreUnavailableError."""
        spec = _spec(Lease(group, holder, NO_REVISION), self._eras.newest)
        found = await self._call(lambda client: client.create(LEASE_KIND, group, spec, timeout))
        return None if found is None else _lease(group, found)

    async def write(self, lease: Lease, content: Lease, timeout: float) -> Lease | None:
        """Write the lease if it is unchanged. Raises LeaseStoreUnavailableError.

        Where the answer is lost, the lease is read back: the write is known by its nonce.
        """
        # The era of the lease that is replaced: if it is over, the condition holds by chance only.
        spec = _spec(content, lease.token.era)
        group = lease.group
        try:
            found = await self._call(
                lambda client: client.replace(LEASE_KIND, group, lease.token, spec, timeout)
            )
        except LeaseStoreUnavailableError:
            found = await self._call(lambda client: client.get(LEASE_KIND, group, timeout))
            if found is None or found.spec != spec:
                raise
        return None if found is None else _lease(group, found)

    async def _call(self, work: Callable[[StoreClient], Awaitable[Found]]) -> Found:
        client = StoreClient(self._address, self._calls, self._eras)
        try:
            return await work(client)
        except (StoreUnavailableError, StoreFormatError) as error:
            raise LeaseStoreUnavailableError(str(error)) from error
        finally:
            client.close()


def _spec(content: Lease, era: int) -> dict[str, Any]:
    return {
        _ERA: era,
        _HOLDER: content.holder,
        _WRITE: secrets.token_hex(_NONCE_BYTES),
        _LAST_CHANGE: _change_spec(content.last_change),
        _UNSETTLED: _change_spec(content.unsettled),
    }


def _change_spec(change: OrderedChange | None) -> dict[str, Any] | None:
    if change is None:
        return None
    cut = format_position(change.cut)
    spec = {_TARGET: server_name(change.target), _TERM: change.term, _CUT: cut}
    born = incarnation_of(change.target)
    return spec if born == UNKNOWN_INCARNATION else {**spec, _BORN: born}


def _lease(group: GroupId, found: StoredObject) -> Lease:
    spec = found.spec if isinstance(found.spec, dict) else {}
    holder = NodeId(str(spec.get(_HOLDER, "")))
    last_change = _change(spec.get(_LAST_CHANGE))
    unsettled = _change(spec.get(_UNSETTLED))
    return Lease(group, holder, found.revision, last_change, unsettled, _era(spec))


def _era(spec: dict[str, Any]) -> int:
    """Return the era in which a lease was written; nodes of an earlier version know none."""
    era = spec.get(_ERA, FIRST_ERA)
    if type(era) is not int:
        raise StoreFormatError("the era of a lease is no whole number")
    return era


def _change(content: Any) -> OrderedChange | None:
    if content is None:
        return None
    try:
        return OrderedChange(
            instance_id(str(content[_TARGET]), int(content.get(_BORN, UNKNOWN_INCARNATION))),
            int(content[_TERM]),
            parse_position(str(content[_CUT])),
        )
    except (AttributeError, KeyError, TypeError, ValueError, StatementFormatError) as error:
        raise StoreFormatError(f"no change of primary: {error!r}") from error
