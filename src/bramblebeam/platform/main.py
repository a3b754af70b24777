"""Runs a node on the users' platform from its start to its planned stop."""

from __future__ import annotations

import asyncio
import logging
import signal

import uvloop

from bramblebeam.events import log_event
from bramblebeam.events.bounded import configure_bounded_logging
from bramblebeam.events.catalogue import (
    NODE_STARTED,
    NODE_STOPPED,
    NODE_STOPPING,
    SETTINGS_RELOADED,
    START_FAILED,
)
from bramblebeam.events.formatting import JsonFormatter
from bramblebeam.kernel import Kernel
from bramblebeam.platform.node import build_node
from bramblebeam.platform.settings import PlatformNodeSettings, SettingsError, load_settings

logger = logging.getLogger(__name__)

DRAIN_SHARE = 0.85
"""The part of the time between the signals to stop and to end that the node uses."""

EXIT_STOPPED = 0
EXIT_BAD_SETTINGS = 2
EXIT_SERVICE_FAILED = 3
EXIT_START_FAILED = 4


def main() -> int:
    """Run a node until it is told to stop; return the process's exit code."""
    configure_bounded_logging("info", JsonFormatter())
    try:
        settings = load_settings()
    except SettingsError as error:
        log_event(logger, START_FAILED, node="?", error=str(error))
        return EXIT_BAD_SETTINGS
    code: int = uvloop.run(_run(settings))
    return code


async def _run(settings: PlatformNodeSettings) -> int:
    stop_asked = _watch_signals(settings)
    node = build_node(settings)
    try:
        await node.start()
    except OSError as error:
        log_event(logger, START_FAILED, node=settings.node, error=str(error))
        return EXIT_START_FAILED
    log_event(logger, NODE_STARTED, node=settings.node, zone=settings.zone)
    reports = asyncio.ensure_future(node.store_calls.report_regularly())
    try:
        return await _serve(node.kernel, settings, stop_asked)
    finally:
        reports.cancel()
        node.store_calls.report()


def _watch_signals(settings: PlatformNodeSettings) -> asyncio.Event:
    """Return the event of a wish to stop. From the start on, as a signal ends a process else."""
    loop = asyncio.get_running_loop()
    stop_asked = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_asked.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, settings)
    return stop_asked


async def _serve(kernel: Kernel, settings: PlatformNodeSettings, stop_asked: asyncio.Event) -> int:
    failed = asyncio.ensure_future(kernel.wait_failed())
    asked = asyncio.ensure_future(stop_asked.wait())
    await asyncio.wait((failed, asked), return_when=asyncio.FIRST_COMPLETED)
    if failed.done():
        return EXIT_SERVICE_FAILED
    bound = settings.grace * DRAIN_SHARE
    log_event(logger, NODE_STOPPING, node=settings.node, bound_seconds=bound)
    try:
        async with asyncio.timeout(bound):
            await kernel.drain()
    except TimeoutError:
        pass
    await kernel.stop()
    log_event(logger, NODE_STOPPED, node=settings.node)
    return EXIT_STOPPED


def _reload(settings: PlatformNodeSettings) -> None:
    """Read the settings again. Nothing in them can change while a process runs but its bounds."""
    try:
        changed = load_settings() != settings
    except SettingsError as error:
        log_event(logger, SETTINGS_RELOADED, node=settings.node, changed=False, error=str(error))
        return
    log_event(logger, SETTINGS_RELOADED, node=settings.node, changed=changed, error="")
