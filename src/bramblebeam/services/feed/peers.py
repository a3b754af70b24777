"""Lists told by other nodes, and the answers to nodes that ask this one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Generic, NamedTuple, TypeVar

from bramblebeam.core.feed.messages import (
    NOTHING_KNOWN,
    DatabaseStart,
    FollowReply,
    FollowRequest,
    ListName,
    ToldDatabase,
    ToldRoutes,
)
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.routes import RouteTable
from bramblebeam.core.identity import (
    NOT_TOLD,
    InstanceId,
    NodeId,
    born_at,
    instance_id,
    server_name,
)
from bramblebeam.core.tenants import TenantTable
from bramblebeam.kernel import Kernel, MailboxFullError
from bramblebeam.kernel.mailbox import ServiceFailedError
from bramblebeam.services.feed.followed import FollowedList
from bramblebeam.services.feed.ports import (
    Batch,
    HistoryLostError,
    SourceUnavailableError,
    Versioned,
)
from bramblebeam.services.transport.messages import PeerRequest

Item = TypeVar("Item")

ANSWER_MARGIN = 0.5
SILENCE = 0.5
"""A node from which nothing came for so long, not even to a probe, has failed (seconds)."""
LONGEST_WAIT = 5.0
NOT_AVAILABLE = FollowReply(available=False)


class PeerSource(Generic[Item]):
    """A list as another node knows it. `unpack` finds the list's items in an answer."""

    def __init__(
        self,
        kernel: Kernel,
        node: NodeId,
        name: ListName,
        unpack: Callable[[FollowReply], tuple[Versioned[Item], ...]],
    ) -> None:
        self._kernel = kernel
        self._node = node
        self._name = name
        self._unpack = unpack

    async def list(self) -> Batch[Item]:
        """Return the whole list as the node knows it. Raises SourceUnavailableError."""
        return self._batch(await self._ask(NOTHING_KNOWN, 0.0))

    async def changes(self, revision: int, wait: float) -> Batch[Item]:
        """Return what changed. Raises HistoryLostError, SourceUnavailableError."""
        reply = await self._ask(revision, wait)
        if reply.whole:
            raise HistoryLostError
        return self._batch(reply)

    def _batch(self, reply: FollowReply) -> Batch[Item]:
        return Batch(self._unpack(reply), reply.revision, reply.age)

    async def _ask(self, revision: int, wait: float) -> FollowReply:
        question = FollowRequest(self._name, revision, wait)
        request = PeerRequest(self._node, question, wait + ANSWER_MARGIN, SILENCE, repeatable=True)
        try:
            answer = await self._kernel.call("transport", request)
        except (MailboxFullError, ServiceFailedError) as error:
            raise SourceUnavailableError(repr(error)) from error
        if not isinstance(answer, FollowReply) or not answer.available:
            raise SourceUnavailableError(f"{self._node}: {answer}")
        return answer


def route_items(reply: FollowReply) -> tuple[Versioned[RouteTable], ...]:
    """Return the route tables that a node told of."""
    return tuple(
        Versioned(told.name, told.revision, _table(told), deleted=not told.version)
        for told in reply.routes
    )


def database_items(reply: FollowReply) -> tuple[Versioned[DatabaseEntry], ...]:
    """Return the databases that a node told of."""
    starts = {start.name: start.born for start in reply.starts}
    return tuple(
        Versioned(
            told.name,
            told.revision,
            _started(told.entry, starts.get(told.name, NOT_TOLD)),
            deleted=told.entry is None,
        )
        for told in reply.databases
    )


def _started(entry: DatabaseEntry | None, born: int) -> DatabaseEntry | None:
    if entry is None:
        return None
    return entry._replace(instance=instance_id(entry.instance, born))


def _table(told: ToldRoutes) -> RouteTable | None:
    if not told.version:
        return None
    return RouteTable(
        told.version,
        {route.database: route for route in told.routes},
        {group.group: group for group in told.groups},
        told.transaction_idle,
        None if told.tenants is None else TenantTable(told.tenants),
        frozenset(told.public),
    )


class Told(NamedTuple):
    """The items of an answer: one of the two is empty."""

    routes: tuple[ToldRoutes, ...] = ()
    databases: tuple[ToldDatabase, ...] = ()
    starts: tuple[DatabaseStart, ...] = ()


def told_routes(items: tuple[Versioned[RouteTable], ...]) -> Told:
    """Return route tables as they travel; one that can't be read is left out."""
    return Told(routes=tuple(_told_table(item) for item in items if item.item or item.deleted))


def _told_table(item: Versioned[RouteTable]) -> ToldRoutes:
    table = item.item
    if table is None:
        return ToldRoutes(item.name, item.revision)
    return ToldRoutes(
        item.name,
        item.revision,
        table.version,
        tuple(table.routes.values()),
        tuple(table.groups.values()),
        table.transaction_idle,
        None if table.tenants is None else tuple(table.tenants.by_name.values()),
        tuple(sorted(table.public)),
    )


def told_databases(items: tuple[Versioned[DatabaseEntry], ...]) -> Told:
    """Return databases as they travel; one that can't be read is left out."""
    readable = [item for item in items if item.item or item.deleted]
    return Told(
        databases=tuple(
            ToldDatabase(item.name, item.revision, _named(item.item)) for item in readable
        ),
        starts=tuple(
            DatabaseStart(item.name, born_at(item.item.instance))
            for item in readable
            if item.item is not None and born_at(item.item.instance) != NOT_TOLD
        ),
    )


def _named(entry: DatabaseEntry | None) -> DatabaseEntry | None:
    """Return an entry under the plain name of its database."""
    if entry is None:
        return None
    return entry._replace(instance=InstanceId(server_name(entry.instance)))


async def follow_reply(
    request: FollowRequest, followed: FollowedList[Any], pack: Callable[[Any], Told]
) -> FollowReply:
    """Answer a node that follows this one, once there is news or its time is over."""
    if request.revision >= 0:
        await followed.wait_news(request.revision, min(request.wait, LONGEST_WAIT))
    if followed.revision is None:
        return NOT_AVAILABLE
    whole = request.revision < 0
    try:
        batch = followed.whole() if whole else followed.since(request.revision)
    except HistoryLostError:
        whole = True
        batch = followed.whole()
    age = asyncio.get_running_loop().time() - followed.confirmed_at
    told = pack(batch.items)
    return FollowReply(True, whole, batch.revision, age, told.routes, told.databases, told.starts)
