"""Registry and lifecycle of services."""

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from bramblebeam.events.catalogue import (
    DRAIN_FAILED,
    MAILBOX_FULL,
    SERVICE_FAILED,
    SERVICE_GAVE_UP,
    SERVICE_STOP_FAILED,
)
from bramblebeam.events.log import log_event
from bramblebeam.kernel.mailbox import Envelope, MailboxFullError, ServiceFailedError
from bramblebeam.kernel.service import Service

logger = logging.getLogger(__name__)

CLOSE_SECONDS = 5.0
"""Time limit for closing a service."""


@dataclass(frozen=True, slots=True)
class RestartRule:
    """A service may be restarted `limit` times within `window` seconds; then the node stops."""

    limit: int = 3
    window: float = 60.0


class Kernel:
    """Starts services in registration order, restarts failed ones, stops in reverse order."""

    def __init__(self, restart_rule: RestartRule | None = None) -> None:
        self.restart_rule = restart_rule or RestartRule()
        self._services: dict[str, Service] = {}
        self._supervisors: dict[str, asyncio.Task[None]] = {}
        self._failure_futures: dict[str, asyncio.Future[BaseException]] = {}
        self._subscribers: dict[type, list[str]] = {}
        self._failures: dict[str, list[float]] = {}
        self._fatal: asyncio.Event = asyncio.Event()

    def register(self, *services: Service) -> None:
        """Add services. Raises ValueError for a name that is already registered."""
        for service in services:
            if service.name in self._services:
                raise ValueError(f"service {service.name} is registered already")
            self._services[service.name] = service

    def names(self) -> Iterable[str]:
        """Return the names of all registered services."""
        return self._services.keys()

    def has(self, name: str) -> bool:
        """Return whether a service of this name is registered."""
        return name in self._services

    def subscribe(self, message_type: type, name: str) -> None:
        """Deliver published messages of exactly this type to the service's mailbox."""
        names = self._subscribers.setdefault(message_type, [])
        if name not in names:
            names.append(name)

    def publish(self, message: Any) -> None:
        """Post an immutable message to each subscriber.

        Published messages may fill a mailbox to twice its capacity. A subscriber whose mailbox is
        full even so misses the message, which is logged; the publisher is not affected.
        """
        for name in self._subscribers.get(type(message), ()):
            mailbox = self._services[name].mailbox
            try:
                mailbox.put(Envelope(message, None), reserve=mailbox.capacity)
            except MailboxFullError:
                kind = type(message).__name__
                log_event(logger, MAILBOX_FULL, service=name, message_type=kind)

    def post(self, name: str, message: Any) -> None:
        """Send without an answer. Raises KeyError (no such service), MailboxFullError."""
        self._services[name].mailbox.put(Envelope(message, None))

    def forward(self, name: str, envelope: Envelope) -> None:
        """Pass an envelope on to a service, which answers the original sender.

        Raises KeyError (no such service), MailboxFullError.
        """
        self._services[name].mailbox.put(envelope)

    async def call(self, name: str, message: Any, timeout: float | None = None) -> Any:
        """Send and wait for the answer, for `timeout` seconds (None: no limit).

        Raises KeyError (no such service), MailboxFullError, TimeoutError, and ServiceFailedError
        if the service fails or stops before it answers.
        """
        reply = asyncio.get_running_loop().create_future()
        self._services[name].mailbox.put(Envelope(message, reply))
        if timeout is None:
            return await reply
        async with asyncio.timeout(timeout):
            return await reply

    async def start(self) -> None:
        """Start and supervise every service in registration order.

        If a service fails to start, the ones before it are stopped and its error is raised.
        """
        started: list[Service] = []
        try:
            for service in self._services.values():
                started.append(service)
                self._reset_failure(service)
                await service.start()
                self._supervise(service)
        except BaseException:
            await self._stop_services(started)
            raise

    async def wait_failed(self) -> None:
        """Return when a service has failed more often than the restart rule allows."""
        await self._fatal.wait()

    async def drain(self) -> None:
        """Let every service, last registered first, prepare a planned stop.

        Services drain concurrently, so that one which waits for work in flight does not delay the
        others. Returns when all are done; the caller sets the timeout.
        """
        services = reversed(list(self._services.values()))
        await asyncio.gather(*(self._drain(service) for service in services))

    async def stop(self) -> None:
        """Stop every service, last registered first."""
        await self._stop_services(list(self._services.values()))

    def report_failure(self, name: str, error: BaseException | None) -> None:
        """End the service's current run with an error; the restart rule applies.

        Errors reported while the service is already being closed or restarted are ignored.
        """
        failed = self._failure_futures.get(name)
        if failed is None or failed.done():
            return
        failed.set_result(error or RuntimeError("unknown failure"))

    def _reset_failure(self, service: Service) -> None:
        loop = asyncio.get_running_loop()
        self._failure_futures[service.name] = loop.create_future()

    def _supervise(self, service: Service) -> None:
        task = asyncio.get_running_loop().create_task(self._keep_running(service))
        self._supervisors[service.name] = task

    async def _keep_running(self, service: Service) -> None:
        while True:
            error = await self._run_until_failure(service)
            if not self._may_restart(service.name, error):
                self._fatal.set()
                return
            await self._close(service)
            self._reset_failure(service)
            try:
                await service.start()
            except Exception as start_error:
                self.report_failure(service.name, start_error)

    async def _run_until_failure(self, service: Service) -> BaseException:
        failed = self._failure_futures[service.name]
        runner = asyncio.get_running_loop().create_task(service.run())
        try:
            await asyncio.wait((runner, failed), return_when=asyncio.FIRST_COMPLETED)
            if failed.done():
                return failed.result()
            error = runner.exception() or RuntimeError("service ended by itself")
            self.report_failure(service.name, error)
            return error
        finally:
            runner.cancel()
            await asyncio.gather(runner, return_exceptions=True)

    def _may_restart(self, name: str, error: BaseException) -> bool:
        logger.debug("service %s failed", name, exc_info=error)
        now = asyncio.get_running_loop().time()
        window = self.restart_rule.window
        recent = [at for at in self._failures.get(name, []) if now - at < window]
        recent.append(now)
        self._failures[name] = recent
        if len(recent) > self.restart_rule.limit:
            log_event(logger, SERVICE_GAVE_UP, service=name, error=_describe(error))
            return False
        log_event(logger, SERVICE_FAILED, service=name, error=_describe(error))
        return True

    async def _close(self, service: Service) -> None:
        """Stop the service's child tasks and sockets; fail its unanswered messages.

        A service that does not stop in time is abandoned, so that it cannot block the node.
        """
        try:
            async with asyncio.timeout(CLOSE_SECONDS):
                await service.cancel_children()
                service.mailbox.fail_taken(ServiceFailedError(service.name))
                await service.stop()
                await service.cancel_children()
        except Exception as error:
            log_event(logger, SERVICE_STOP_FAILED, service=service.name, error=_describe(error))
        service.mailbox.fail_taken(ServiceFailedError(service.name))

    async def _drain(self, service: Service) -> None:
        try:
            await service.drain()
        except Exception as error:
            log_event(logger, DRAIN_FAILED, service=service.name, error=_describe(error))

    async def _stop_services(self, services: list[Service]) -> None:
        for service in reversed(services):
            self._failure_futures.pop(service.name, None)
            supervisor = self._supervisors.pop(service.name, None)
            if supervisor is not None:
                supervisor.cancel()
                await asyncio.gather(supervisor, return_exceptions=True)
            await self._close(service)
            service.mailbox.fail_all(ServiceFailedError(service.name))


def _describe(error: BaseException) -> str:
    """Return the error and where it was raised, on one line."""
    location = ""
    traceback = error.__traceback__
    while traceback is not None:
        code = traceback.tb_frame.f_code
        location = f" at {code.co_qualname}:{traceback.tb_lineno}"
        traceback = traceback.tb_next
    return f"{type(error).__name__}: {error}{location}"
