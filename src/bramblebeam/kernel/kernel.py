"""The registry and life cycle of services, on aiomisc and uvloop."""

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from aiomisc import Service as AiomiscService

from bramblebeam.kernel.mailbox import Envelope
from bramblebeam.kernel.service import Service

logger = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RestartRule:
    """A service is restarted up to `limit` times within `window` seconds; then the node stops."""

    limit: int = 3
    window: float = 60.0


class Kernel(AiomiscService):  # type: ignore[misc]
    """Starts services in the given order, restarts failed ones, stops them in reverse order."""

    def __init__(self, restart_rule: RestartRule | None = None, **options: Any) -> None:
        super().__init__(**options)
        self.restart_rule = restart_rule or RestartRule()
        self._services: dict[str, Service] = {}
        self._runners: dict[str, asyncio.Task[None]] = {}
        self._subscribers: dict[type, list[str]] = {}
        self._failures: dict[str, list[float]] = {}
        self._fatal: asyncio.Event = asyncio.Event()

    def register(self, *services: Service) -> None:
        """Add services. Raises ValueError for a name that is taken."""
        for service in services:
            if service.name in self._services:
                raise ValueError(f"service {service.name} is registered already")
            self._services[service.name] = service

    def names(self) -> Iterable[str]:
        """Return the names of the registered services."""
        return self._services.keys()

    def has(self, name: str) -> bool:
        """Whether a service of this name is registered."""
        return name in self._services

    def subscribe(self, message_type: type, name: str) -> None:
        """Let every published message of exactly this type reach the service's mailbox."""
        self._subscribers.setdefault(message_type, []).append(name)

    def publish(self, message: Any) -> None:
        """Post an immutable message to each subscriber. Raises MailboxFullError."""
        for name in self._subscribers.get(type(message), ()):
            self.post(name, message)

    def post(self, name: str, message: Any) -> None:
        """Send without an answer. Raises KeyError (no such service), MailboxFullError."""
        self._services[name].mailbox.put(Envelope(message, None))

    async def call(self, name: str, message: Any, timeout: float | None = None) -> Any:
        """Send and wait for the answer (`timeout` seconds; None: for ever).

        Raises KeyError (no such service), MailboxFullError, TimeoutError.
        """
        reply = asyncio.get_running_loop().create_future()
        self._services[name].mailbox.put(Envelope(message, reply))
        async with asyncio.timeout(timeout):
            return await reply

    async def start(self) -> None:
        """Start every service in the order of registration, then serve until stopped."""
        for service in self._services.values():
            await service.start()
            self._run(service)

    async def wait_failed(self) -> None:
        """Return when a service has failed more often than the rule allows."""
        await self._fatal.wait()

    async def drain(self) -> None:
        """Ask every service, last registered first, to prepare a planned stop."""
        for service in reversed(list(self._services.values())):
            await service.drain()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop every service, last registered first."""
        for service in reversed(list(self._services.values())):
            runner = self._runners.pop(service.name, None)
            if runner is not None:
                runner.cancel()
                await asyncio.gather(runner, return_exceptions=True)
            await service.cancel_children()
            await service.stop()

    def report_failure(self, name: str, error: BaseException | None) -> None:
        """Record a service's failure and restart it by the rule, or end the node."""
        logger.error("service %s failed", name, exc_info=error)
        now = asyncio.get_running_loop().time()
        recent = [at for at in self._failures.get(name, []) if now - at < self.restart_rule.window]
        recent.append(now)
        self._failures[name] = recent
        if len(recent) > self.restart_rule.limit:
            self._fatal.set()
            return
        runner = self._runners.pop(name, None)
        if runner is not None:
            runner.cancel()
        service = self._services[name]
        self._runners[name] = asyncio.get_running_loop().create_task(self._restart(service))

    async def _restart(self, service: Service) -> None:
        try:
            await service.cancel_children()
            await service.stop()
            await service.start()
        except Exception as error:
            self.report_failure(service.name, error)
            return
        self._run(service)

    def _run(self, service: Service) -> None:
        task = asyncio.get_running_loop().create_task(service.run())
        self._runners[service.name] = task
        task.add_done_callback(lambda done: self._runner_done(service.name, done))

    def _runner_done(self, name: str, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.report_failure(name, task.exception())
