"""The feed service: keeps routes and registered databases up to date with the store."""

from __future__ import annotations

import asyncio
import logging
from typing import ClassVar

from bramblebeam.core.feed.messages import FollowReply, FollowRequest, ListName
from bramblebeam.core.feed.plan import FeedPlan, feed_plan
from bramblebeam.core.gateway.directory import DatabaseEntry, DirectoryChanged
from bramblebeam.core.gateway.owners import NodeLocation
from bramblebeam.core.gateway.registry import Registry
from bramblebeam.core.gateway.routes import RoutesChanged, RouteTable
from bramblebeam.core.identity import NodeId, incarnation_of, server_name
from bramblebeam.core.membership.view import MembersChanged, MembersView
from bramblebeam.core.revision import Revision, StoreEraBegan
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    DIRECTORY_CHANGED,
    FEED_PLAN_CHANGED,
    FORMER_INCARNATION_IGNORED,
    ROUTES_IN_FORCE,
)
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.service import answer
from bramblebeam.services.feed.beside_peers import LongestRunningPeers, PeerCheckedList
from bramblebeam.services.feed.followed import FollowedList
from bramblebeam.services.feed.peers import (
    PeerSource,
    database_items,
    follow_reply,
    pack_databases,
    pack_routes,
    route_items,
)
from bramblebeam.services.feed.ports import Source, StoreList, Versioned
from bramblebeam.services.feed.sources import ListSources
from bramblebeam.services.gateway.metrics import StoreState
from bramblebeam.services.transport.messages import PeerDelivery, PeerRoute
from bramblebeam.services.waiting import wait_at_most

logger = logging.getLogger(__name__)

REVIEW_INTERVAL = 0.25
SETTLED_AFTER_SECONDS = 0.6
"""A node that expects others becomes a reader of the store only after no new member has appeared
for this long: as long as its first statements wait for members (`MEMBERS_TIMEOUT`)."""
MAX_SETTLING_SECONDS = 2.5
"""Limit of that wait: the tightest limit for bringing a new table into force is 3 s."""
LEAVING_SHARE = 0.75
"""Share of a leaving database's drain time in which this node still uses it."""


class FeedService(Service):
    """Publishes `RoutesChanged` and `DirectoryChanged`; serves both lists to other nodes."""

    name: ClassVar[str] = "feed"

    def __init__(
        self,
        kernel: Kernel,
        place: NodeLocation,
        routes: StoreList[RouteTable],
        databases: StoreList[DatabaseEntry],
        drain: float,
        expects_others: bool = False,
    ) -> None:
        super().__init__(kernel)
        self._place = place
        self._view = MembersView()
        self._store_databases = databases
        self._registry = Registry(drain * LEAVING_SHARE)
        self._table = RouteTable()
        self._plan = FeedPlan()
        self._expects_others = expects_others
        self._settled = asyncio.Event()
        self._members_changed = asyncio.Event()
        self._routes = FollowedList[RouteTable](
            self._apply_routes,
            name="routes",
            version=lambda table: table.version,
            begin_era=self._begin_era,
        )
        self._longest_running = LongestRunningPeers[RouteTable](
            place.node, lambda: self._view, self._members_changed, self._routes_at, self._routes
        )
        self._store_routes = PeerCheckedList(routes, self._query_peers)
        self._databases = FollowedList[DatabaseEntry](
            self._apply_databases,
            keeps_last_good=False,
            name="databases",
            begin_era=self._begin_era,
            forget_revisions=self._registry.forget_revisions,
        )
        self._sources: list[ListSources[RouteTable] | ListSources[DatabaseEntry]] = []

    async def start(self) -> None:
        """Start following both lists."""
        self.kernel.subscribe(MembersChanged, self.name)
        await self.kernel.call("transport", PeerRoute(self.name, (FollowRequest,)))
        self._sources = [
            ListSources(
                ListName.ROUTES,
                self._store_routes,
                self._routes_at,
                self._routes,
                self.spawn,
                self._settled,
            ),
            ListSources(
                ListName.DATABASES,
                self._store_databases,
                self._databases_at,
                self._databases,
                self.spawn,
                self._settled,
            ),
        ]
        self._follow()
        self.spawn(self._wait_settled())
        self.spawn(self._review())
        self.spawn(self._expire())

    def store_state(self) -> StoreState:
        """Return how recent the lists are, for the node's metrics."""
        return StoreState((self._routes.state(), self._databases.state()), self._table.version)

    def databases_confirmed_at(self) -> float:
        """Return when the store last had no newer list of databases (monotonic clock, seconds)."""
        return self._databases.confirmed_at

    async def handle(self, envelope: Envelope) -> None:
        """Handle changes of the members and requests of nodes that follow this one."""
        match envelope.message:
            case MembersChanged(view):
                self._view = view
                self._members_changed.set()
                plan = feed_plan(self._place, view)
                if plan != self._plan:
                    self._plan = plan
                    log_event(
                        logger,
                        FEED_PLAN_CHANGED,
                        reads_store=plan.reads_store,
                        peers=list(plan.peers),
                    )
                    self._follow()
            case PeerDelivery(_, FollowRequest() as request):
                self.spawn(self._answer(request, envelope))

    async def _wait_settled(self) -> None:
        """Wait until the members are known, then let this node read the store if planned."""
        deadline = self._now() + MAX_SETTLING_SECONDS
        is_quiet = not self._expects_others
        while not is_quiet and self._now() < deadline:
            self._members_changed.clear()
            is_quiet = not await wait_at_most(self._members_changed, SETTLED_AFTER_SECONDS)
        self._settled.set()

    async def _query_peers(self) -> None:
        if self._expects_others:
            await self._longest_running.query()

    def _follow(self) -> None:
        for sources in self._sources:
            sources.follow(self._plan, self._now())

    async def _review(self) -> None:
        while True:
            await asyncio.sleep(REVIEW_INTERVAL)
            for sources in self._sources:
                sources.review(self._now())

    def _routes_at(self, node: NodeId) -> Source[RouteTable]:
        return PeerSource(self.kernel, node, ListName.ROUTES, route_items)

    def _databases_at(self, node: NodeId) -> Source[DatabaseEntry]:
        return PeerSource(self.kernel, node, ListName.DATABASES, database_items)

    async def _answer(self, request: FollowRequest, envelope: Envelope) -> None:
        reply: FollowReply
        if request.name is ListName.ROUTES:
            reply = await follow_reply(request, self._routes, pack_routes)
        else:
            reply = await follow_reply(request, self._databases, pack_databases)
        answer(envelope, reply)

    def _begin_era(self, era: int) -> None:
        self.kernel.publish(StoreEraBegan(era))

    def _apply_routes(self, changes: list[Versioned[RouteTable]]) -> None:
        for versioned in changes:
            table = versioned.item
            if table is not None and self._is_newer(table):
                self._table = table
                log_event(
                    logger,
                    ROUTES_IN_FORCE,
                    version=table.version,
                    routes=len(table.routes),
                    revision=str(versioned.revision),
                )
                self.kernel.publish(RoutesChanged(table))

    def _is_newer(self, table: RouteTable) -> bool:
        """Return whether a table replaces the known one; of two at one version the later does."""
        known = self._table
        return table.version > known.version or (table.version == known.version and table != known)

    def _apply_databases(self, changes: list[Versioned[DatabaseEntry]]) -> None:
        now = self._now()
        changed = False
        for versioned in changes:
            if versioned.deleted:
                changed |= self._registry.remove(versioned.name, now, versioned.revision)
            elif versioned.item is not None:
                changed |= self._apply_database(versioned.item, versioned.revision, now)
        if changed:
            self._publish_directory()

    def _apply_database(self, entry: DatabaseEntry, revision: Revision, now: float) -> bool:
        if self._registry.is_former(entry.instance):
            log_event(
                logger,
                FORMER_INCARNATION_IGNORED,
                instance=server_name(entry.instance),
                born=incarnation_of(entry.instance),
                revision=str(revision),
            )
            return False
        return self._registry.put(entry, revision, now)

    async def _expire(self) -> None:
        while True:
            expires_at = self._registry.next_expiry()
            pause = 0.5 if expires_at is None else max(0.05, min(0.5, expires_at - self._now()))
            await asyncio.sleep(pause)
            if self._registry.expire(self._now()):
                self._publish_directory()

    def _publish_directory(self) -> None:
        directory = self._registry.directory(self._now())
        leaving = [entry.instance for entry in directory.entries.values() if entry.leaving]
        log_event(
            logger,
            DIRECTORY_CHANGED,
            version=directory.version,
            databases=len(directory.entries),
            leaving=leaving,
            restarted=sorted(directory.restarted),
        )
        self.kernel.publish(DirectoryChanged(directory))

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
