"""Drives the state machine of one watched group: runs its effects and feeds the results back."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from expression import Error, Result

from bramblebeam.core.group import events
from bramblebeam.core.group.events import CommandOutcome
from bramblebeam.core.group.machine import GroupMachine
from bramblebeam.core.group.messages import MemberStatus
from bramblebeam.core.identity import Address, InstanceId, NodeId
from bramblebeam.core.machine import Send, Wakeup
from bramblebeam.edges.backend import BackendResult
from bramblebeam.edges.backend.status import STATUS_QUERY, StatusFormatError, parse_status
from bramblebeam.events import catalogue, log_event
from bramblebeam.metrics import PRIMARY_CHANGE_SECONDS
from bramblebeam.services.group import commands
from bramblebeam.services.group.member import CommandFailure, FailureKind, MemberClient
from bramblebeam.settings.model import BackendSettings

logger = logging.getLogger(__name__)

Spawn = Callable[[Coroutine[Any, Any, Any]], Any]


class GroupWatch:
    """One watched group. All methods run in the service's event loop.

    `emit` posts an event to the service's mailbox, which passes it back to `feed`. `send` posts a
    message to a peer. `publish` and `finish` receive the machine's results.
    """

    def __init__(
        self,
        machine: GroupMachine,
        account: BackendSettings,
        spawn: Spawn,
        emit: Callable[[Any], None],
        send: Callable[[NodeId, Any], None],
        publish: Callable[[Any], None],
        finish: Callable[[events.RequestFinished], None],
    ) -> None:
        self.machine = machine
        self.configured: events.GroupReconfigured | None = None
        self._account = account
        self._spawn = spawn
        self._emit = emit
        self._send = send
        self._publish = publish
        self._finish = finish
        self._clients: dict[InstanceId, tuple[Address, MemberClient]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._unreadable: set[InstanceId] = set()
        self._handlers: dict[type, Callable[[Any], None]] = {
            events.QueryStatus: lambda effect: self._run(self._query(effect)),
            events.Promise: lambda effect: self._run(self._promise(effect)),
            events.Promote: lambda effect: self._run(self._promote(effect)),
            events.Follow: lambda effect: self._run(self._follow(effect)),
            events.PauseWrites: lambda effect: self._run(self._pause(effect)),
            events.Publish: lambda effect: self._publish(effect.message),
            events.RequestFinished: self._finish,
            events.ChangeStarted: self._log_started,
            events.ChangeCompleted: self._log_completed,
            events.ChangeGivenUp: self._log_given_up,
            Send: lambda effect: self._send(effect.to, effect.message),
        }

    def feed(self, event: Any) -> None:
        """Pass one event to the machine and run its effects."""
        loop = asyncio.get_running_loop()
        if isinstance(event, events.GroupReconfigured):
            self._replace_clients(event)
        for effect in self.machine.handle(event, loop.time()):
            self._handlers[type(effect)](effect)
        self._set_timer(loop)

    async def close(self) -> None:
        """Cancel the timer and close the connections."""
        if self._timer is not None:
            self._timer.cancel()
        clients = [client for _, client in self._clients.values()]
        self._clients = {}
        await asyncio.gather(*(client.close() for client in clients))

    def _set_timer(self, loop: asyncio.AbstractEventLoop) -> None:
        if self._timer is not None:
            self._timer.cancel()
        wakeup_at = self.machine.next_wakeup()
        self._timer = None if wakeup_at is None else loop.call_at(wakeup_at, self._emit, Wakeup())

    def _replace_clients(self, event: events.GroupReconfigured) -> None:
        wanted = {member.instance: member.address for member in event.members}
        for instance, (address, client) in list(self._clients.items()):
            if wanted.get(instance) != address:
                del self._clients[instance]
                self._run(client.close())
        account = self._account
        program = f"bramblebeam-watch/{self.machine.node}"
        for instance, address in wanted.items():
            if instance not in self._clients:
                client = MemberClient(
                    address, account.control_user, account.control_password, program
                )
                self._clients[instance] = (address, client)

    def _run(self, work: Coroutine[Any, Any, Any]) -> None:
        self._spawn(work)

    async def _command(
        self, instance: InstanceId, sql: str, timeout: float
    ) -> Result[BackendResult, CommandFailure]:
        known = self._clients.get(instance)
        if known is None:
            return Error(CommandFailure(FailureKind.LOST, "the member is no longer watched"))
        return await known[1].run(sql, timeout)

    async def _query(self, effect: events.QueryStatus) -> None:
        result = await self._command(effect.instance, STATUS_QUERY, effect.timeout)
        status = self._status_of(result, effect.instance)
        if status is not None:
            self._emit(events.StatusObserved(effect.instance, status, effect.queried_at))
            return
        refused = result.is_error() and result.error.kind is FailureKind.NOT_LISTENING
        self._emit(events.StatusFailed(effect.instance, effect.queried_at, refused))

    async def _promise(self, effect: events.Promise) -> None:
        sql = commands.promise(effect.term)
        result = await self._command(effect.instance, sql, effect.timeout)
        status = self._status_of(result, effect.instance)
        outcome = _outcome(result) if status is not None or result.is_error() else _LOST
        self._emit(events.PromiseAnswered(effect.instance, effect.term, outcome, status))

    async def _promote(self, effect: events.Promote) -> None:
        sql = commands.promote(effect.term, effect.members)
        result = await self._command(effect.instance, sql, effect.timeout)
        self._emit(events.PromoteAnswered(effect.instance, effect.term, _outcome(result)))

    async def _follow(self, effect: events.Follow) -> None:
        sql = commands.follow(effect.term, effect.primary)
        result = await self._command(effect.instance, sql, effect.timeout)
        if result.is_error():
            return
        log_event(
            logger,
            catalogue.GROUP_MEMBER_REPOINTED,
            group=self.machine.group,
            instance=effect.instance,
            term=effect.term,
        )

    async def _pause(self, effect: events.PauseWrites) -> None:
        sql = commands.pause_writes(effect.milliseconds)
        result = await self._command(effect.instance, sql, effect.timeout)
        if effect.milliseconds > 0:
            self._emit(events.PauseAnswered(effect.instance, _outcome(result)))

    def _status_of(
        self, result: Result[BackendResult, CommandFailure], instance: InstanceId
    ) -> MemberStatus | None:
        """Return the status; None if it is unreadable or from another server than the member."""
        if result.is_error():
            return None
        try:
            status = parse_status(result.ok)
        except StatusFormatError as error:
            self._note_unreadable(instance, str(error))
            return None
        if status.instance != instance:
            self._note_unreadable(instance, f"server {status.instance} answers at its address")
            return None
        self._unreadable.discard(instance)
        return status

    def _note_unreadable(self, instance: InstanceId, error: str) -> None:
        """Log that a member's status is unusable, once until it is usable again."""
        if instance in self._unreadable:
            return
        self._unreadable.add(instance)
        log_event(logger, catalogue.GROUP_STATUS_UNREADABLE, instance=instance, error=error)

    def _log_started(self, effect: events.ChangeStarted) -> None:
        log_event(
            logger,
            catalogue.GROUP_CHANGE_STARTED,
            group=self.machine.group,
            term=effect.term,
            cause=effect.cause.name.lower(),
        )

    def _log_completed(self, effect: events.ChangeCompleted) -> None:
        PRIMARY_CHANGE_SECONDS.observe(effect.duration)
        log_event(
            logger,
            catalogue.GROUP_CHANGE_COMPLETED,
            group=self.machine.group,
            term=effect.term,
            primary=effect.primary,
            duration_ms=int(effect.duration * 1000),
        )

    def _log_given_up(self, effect: events.ChangeGivenUp) -> None:
        log_event(
            logger,
            catalogue.GROUP_CHANGE_ABANDONED,
            group=self.machine.group,
            term=effect.term,
            detail=effect.detail,
        )


_LOST = CommandOutcome.LOST


def _outcome(result: Result[BackendResult, CommandFailure]) -> CommandOutcome:
    if result.is_ok():
        return CommandOutcome.DONE
    lost = result.error.kind is FailureKind.LOST
    return CommandOutcome.LOST if lost else CommandOutcome.REFUSED
