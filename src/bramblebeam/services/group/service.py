"""The group service: runs one state machine for each database group that this node watches."""

from __future__ import annotations

import asyncio
import itertools
import logging
from dataclasses import dataclass
from typing import Any, ClassVar

from bramblebeam.core.configuration.view import ConfigurationChanged
from bramblebeam.core.group import events
from bramblebeam.core.group.machine import GroupMachine
from bramblebeam.core.group.messages import (
    ChangeOutcome,
    ChangePrimaryReply,
    ChangePrimaryRequest,
    GroupChanged,
    GroupPhase,
    GroupStatusReply,
    GroupStatusRequest,
    PrimaryNotice,
    ReachabilityReply,
    ReachabilityRequest,
)
from bramblebeam.core.group.relocation import Relocation, RelocationContext
from bramblebeam.core.group.timing import GroupTiming
from bramblebeam.core.group.watchers import WatcherTable
from bramblebeam.core.identity import Address, GroupId, InstanceSpec, NodeId
from bramblebeam.core.machine import Received
from bramblebeam.core.membership.view import MembersChanged
from bramblebeam.events import catalogue, log_event
from bramblebeam.kernel import Kernel, MailboxFullError, Service, ServiceFailedError
from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.service import answer
from bramblebeam.services.group.forwarding import request_change, request_status
from bramblebeam.services.group.watch import GroupWatch
from bramblebeam.services.transport.messages import (
    PeerDelivery,
    PeerFailure,
    PeerPost,
    PeerRequest,
    PeerRoute,
)
from bramblebeam.settings.model import NodeSettings

logger = logging.getLogger(__name__)

PEER_MESSAGES = (
    ChangePrimaryRequest,
    GroupStatusRequest,
    PrimaryNotice,
    ReachabilityRequest,
    ReachabilityReply,
)
RELOCATION_INTERVAL = 0.25
"""Interval of the checks whether a watched primary should be relocated (seconds)."""
RETRY_SECONDS = 0.05
"""Delay before an event is posted again to a full mailbox (seconds)."""


@dataclass(frozen=True, slots=True)
class _WatchEvent:
    """Passes an event to a group's machine through the mailbox, so that events stay in order."""

    group: GroupId
    event: Any


class GroupService(Service):
    """Watches the groups that the member table assigns to this node.

    Answers `ChangePrimaryRequest` and `GroupStatusRequest` for every group, and forwards them to
    the group's watchers if this node is not one.
    """

    name: ClassVar[str] = "group"

    def __init__(
        self, kernel: Kernel, settings: NodeSettings, timing: GroupTiming | None = None
    ) -> None:
        super().__init__(kernel)
        self._settings = settings
        self._timing = timing or GroupTiming()
        self._table = WatcherTable(settings.node, settings.zone)
        self._watches: dict[GroupId, GroupWatch] = {}
        self._requests: dict[int, tuple[GroupId, Envelope]] = {}
        self._request_numbers = itertools.count(1)
        self._published: dict[GroupId, GroupChanged] = {}
        self._relocations: dict[GroupId, Relocation] = {}

    async def start(self) -> None:
        """Subscribe to the views, register for peers' messages, and start the watches."""
        self.kernel.subscribe(MembersChanged, self.name)
        self.kernel.subscribe(ConfigurationChanged, self.name)
        if self.kernel.has("transport"):
            self.kernel.post("transport", PeerRoute(self.name, PEER_MESSAGES))
        self._replace_watches()
        self.spawn(self._relocate_primaries())

    async def stop(self) -> None:
        """Stop all watches and answer their requests."""
        for group in self._watches:
            self._answer_requests_of(group)
        watches, self._watches = list(self._watches.values()), {}
        self._published.clear()
        await asyncio.gather(*(watch.close() for watch in watches))

    async def handle(self, envelope: Envelope) -> None:
        """Handle one message."""
        match envelope.message:
            case _WatchEvent(group=group, event=event):
                self._feed(group, event)
            case MembersChanged(view=view):
                self._table.members = view
                self._replace_watches()
            case ConfigurationChanged(view=view):
                self._table.configuration = view
                self._replace_watches()
            case PeerDelivery(sender=sender, message=message):
                self._handle_peer_message(sender, message, envelope)
            case ChangePrimaryRequest() | GroupStatusRequest():
                self.spawn(self._forward(envelope))

    # Watches

    def _replace_watches(self) -> None:
        """Start, reconfigure and stop watches to match the member table and the active rows."""
        wanted = self._table.watched()
        for group in [group for group in self._watches if group not in wanted]:
            watch = self._watches.pop(group)
            self._published.pop(group, None)
            self._relocations.pop(group, None)
            log_event(logger, catalogue.GROUP_WATCH_ENDED, group=group)
            self._answer_requests_of(group)
            self.spawn(watch.close())
        for group, watchers in wanted.items():
            self._reconfigure(group, watchers)

    def _reconfigure(self, group: GroupId, watchers: tuple[NodeId, ...]) -> None:
        spec = self._table.configuration.groups[group]
        members = tuple(
            InstanceSpec(member.instance, group, member.zone, Address(member.host, member.port))
            for member in spec.members
        )
        event = events.GroupReconfigured(members, spec.failover == "managed", watchers)
        watch = self._watches.get(group)
        if watch is None:
            watch = self._watches[group] = self._make_watch(group)
            rank = watchers.index(self._settings.node)
            log_event(logger, catalogue.GROUP_WATCH_STARTED, group=group, rank=rank)
        elif watch.configured == event:
            return
        watch.configured = event
        watch.feed(event)

    def _make_watch(self, group: GroupId) -> GroupWatch:
        machine = GroupMachine(group, self._settings.node, self._timing)
        return GroupWatch(
            machine,
            self._settings.backend,
            self.spawn,
            lambda event: self._emit(group, event),
            self._send,
            self._publish,
            self._finish_request,
        )

    def _emit(self, group: GroupId, event: Any) -> None:
        """Post an event to the mailbox; retry while it is full."""
        try:
            self.kernel.post(self.name, _WatchEvent(group, event))
        except MailboxFullError:
            loop = asyncio.get_running_loop()
            loop.call_later(RETRY_SECONDS, self._emit, group, event)

    def _feed(self, group: GroupId, event: Any) -> None:
        watch = self._watches.get(group)
        if watch is not None:
            watch.feed(event)

    def _send(self, to: NodeId, message: Any) -> None:
        if self.kernel.has("transport"):
            self.kernel.post("transport", PeerPost(to, message))

    def _publish(self, message: GroupChanged) -> None:
        previous = self._published.get(message.group)
        self._published[message.group] = message
        if message.primary and (previous is None or previous.term != message.term):
            log_event(
                logger,
                catalogue.GROUP_PRIMARY_CHANGED,
                group=message.group,
                term=message.term,
                primary=message.primary,
            )
        if message.phase is GroupPhase.SUSPECTED:
            log_event(
                logger,
                catalogue.GROUP_PRIMARY_SUSPECTED,
                group=message.group,
                primary=message.primary,
            )
        self.kernel.publish(message)

    # Relocation of primaries

    async def _relocate_primaries(self) -> None:
        while True:
            await asyncio.sleep(RELOCATION_INTERVAL)
            now = asyncio.get_running_loop().time()
            context = RelocationContext(
                self._settings.node, self._table.members, self._table.configuration
            )
            for group, watch in list(self._watches.items()):
                self._relocate(group, watch, context, now)

    def _relocate(
        self, group: GroupId, watch: GroupWatch, context: RelocationContext, now: float
    ) -> None:
        if not watch.machine.managed or not context.is_first_reachable(
            self._table.watchers_of(group)
        ):
            return
        relocation = self._relocations.setdefault(group, Relocation())
        target = relocation.target(watch.machine.view, context, now)
        if target is None:
            return
        log_event(
            logger,
            catalogue.GROUP_PRIMARY_RELOCATED,
            group=group,
            primary=watch.machine.view.primary,
            target=target,
        )
        self._start_change(ChangePrimaryRequest(group, target), Envelope(None, None))

    # Requests

    def _handle_peer_message(self, sender: NodeId, message: Any, envelope: Envelope) -> None:
        match message:
            case ReachabilityRequest() | ReachabilityReply() | PrimaryNotice():
                self._feed(message.group, Received(sender, message))
            case ChangePrimaryRequest():
                self._start_change(message, envelope)
            case GroupStatusRequest(group=group):
                answer(envelope, self._status(group))

    def _status(self, group: GroupId) -> GroupStatusReply:
        watch = self._watches.get(group)
        if watch is None:
            return GroupStatusReply(group, watched=False)
        return watch.machine.status(asyncio.get_running_loop().time())

    def _start_change(self, request: ChangePrimaryRequest, envelope: Envelope) -> None:
        """Start a planned change here; the envelope is answered once it is over."""
        watch = self._watches.get(request.group)
        if watch is None:
            answer(envelope, ChangePrimaryReply(request.group, ChangeOutcome.NOT_WATCHED))
            return
        number = next(self._request_numbers)
        self._requests[number] = (request.group, envelope)
        watch.feed(events.ChangeRequested(number, request.target))

    def _finish_request(self, effect: events.RequestFinished) -> None:
        group, envelope = self._requests.pop(effect.request)
        log_event(
            logger,
            catalogue.GROUP_REQUEST_FINISHED,
            group=group,
            outcome=effect.outcome.name.lower(),
            detail=effect.detail,
        )
        view = self._watches[group].machine.view
        duration_ms = int(effect.duration * 1000)
        primary = view.primary or ""
        reply = ChangePrimaryReply(
            group, effect.outcome, view.term, primary, effect.detail, duration_ms
        )
        answer(envelope, reply)

    def _answer_requests_of(self, group: GroupId) -> None:
        """Answer the pending requests of a group that this node stops watching."""
        for number, (of_group, envelope) in list(self._requests.items()):
            if of_group == group:
                del self._requests[number]
                detail = "the node stopped watching the group"
                answer(envelope, ChangePrimaryReply(group, ChangeOutcome.FAILED, detail=detail))

    async def _forward(self, envelope: Envelope) -> None:
        """Forward a request to the group's watchers, which may include this node."""
        request = envelope.message
        watchers = self._table.watchers_of(request.group)
        if isinstance(request, ChangePrimaryRequest):
            answer(envelope, await request_change(request, watchers, self._send_request))
        else:
            answer(envelope, await request_status(request.group, watchers, self._send_request))

    async def _send_request(self, watcher: NodeId, message: Any, timeout: float) -> Any:
        if watcher != self._settings.node:
            request = PeerRequest(watcher, message, timeout)
            try:
                return await self.kernel.call("transport", request, timeout + 1.0)
            except (TimeoutError, MailboxFullError, ServiceFailedError) as error:
                return PeerFailure(sent=True, detail=repr(error))
        reply = asyncio.get_running_loop().create_future()
        self._handle_peer_message(watcher, message, Envelope(message, reply))
        return await reply
