"""Reads which databases are registered from the platform's store, for one question at a time."""

from __future__ import annotations

import asyncio

from bramblebeam.core.identity import Address, GroupId, InstanceId
from bramblebeam.platform.eras import StoreEras
from bramblebeam.platform.sources import database_source
from bramblebeam.platform.store import StoreClient
from bramblebeam.platform.store_calls import StoreCallCounter
from bramblebeam.services.failover.ports import MemberListUnavailableError
from bramblebeam.services.feed.ports import SourceUnavailableError


class StoreMemberList:
    """Reads the whole list of databases for each question."""

    def __init__(self, address: Address, calls: StoreCallCounter, eras: StoreEras) -> None:
        self._address = address
        self._calls = calls
        self._eras = eras

    async def registered(self, group: GroupId, timeout: float) -> frozenset[InstanceId]:
        """Return a group's registered databases. Raises MemberListUnavailableError."""
        client = StoreClient(self._address, self._calls, self._eras)
        try:
            async with asyncio.timeout(timeout):
                batch = await database_source(client).list()
        except (SourceUnavailableError, TimeoutError) as error:
            raise MemberListUnavailableError(repr(error)) from error
        finally:
            client.close()
        entries = [versioned.item for versioned in batch.items if versioned.item is not None]
        return frozenset(entry.instance for entry in entries if entry.group == group)
