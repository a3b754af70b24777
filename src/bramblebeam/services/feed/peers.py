"""Lists that are read from other nodes, and the replies to nodes that read from this one."""

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
    UNKNOWN_INCARNATION,
    InstanceId,
    NodeId,
    incarnation_of,
    instance_id,
    server_name,
)
from bramblebeam.core.revision import FIRST_ERA, HIGHEST_ERA, HIGHEST_NUMBER, Revision
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

ANSWER_MARGIN = 3.0
"""Time for the whole list to arrive (seconds): it may be large, and the link slow."""
SILENCE_TIMEOUT = 0.5
"""A node that sent nothing for this long (seconds), not even for a probe, has failed."""
MAX_WAIT = 5.0
NOT_AVAILABLE = FollowReply(available=False)


class PeerSource(Generic[Item]):
    """A list as known by another node. `unpack` returns the list's items of a reply."""

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
        """Return the node's whole list. Raises SourceUnavailableError."""
        return self._batch(await self._ask(Revision(UNKNOWN_ERA, UNKNOWN_REVISION), 0.0))

    async def changes(self, revision: Revision, wait: float) -> Batch[Item]:
        """Return the changes after a revision. Raises HistoryLostError, SourceUnavailableError."""
        reply = await self._ask(revision, wait)
        if reply.whole or reply_era(reply) != revision.era:
            raise HistoryLostError
        return self._batch(reply)

    def _batch(self, reply: FollowReply) -> Batch[Item]:
        revision = Revision(reply_era(reply), reply.revision)
        return Batch(self._unpack(reply), revision, reply.age)

    async def _ask(self, revision: Revision, wait: float) -> FollowReply:
        follow = FollowRequest(self._name, revision.number, wait, revision.era)
        request = PeerRequest(
            self._node, follow, wait + ANSWER_MARGIN, SILENCE_TIMEOUT, repeatable=True
        )
        try:
            answer = await self._kernel.call("transport", request)
        except (MailboxFullError, ServiceFailedError) as error:
            raise SourceUnavailableError(repr(error)) from error
        if not isinstance(answer, FollowReply) or not answer.available:
            raise SourceUnavailableError(f"{self._node}: {answer}")
        if reply_era(answer) not in range(FIRST_ERA, HIGHEST_ERA + 1):
            raise SourceUnavailableError(f"{self._node} reports era {answer.era}")
        if not 0 <= answer.revision <= HIGHEST_NUMBER or answer.age < 0:
            detail = f"revision {answer.revision}, age {answer.age}"
            raise SourceUnavailableError(f"{self._node} reports {detail}")
        return answer


def reply_era(reply: FollowReply) -> int:
    """Return the era of a reply; nodes of a release without eras are in the first."""
    return FIRST_ERA if reply.era == UNKNOWN_ERA else reply.era


def route_items(reply: FollowReply) -> tuple[Versioned[RouteTable], ...]:
    """Return the route tables of a reply."""
    return tuple(
        Versioned(
            item.name,
            _revision(reply, item),
            _table(item),
            deleted=not item.version,
        )
        for item in reply.routes
    )


def database_items(reply: FollowReply) -> tuple[Versioned[DatabaseEntry], ...]:
    """Return the databases of a reply."""
    starts = {start.name: start.born for start in reply.starts}
    return tuple(
        Versioned(
            item.name,
            _revision(reply, item),
            _incarnation_entry(item.entry, starts.get(item.name, UNKNOWN_INCARNATION)),
            deleted=item.entry is None,
        )
        for item in reply.databases
    )


def _revision(reply: FollowReply, item: RouteTableItem | DatabaseItem) -> Revision:
    return Revision(reply_era(reply), item.revision)


def _incarnation_entry(entry: DatabaseEntry | None, born: int) -> DatabaseEntry | None:
    if entry is None:
        return None
    # A name has no blank; what follows one would be taken for a start time.
    return entry._replace(instance=instance_id(server_name(entry.instance), born))


def _table(item: RouteTableItem) -> RouteTable | None:
    if not item.version:
        return None
    return RouteTable(
        item.version,
        {route.database: route for route in item.routes},
        {group.group: group for group in item.groups},
        item.transaction_idle,
        None if item.tenants is None else TenantTable(item.tenants),
        frozenset(item.public),
    )


class ReplyItems(NamedTuple):
    """The items of a reply; either the routes or the databases are empty."""

    routes: tuple[RouteTableItem, ...] = ()
    databases: tuple[DatabaseItem, ...] = ()
    starts: tuple[DatabaseStart, ...] = ()


def pack_routes(items: tuple[Versioned[RouteTable], ...]) -> ReplyItems:
    """Return the route tables to send; one that can't be read is left out."""
    return ReplyItems(
        routes=tuple(_pack_table(item) for item in items if item.item or item.deleted)
    )


def _pack_table(item: Versioned[RouteTable]) -> RouteTableItem:
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
    """Return the databases to send; one that can't be read is left out."""
    readable = [item for item in items if item.item or item.deleted]
    return ReplyItems(
        databases=tuple(
            DatabaseItem(item.name, item.revision.number, _plain_entry(item.item))
            for item in readable
        ),
        starts=tuple(
            DatabaseStart(item.name, incarnation_of(item.item.instance))
            for item in readable
            if item.item is not None and incarnation_of(item.item.instance) != UNKNOWN_INCARNATION
        ),
    )


def _plain_entry(entry: DatabaseEntry | None) -> DatabaseEntry | None:
    """Return an entry under its database's name, without the incarnation."""
    if entry is None:
        return None
    return entry._replace(instance=InstanceId(server_name(entry.instance)))


async def follow_reply(
    request: FollowRequest, followed: FollowedList[Any], pack: Callable[[Any], ReplyItems]
) -> FollowReply:
    """Answer a node that follows this one, on the next change or when its wait time is over."""
    if request.revision >= 0:
        known = _known_revision(request, followed)
        await followed.wait_for_change(known, min(request.wait, MAX_WAIT))
    if followed.revision is None:
        return NOT_AVAILABLE
    batch = _changes_for(request, followed)
    whole = batch is None
    if batch is None:
        batch = followed.whole()
    age = asyncio.get_running_loop().time() - followed.confirmed_at
    items = pack(batch.items)
    return FollowReply(
        True,
        whole,
        batch.revision.number,
        age,
        items.routes,
        items.databases,
        items.starts,
        batch.revision.era,
    )


def _known_revision(request: FollowRequest, followed: FollowedList[Any]) -> Revision:
    """Return the requester's revision; one of a release without eras means the current era."""
    if request.era != UNKNOWN_ERA or followed.revision is None:
        return Revision(max(request.era, FIRST_ERA), request.revision)
    return Revision(followed.revision.era, request.revision)


def _changes_for(request: FollowRequest, followed: FollowedList[Any]) -> Batch[Any] | None:
    """Return the changes since the requester's revision; None if it needs the whole list."""
    known = _known_revision(request, followed)
    if request.revision < 0 or followed.revision is None or known.era != followed.revision.era:
        return None
    try:
        return followed.since(known)
    except HistoryLostError:
        # This node no longer has these changes; the whole list contains them too.
        return None
