"""Runs a node on the users' platform, from its start to its planned stop."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal

import uvloop

from bramblebeam.core.gateway.stopping import DRAIN_SHARE
from bramblebeam.events import log_event
from bramblebeam.events.bounded import configure_bounded_logging
from bramblebeam.events.catalogue import (
    DRAIN_TIMEOUT,
    NODE_STARTED,
    NODE_STOPPED,
    NODE_STOPPING,
    SETTINGS_RELOADED,
    START_FAILED,
)
from bramblebeam.events.formatting import JsonFormatter
from bramblebeam.platform.node import PlatformNode, build_node
from bramblebeam.platform.settings import PlatformNodeSettings, SettingsError, load_settings
from bramblebeam.services.waiting import loop_time

logger = logging.getLogger(__name__)

FAILED_STOP_SECONDS = 1.0
"""How long a node with a failed service may take for the last verdicts to its callers."""

EXIT_STOPPED = 0
EXIT_BAD_SETTINGS = 2
EXIT_SERVICE_FAILED = 3
EXIT_START_FAILED = 4


class StopRequest:
    """The first signal to stop. `at`: monotonic clock, seconds.

    The grace period runs from the signal on, also while the node still starts.
    """

    def __init__(self) -> None:
        self.event = asyncio.Event()
        self.at = float("-inf")

    def record(self) -> None:
        """Record a signal; a further one changes nothing."""
        if not self.event.is_set():
            self.at = loop_time()
            self.event.set()


def main() -> int:
    """Run a node until it is signalled to stop; return the process's exit code."""
    configure_bounded_logging("info", JsonFormatter())
    try:
        settings = load_settings()
    except SettingsError as error:
        log_event(logger, START_FAILED, node="?", error=str(error))
        return EXIT_BAD_SETTINGS
    code: int = uvloop.run(_run(settings))
    return code


async def _run(settings: PlatformNodeSettings) -> int:
    stop_requested = _install_signal_handlers(settings)
    node = build_node(settings)
    try:
        await node.start()
    except OSError as error:
        log_event(logger, START_FAILED, node=settings.node, error=str(error))
        return EXIT_START_FAILED
    log_event(logger, NODE_STARTED, node=settings.node, zone=settings.zone)
    report_task = asyncio.ensure_future(node.store_calls.report_periodically())
    try:
        return await _run_until_stopped(node, settings, stop_requested)
    finally:
        report_task.cancel()
        node.store_calls.report()


def _install_signal_handlers(settings: PlatformNodeSettings) -> StopRequest:
    """Install the signal handlers; return the request that a signal to stop records.

    Called before the node is built, since an unhandled signal ends the process.
    """
    loop = asyncio.get_running_loop()
    stop_requested = StopRequest()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.record)
    loop.add_signal_handler(signal.SIGHUP, _reload_settings, settings)
    return stop_requested


async def _run_until_stopped(
    node: PlatformNode, settings: PlatformNodeSettings, stop_requested: StopRequest
) -> int:
    kernel = node.kernel
    failed = asyncio.ensure_future(kernel.wait_failed())
    stopping = asyncio.ensure_future(stop_requested.event.wait())
    await asyncio.wait((failed, stopping), return_when=asyncio.FIRST_COMPLETED)
    if failed.done():
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FAILED_STOP_SECONDS):
                await kernel.stop()
        return EXIT_SERVICE_FAILED
    node.gateway.grace_period = _grace_period(settings)
    node.gateway.stop_requested_at = stop_requested.at
    passed = loop_time() - stop_requested.at
    drain_seconds = max(0.0, node.gateway.grace_period * DRAIN_SHARE - passed)
    log_event(logger, NODE_STOPPING, node=settings.node, bound_seconds=drain_seconds)
    try:
        async with asyncio.timeout(drain_seconds):
            await kernel.drain()
    except TimeoutError:
        log_event(logger, DRAIN_TIMEOUT, node=settings.node, bound_seconds=drain_seconds)
    await kernel.stop()
    log_event(logger, NODE_STOPPED, node=settings.node)
    return EXIT_STOPPED


def _grace_period(settings: PlatformNodeSettings) -> float:
    """Return the grace period in force now (seconds): the file may have changed since the start."""
    try:
        return load_settings().grace_period
    except SettingsError as error:
        log_event(logger, SETTINGS_RELOADED, node=settings.node, changed=False, error=str(error))
        return settings.grace_period


def _reload_settings(settings: PlatformNodeSettings) -> None:
    """Read the settings again and log whether they changed; the running node keeps its own.

    Only the bounds can change while a process runs. The grace period is read again at the stop.
    """
    try:
        changed = load_settings() != settings
    except SettingsError as error:
        log_event(logger, SETTINGS_RELOADED, node=settings.node, changed=False, error=str(error))
        return
    log_event(logger, SETTINGS_RELOADED, node=settings.node, changed=changed, error="")
