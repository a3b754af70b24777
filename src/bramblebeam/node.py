"""Runs one node: the kernel with its services, from start to planned stop."""

import asyncio
import json
import logging
import os
import signal
from collections.abc import Callable
from enum import IntEnum
from importlib import import_module

from aiomisc import Service as AiomiscService
from aiomisc import entrypoint
from aiomisc.entrypoint import Entrypoint

from bramblebeam.core.identity import Address
from bramblebeam.events.catalogue import (
    DRAIN_TIMEOUT,
    NODE_STARTED,
    NODE_STOPPED,
    NODE_STOPPING,
    START_FAILED,
)
from bramblebeam.events.log import log_event
from bramblebeam.kernel import Kernel, Service
from bramblebeam.kernel.messages import BoundAddressRequest
from bramblebeam.settings.model import NodeSettings

logger = logging.getLogger(__name__)

SERVICE_ORDER = ("transport", "edge", "admin", "pool", "group", "configuration", "membership")
"""Start order. Listening services come first, because membership announces their addresses."""

LISTENING_SERVICES = {"peer": "transport", "client": "edge", "admin": "admin"}

SHUTDOWN_SECONDS = 10.0


class ExitCode(IntEnum):
    """Exit codes of a node's process."""

    STOPPED = 0
    BAD_SETTINGS = 2
    SERVICE_FAILED = 3
    START_FAILED = 4


def build_kernel(settings: NodeSettings) -> Kernel:
    """Return a kernel with every service of a node registered but not started.

    Must be called on the event loop that the node runs on.
    """
    kernel = Kernel()
    for name in SERVICE_ORDER:
        kernel.register(_service_class(name)(kernel, settings))
    return kernel


def _service_class(name: str) -> Callable[[Kernel, NodeSettings], Service]:
    module = import_module(f"bramblebeam.services.{name}.service")
    service_class: Callable[[Kernel, NodeSettings], Service] = getattr(
        module, f"{name.title()}Service"
    )
    return service_class


class KernelService(AiomiscService):  # type: ignore[misc]
    """Lets aiomisc start and stop the kernel, which does not depend on aiomisc."""

    def __init__(self, kernel: Kernel) -> None:
        super().__init__()
        self._kernel = kernel

    async def start(self) -> None:
        """Start every service of the kernel."""
        await self._kernel.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop every service of the kernel."""
        await self._kernel.stop()


def run_node(settings: NodeSettings) -> ExitCode:
    """Run a node on uvloop until SIGTERM or SIGINT, or until a service fails too often."""
    process = entrypoint(log_config=False, catch_signals=(), shutdown_timeout=SHUTDOWN_SECONDS)
    with process as loop:
        code: ExitCode = loop.run_until_complete(_run(process, settings))
    return code


async def _run(process: Entrypoint, settings: NodeSettings) -> ExitCode:
    stop_requested = install_signal_handlers()
    kernel = build_kernel(settings)
    try:
        await process.start_services(KernelService(kernel))
    except OSError as error:
        log_event(logger, START_FAILED, node=settings.node, error=str(error))
        return ExitCode.START_FAILED
    return await serve(kernel, settings, stop_requested)


def install_signal_handlers() -> asyncio.Event:
    """Install the handlers; return the event that a signal to stop sets, once or again.

    Called before the node is built: an unhandled signal ends the process, which may listen by then.
    """
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    return stop_requested


async def serve(kernel: Kernel, settings: NodeSettings, stop_requested: asyncio.Event) -> ExitCode:
    """Print the ready message of a started kernel, then wait for a stop signal or a failure."""
    log_event(logger, NODE_STARTED, node=settings.node, zone=settings.zone)
    print(json.dumps(await ready_message(kernel, settings)), flush=True)
    failed = asyncio.ensure_future(kernel.wait_failed())
    stopped = asyncio.ensure_future(stop_requested.wait())
    await asyncio.wait((failed, stopped), return_when=asyncio.FIRST_COMPLETED)
    if failed.done():
        return ExitCode.SERVICE_FAILED
    await drain(kernel, settings)
    log_event(logger, NODE_STOPPED, node=settings.node)
    return ExitCode.STOPPED


async def drain(kernel: Kernel, settings: NodeSettings) -> None:
    """Let every service finish its work in flight, for at most `settings.drain_seconds`."""
    bound = settings.drain_seconds
    log_event(logger, NODE_STOPPING, node=settings.node, bound_seconds=bound)
    try:
        async with asyncio.timeout(bound):
            await kernel.drain()
    except TimeoutError:
        log_event(logger, DRAIN_TIMEOUT, node=settings.node, bound_seconds=bound)


async def ready_message(kernel: Kernel, settings: NodeSettings) -> dict[str, object]:
    """Return the message that a started node prints: its names and bound addresses."""
    message: dict[str, object] = {
        "event": "ready",
        "node": settings.node,
        "zone": settings.zone,
        "pid": os.getpid(),
    }
    for key, service in LISTENING_SERVICES.items():
        if kernel.has(service):
            address: Address = await kernel.call(service, BoundAddressRequest(), timeout=5.0)
            message[key] = list(address)
    return message
