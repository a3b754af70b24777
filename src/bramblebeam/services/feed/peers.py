"""Lists told by other nodes, and the answers to nodes that ask this one."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, Generic, NamedTuple, TypeVar

from bramblebeam.core.feed.messages import (
    UNKNOWN_ERA,
    UNKNOWN_REVISION,
    DatabaseItem,
    DatabaseStart,
    FollowReply,
    FollowRequest,
    ListName,
    RouteTableItem,
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
from bramblebeam.core.revision import FIRST_ERA, HIGHEST_ERA, Revision
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
        return self._batch(await self._ask(Revision(UNKNOWN_ERA, UNKNOWN_REVISION), 0.0))

    async def changes(self, revision: Revision, wait: float) -> Batch[Item]:
        """Return what changed. Raises HistoryLostError, SourceUnavailableError."""
        reply = await self._ask(revision, wait)
        if reply.whole or reply_era(reply) != revision.era:
            raise HistoryLostError
        return self._batch(reply)

    def _batch(self, reply: FollowReply) -> Batch[Item]:
        revision = Revision(reply_era(reply), reply.revision)
        return Batch(self._unpack(reply), revision, reply.age)

    async def _ask(self, revision: Revision, wait: float) -> FollowReply:
        question = FollowRequest(self._name, revision.number, wait, revision.era)
        request = PeerRequest(self._node, question, wait + ANSWER_MARGIN, SILENCE, repeatable=True)
        try:
            answer = await self._kernel.call("transport", request)
        except (MailboxFullError, ServiceFailedError) as error:
            raise SourceUnavailableError(repr(error)) from error
        if not isinstance(answer, FollowReply) or not answer.available:
            raise SourceUnavailableError(f"{self._node}: {answer}")
        if reply_era(answer) not in range(FIRST_ERA, HIGHEST_ERA + 1):
            raise SourceUnavailableError(f"{self._node} tells of era {answer.era}")
        return answer


def reply_era(reply: FollowReply) -> int:
    """Return the era of a reply; a node that knows none tells of the first."""
    return FIRST_ERA if reply.era == UNKNOWN_ERA else reply.era


def route_items(reply: FollowReply) -> tuple[Versioned[RouteTable], ...]:
    """Return the route tables that a node told of."""
    return tuple(
        Versioned(told.name, _revision(reply, told), _table(told), deleted=not told.version)
        for told in reply.routes
    )


def database_items(reply: FollowReply) -> tuple[Versioned[DatabaseEntry], ...]:
    """Return the databases that a node told of."""
    starts = {start.name: start.born for start in reply.starts}
    return tuple(
        Versioned(
            told.name,
            _revision(reply, told),
            _started(told.entry, starts.get(told.name, NOT_TOLD)),
            deleted=told.entry is None,
        )
        for told in reply.databases
    )


def _revision(reply: FollowReply, told: RouteTableItem | DatabaseItem) -> Revision:
    return Revision(reply_era(reply), told.revision)


def _started(entry: DatabaseEntry | None, born: int) -> DatabaseEntry | None:
    if entry is None:
        return None
    return entry._replace(instance=instance_id(entry.instance, born))


def _table(told: RouteTableItem) -> RouteTable | None:
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


class ReplyItems(NamedTuple):
    """The items of an answer: one of the two is empty."""

    routes: tuple[RouteTableItem, ...] = ()
    databases: tuple[DatabaseItem, ...] = ()
    starts: tuple[DatabaseStart, ...] = ()


def pack_routes(items: tuple[Versioned[RouteTable], ...]) -> ReplyItems:
    """Return route tables as they travel; one that can't be read is left out."""
    return ReplyItems(
        routes=tuple(_told_table(item) for item in items if item.item or item.deleted)
    )


def _told_table(item: Versioned[RouteTable]) -> RouteTableItem:
    table = item.item
    if table is None:
        return RouteTableItem(item.name, item.revision.number)
    return RouteTableItem(
        item.name,
        item.revision.number,
        table.version,
        tuple(table.routes.values()),
        tuple(table.groups.values()),
        table.transaction_idle,
        None if table.tenants is None else tuple(table.tenants.by_name.values()),
        tuple(sorted(table.public)),
    )


def pack_databases(items: tuple[Versioned[DatabaseEntry], ...]) -> ReplyItems:
    """Return databases as they travel; one that can't be read is left out."""
    readable = [item for item in items if item.item or item.deleted]
    return ReplyItems(
        databases=tuple(
            DatabaseItem(item.name, item.revision.number, _named(item.item)) for item in readable
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
    request: FollowRequest, followed: FollowedList[Any], pack: Callable[[Any], ReplyItems]
) -> FollowReply:
    """Answer a node that follows this one, once there is news or its time is over."""
    if request.revision >= 0:
        asked = _asked_revision(request, followed)
        await followed.wait_for_change(asked, min(request.wait, LONGEST_WAIT))
    if followed.revision is None:
        return NOT_AVAILABLE
    batch = _changes_for(request, followed)
    whole = batch is None
    if batch is None:
        batch = followed.whole()
    age = asyncio.get_running_loop().time() - followed.confirmed_at
    told = pack(batch.items)
    return FollowReply(
        True,
        whole,
        batch.revision.number,
        age,
        told.routes,
        told.databases,
        told.starts,
        batch.revision.era,
    )


def _asked_revision(request: FollowRequest, followed: FollowedList[Any]) -> Revision:
    """Return what the asking node knows; one that knows no eras means the present one."""
    if request.era != UNKNOWN_ERA or followed.revision is None:
        return Revision(max(request.era, FIRST_ERA), request.revision)
    return Revision(followed.revision.era, request.revision)


def _changes_for(request: FollowRequest, followed: FollowedList[Any]) -> Batch[Any] | None:
    """Return what changed since the asked revision; None: the asking node needs the whole list."""
    asked = _asked_revision(request, followed)
    if request.revision < 0 or followed.revision is None or asked.era != followed.revision.era:
        return None
    try:
        return followed.since(asked)
    except HistoryLostError:
        # What it asks for was forgotten here: the whole list tells it as well.
        return None
