"""A node that runs as a process of its own, controlled by signals to its process id."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import sysconfig
import time
from pathlib import Path
from typing import Any, NamedTuple

from soak.detoured_node import DETOURS_VARIABLE

LAUNCHER = Path(__file__).parent / "detoured_node.py"
"""Script that runs the node program behind the soak's proxies."""
RESTART_SECONDS = 0.1
"""Delay before a restart (seconds), as the platform has one."""
GRACE_SECONDS = 3.0
"""Time between SIGTERM and SIGKILL (seconds); also the setting grace_period_s."""


class ProcessExit(NamedTuple):
    """Exit of a process. `requested`: SIGTERM or SIGKILL if it was sent, else 0."""

    code: int
    requested: int

    @property
    def as_requested(self) -> bool:
        """Whether the exit code fits the signal that was sent."""
        if self.requested == signal.SIGTERM:
            # The signal may arrive before the program has installed its handler.
            return self.code in (0, -signal.SIGTERM)
        return self.requested == signal.SIGKILL


class StopRecord(NamedTuple):
    """First SIGTERM to a process. `start_number`: number of the process, from 1 on.

    `time`: monotonic clock, seconds.
    """

    start_number: int
    time: float


class NodeProcess:
    """The process of one node, across restarts. `folder`: holds its settings and its log."""

    def __init__(self, folder: Path, name: str, settings: dict[str, Any]) -> None:
        self.name = name
        self.settings = settings
        self.detours: dict[str, str] = {}
        self.exits: list[ProcessExit] = []
        self.stops: list[StopRecord] = []
        self.start_count = 0
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._handle: int | None = None
        self._requested = 0
        self._exit_task: asyncio.Task[None] | None = None
        self._start_lock = asyncio.Lock()

    @property
    def log(self) -> Path:
        """Return the path of the log, which all processes of the node append to."""
        return self._folder / f"{self.name}.log"

    @property
    def running(self) -> bool:
        """Whether the process exists; it may be paused."""
        return self._process is not None and self._process.returncode is None

    @property
    def exited_unrequested(self) -> bool:
        """Whether the last process exited without a request."""
        return bool(self.exits) and not self.exits[-1].requested

    async def start(self) -> None:
        """Start the process unless it is running."""
        async with self._start_lock:
            if self.running:
                return
            self.write_settings()
            detours = self._folder / f"{self.name}.detours.json"
            detours.write_text(json.dumps(self.detours))
            self._requested = 0
            self.start_count += 1
            self._process = await self._spawn(detours)
            self._handle = os.pidfd_open(self._process.pid)
            self._exit_task = asyncio.ensure_future(self._record_exit(self._process))

    def write_settings(self) -> None:
        """Replace the settings file atomically."""
        path = self._folder / f"{self.name}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self.settings))
        new.replace(path)

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is running.

        SIGHUP is dropped while the program has not installed a handler for it.
        """
        if self._process is None or self._process.returncode is not None:
            return
        if number is signal.SIGHUP and not self._has_disposition(number):
            # The interpreter is still starting: the default action of SIGHUP would end it.
            return
        # After SIGKILL, a SIGTERM from a concurrent fault does not change the expected exit.
        if number == signal.SIGKILL or (number == signal.SIGTERM and not self._requested):
            if number == signal.SIGTERM:
                self.stops.append(StopRecord(self.start_count, time.monotonic()))
            self._requested = number
        # `Process.send_signal` polls the process first. If it has just ended, the poll takes its
        # exit code away from the event loop, which then reports 255.
        with contextlib.suppress(ProcessLookupError):
            if self._handle is not None:
                signal.pidfd_send_signal(self._handle, number)

    def _has_disposition(self, number: signal.Signals) -> bool:
        """Whether the process ignores or handles a signal (SigIgn and SigCgt of /proc)."""
        assert self._process is not None
        try:
            lines = Path(f"/proc/{self._process.pid}/status").read_text().splitlines()
        except OSError:
            return False
        masks = [int(line.split()[1], 16) for line in lines if line[:7] in ("SigIgn:", "SigCgt:")]
        return any(mask >> (number - 1) & 1 for mask in masks)

    async def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send(signal.SIGKILL)
        await self._wait_for_exit()

    async def stop(self) -> None:
        """Stop with SIGTERM, and with SIGKILL after the grace period."""
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                await self._wait_for_exit()
        except TimeoutError:
            await self.kill()

    async def restart(self) -> None:
        """Start the process after RESTART_SECONDS."""
        await asyncio.sleep(RESTART_SECONDS)
        await self.start()

    async def _wait_for_exit(self) -> None:
        if self._exit_task is not None:
            await asyncio.shield(self._exit_task)

    async def _record_exit(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        if self._handle is not None:
            os.close(self._handle)
            self._handle = None
        self.exits.append(ProcessExit(code, self._requested))

    async def _spawn(self, detours: Path) -> asyncio.subprocess.Process:
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": sysconfig.get_paths()["purelib"],
            "PYTHONDONTWRITEBYTECODE": "1",
            "BRAMBLEBEAM_NODE_FILE": str(self._folder / f"{self.name}.json"),
            DETOURS_VARIABLE: str(detours),
        }
        with self.log.open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable, "-S", str(LAUNCHER), env=environment, stdout=log, stderr=log
            )
