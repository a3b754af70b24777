"""Starts the processes of a run, sends them signals as faults, and always ends them.

Only the lab starts processes; a node never does. Each process is a child of this one and is
signalled by its own id. `process_group` ends them all on exit, also after an error.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

START_TIMEOUT_SECONDS = 20.0
STOP_TIMEOUT_SECONDS = 15.0


class ProcessStartError(Exception):
    """A process exited or timed out before it was ready. The text has its last log lines."""


@dataclass(slots=True)
class LabProcess:
    """A child process. `ready` is the parsed ready line that it printed after its start."""

    name: str
    arguments: tuple[str, ...]
    log: Path
    process: asyncio.subprocess.Process
    ready: dict[str, Any] = field(default_factory=dict)
    output: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.process.pid

    @property
    def running(self) -> bool:
        """Whether the process is still running."""
        return self.process.returncode is None

    def address(self, key: str) -> tuple[str, int]:
        """Return an address from the process's ready line. Raises KeyError."""
        host, port = self.ready[key]
        return str(host), int(port)

    def kill(self) -> None:
        """Kill the process immediately (SIGKILL)."""
        self._signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Request a planned stop (SIGTERM)."""
        self._signal(signal.SIGTERM)

    def pause(self) -> None:
        """Suspend the process (SIGSTOP) until `resume`."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process (SIGCONT)."""
        self._signal(signal.SIGCONT)

    async def wait(self) -> int:
        """Wait for the process to exit; return the exit code (negative: the signal number)."""
        return await self.process.wait()

    def log_tail(self, lines: int = 12) -> str:
        """Return the last lines of the log."""
        try:
            return "\n".join(self.log.read_text(errors="replace").splitlines()[-lines:])
        except OSError:
            return ""

    def _signal(self, number: signal.Signals) -> None:
        if self.running:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)


class ProcessGroup:
    """The processes of one run. Their logs are in `directory`."""

    def __init__(self, directory: Path) -> None:
        self.directory = directory
        self.processes: list[LabProcess] = []

    async def start(
        self, name: str, arguments: Sequence[str], timeout: float = START_TIMEOUT_SECONDS
    ) -> LabProcess:
        """Start `python ARGUMENTS…` and wait for its ready line. Raises ProcessStartError."""
        log = self.directory / f"{name}.log"
        with log.open("ab") as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        started = LabProcess(name, tuple(arguments), log, process)
        self.processes.append(started)
        try:
            async with asyncio.timeout(timeout):
                started.ready = await _read_ready_line(started)
        except TimeoutError as error:
            raise ProcessStartError(
                f"{name} was not ready in time: {started.log_tail()}"
            ) from error
        started.output = asyncio.create_task(_discard(process))
        return started

    async def restart(self, ended: LabProcess) -> LabProcess:
        """Wait for a process to exit and start it again with the same arguments."""
        await ended.wait()
        return await self.start(ended.name, ended.arguments)

    async def stop(self) -> None:
        """Terminate all processes, and kill them if any does not exit in time."""
        for process in self.processes:
            process.resume()
            process.terminate()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
                await asyncio.gather(*(process.wait() for process in self.processes))
        except TimeoutError:
            self.kill_all()
            await asyncio.gather(*(process.wait() for process in self.processes))
        for process in self.processes:
            if process.output is not None:
                await process.output

    def kill_all(self) -> None:
        """Kill all processes that are still running."""
        for process in self.processes:
            process.kill()


@contextlib.asynccontextmanager
async def process_group(directory: Path) -> AsyncIterator[ProcessGroup]:
    """Yield a process group; end all its processes on exit."""
    group = ProcessGroup(directory)
    try:
        yield group
        await group.stop()
    finally:
        group.kill_all()
        await asyncio.gather(*(process.wait() for process in group.processes))


async def _read_ready_line(started: LabProcess) -> dict[str, Any]:
    assert started.process.stdout is not None
    line = await started.process.stdout.readline()
    if not line:
        code = await started.wait()
        raise ProcessStartError(f"{started.name} ended with {code}: {started.log_tail()}")
    return parse_ready_line(line.decode())


def parse_ready_line(line: str) -> dict[str, Any]:
    """Parse a ready line: a JSON object, or `HOST:PORT`, returned under the key `listen`."""
    text = line.strip()
    if text.startswith("{"):
        parsed: dict[str, Any] = json.loads(text)
        return parsed
    host, _, port = text.rpartition(":")
    return {"listen": [host, int(port)]}


async def _discard(process: asyncio.subprocess.Process) -> None:
    assert process.stdout is not None
    while await process.stdout.read(65_536):
        pass
