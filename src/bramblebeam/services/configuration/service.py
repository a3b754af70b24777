"""The service that runs the configuration relay on asyncio."""

from __future__ import annotations

import asyncio
import heapq
import logging
from typing import Any, ClassVar

from bramblebeam.core.configuration.messages import (
    BucketDigests,
    BucketVersions,
    Changes,
    EditReply,
    EditRow,
    EditStatus,
    InForceReply,
    InForceRequest,
    Probe,
    Pull,
    Report,
    RowsGiven,
    RowsWanted,
    ZoneVersionsReply,
    ZoneVersionsRequest,
)
from bramblebeam.core.configuration.relay import ConfigurationRelay
from bramblebeam.core.configuration.relay_events import (
    BecameReady,
    ListStore,
    RowsApplied,
    RowWritten,
    StopReadingStore,
    StoreBehind,
    StoreFailed,
    StoreFailure,
    WatchStore,
)
from bramblebeam.core.identity import NodeId
from bramblebeam.core.machine import Received, Send, Wakeup
from bramblebeam.core.membership.view import MembersChanged, MembersView
from bramblebeam.edges.object_store.client import PlatformClient
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    CONFIGURATION_READY,
    CONFIGURATION_STORE_BEHIND,
)
from bramblebeam.kernel import Kernel, MailboxFullError, Service
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.service import answer
from bramblebeam.services.configuration.editor import run_edit
from bramblebeam.services.configuration.in_force import query_versions, query_zones
from bramblebeam.services.configuration.machine_list import MachineListFeed
from bramblebeam.services.configuration.messages import (
    ConfigurationStatus,
    ConfigurationStatusQuery,
    InForceQuery,
    RowAnswer,
    RowQuery,
    RowsPage,
    RowsQuery,
    VersionsQuery,
)
from bramblebeam.services.configuration.publisher import ViewPublisher
from bramblebeam.services.configuration.store_feed import StoreFeed
from bramblebeam.services.transport.messages import PeerDelivery, PeerPost, PeerRoute
from bramblebeam.settings.model import NodeSettings

logger = logging.getLogger(__name__)

RELAY_MESSAGES = (
    Probe,
    Report,
    Pull,
    Changes,
    BucketDigests,
    BucketVersions,
    RowsWanted,
    RowsGiven,
)
_MAX_SLEEP = 60.0
ROWS_LOGGED_SINGLY = 100
"""Of a larger batch, as at a node's start, only the first rows are logged individually."""


class ConfigurationService(Service):
    """Owns the rows of one node and its connections to the platform's store."""

    name: ClassVar[str] = "configuration"

    def __init__(self, kernel: Kernel, settings: NodeSettings) -> None:
        super().__init__(kernel)
        self._settings = settings
        self.relay = self._new_relay()
        self._publisher = ViewPublisher(kernel)
        self._members = MembersView()
        self._client: PlatformClient | None = None
        self._feed: StoreFeed | None = None
        self._timer: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Subscribe, register the relay's messages and start; rows are kept over a restart."""
        self.kernel.subscribe(MembersChanged, self.name)
        if self._settings.platform.url:
            timeout = self._settings.platform.timeout_ms / 1000
            self._client = PlatformClient(self._settings.platform.url, timeout)
            self._feed = StoreFeed(self, self._client)
            machines = MachineListFeed(self.kernel, self._client, self._is_alone, self._is_reader)
            self.spawn(machines.run())
        if self.kernel.has("transport"):
            route = PeerRoute(self.name, (*RELAY_MESSAGES, InForceRequest, ZoneVersionsRequest))
            await self.kernel.call("transport", route, timeout=5.0)
        if self.relay.ready:
            self._publisher.begin()
        self.feed(StoreFailed(StoreFailure.UNAVAILABLE))

    async def stop(self) -> None:
        """Close the connections to the store."""
        if self._timer is not None:
            self._timer.cancel()
        self._publisher.close()
        if self._client is not None:
            await self._client.close()

    async def handle(self, envelope: Envelope) -> None:
        """Handle one message."""
        match envelope.message:
            case PeerDelivery(_, InForceRequest(version)):
                answer(envelope, self._zone_progress(version))
            case PeerDelivery(_, ZoneVersionsRequest()):
                answer(envelope, self._versions())
            case PeerDelivery(sender, message):
                self.feed(Received(sender, message))
            case MembersChanged(view):
                self._members = view
                self.feed(envelope.message)
            case EditRow():
                self.spawn(self._edit(envelope.message, envelope))
            case ConfigurationStatusQuery():
                answer(envelope, self._status())
            case RowsQuery() as query:
                answer(envelope, self._page(query))
            case RowQuery(key):
                answer(envelope, RowAnswer(self.relay.table.get(key)))
            case InForceQuery():
                self.spawn(self._in_force(envelope.message, envelope))
            case VersionsQuery():
                self.spawn(self._all_versions(envelope.message, envelope))
            case _:
                self.feed(envelope.message)

    def feed(self, event: Any) -> None:
        """Pass an event to the relay and carry out the resulting effects."""
        now = asyncio.get_running_loop().time()
        for effect in self.relay.handle(event, now):
            self._carry_out(effect)
        self._set_timer()

    def _is_alone(self) -> bool:
        return len(self._members.members) <= 1

    def _is_reader(self) -> bool:
        return self.relay.peers.is_reader

    def _new_relay(self) -> ConfigurationRelay:
        settings = self._settings
        return ConfigurationRelay(settings.node, settings.zone, bool(settings.platform.url))

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        wakeup_at = self.relay.next_wakeup()
        if wakeup_at is None:
            return
        loop = asyncio.get_running_loop()
        when = min(max(wakeup_at, loop.time() + 0.001), loop.time() + _MAX_SLEEP)
        self._timer = loop.call_at(when, self._wake)

    def _wake(self) -> None:
        try:
            self.kernel.post(self.name, Wakeup())
        except MailboxFullError:
            self._set_timer()

    def _carry_out(self, effect: Any) -> None:
        match effect:
            case Send(to, message):
                self._send(to, message)
            case RowsApplied(rows):
                self._publisher.apply(rows)
            case BecameReady(source):
                log_event(logger, CONFIGURATION_READY, source=source, version=self._complete)
                self._publisher.begin()
            case StoreBehind(version, complete):
                log_event(logger, CONFIGURATION_STORE_BEHIND, version=version, complete=complete)
            case ListStore() | WatchStore() | StopReadingStore():
                if self._feed is not None:
                    self._feed.carry_out(effect)

    def _send(self, to: NodeId, message: Any) -> None:
        try:
            self.kernel.post("transport", PeerPost(to, message))
        except MailboxFullError:
            logger.debug("transport is full; message to %s dropped", to)

    @property
    def _complete(self) -> int:
        return self.relay.table.complete

    def _status(self) -> ConfigurationStatus:
        table = self.relay.table
        return ConfigurationStatus(
            table.live, table.complete, self.relay.ready, self.relay.reader.watching
        )

    def _page(self, query: RowsQuery) -> RowsPage:
        """Return the rows after the named one, in the order of their keys."""
        wanted = (
            row
            for row in self.relay.table
            if row.spec
            and query.kind in ("", row.key.kind)
            and row.key.name.startswith(query.prefix)
            and row.key > query.after
        )
        rows = heapq.nsmallest(query.limit + 1, wanted)
        return RowsPage(tuple(rows[: query.limit]), self._complete, len(rows) > query.limit)

    def _zone_progress(self, version: int) -> InForceReply:
        """Return the own zone's progress on a version; probe members that seem to lag."""
        for effect in self.relay.probe_lagging(version):
            self._carry_out(effect)
        return self.relay.in_force(version)

    def _versions(self) -> ZoneVersionsReply:
        completes = self.relay.peers.zone_completes(self._complete if self.relay.ready else 0)
        return ZoneVersionsReply(self._settings.zone, tuple(sorted(completes.items())))

    async def _in_force(self, query: InForceQuery, envelope: Envelope) -> None:
        answer(envelope, await query_zones(self.kernel, self._members, query))

    async def _all_versions(self, query: VersionsQuery, envelope: Envelope) -> None:
        answer(envelope, await query_versions(self.kernel, self._members, query))

    async def _edit(self, edit: EditRow, envelope: Envelope) -> None:
        in_force = self.relay.table.version_of(edit.key)
        reply: EditReply = await run_edit(self._client, edit, in_force)
        if reply.status is EditStatus.WRITTEN and reply.current is not None:
            self.feed(RowWritten(reply.current))
        answer(envelope, reply)
