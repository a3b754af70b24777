"""A node as a process of its own: started, stopped, paused and killed by its id alone."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import sysconfig
from pathlib import Path
from typing import Any, NamedTuple

from soak.detoured_node import DETOURS_VARIABLE

LAUNCHER = Path(__file__).parent / "detoured_node.py"
RESTART_SECONDS = 0.1
"""The platform starts a process again after a short delay."""
GRACE_SECONDS = 3.0
"""Between the signal to stop and the kill; the settings' grace_period_s."""


class Ending(NamedTuple):
    """How a process ended. `asked`: the signal that it had been sent, 0 for none."""

    code: int
    asked: int

    @property
    def as_asked(self) -> bool:
        """Whether the process ended as it was told to."""
        if self.asked == signal.SIGTERM:
            # The signal may come before the program could say what it does about it.
            return self.code in (0, -signal.SIGTERM)
        return self.asked == signal.SIGKILL


class NodeProcess:
    """One node. `folder`: where its settings and its log lie."""

    def __init__(self, folder: Path, name: str, settings: dict[str, Any]) -> None:
        self.name = name
        self.settings = settings
        self.detours: dict[str, str] = {}
        self.endings: list[Ending] = []
        self.lives = 0
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._asked = 0
        self._watch: asyncio.Task[None] | None = None
        self._changing = asyncio.Lock()

    @property
    def log(self) -> Path:
        """Return the file that holds what all lives of the node wrote."""
        return self._folder / f"{self.name}.log"

    @property
    def running(self) -> bool:
        """Whether a process is there, perhaps a paused one."""
        return self._process is not None and self._process.returncode is None

    @property
    def ended_by_itself(self) -> bool:
        """Whether the last life ended unasked."""
        return bool(self.endings) and not self.endings[-1].asked

    async def start(self) -> None:
        """Start the process, unless it runs."""
        async with self._changing:
            if self.running:
                return
            self.write_settings()
            detours = self._folder / f"{self.name}.detours.json"
            detours.write_text(json.dumps(self.detours))
            self._asked = 0
            self.lives += 1
            self._process = await self._spawn(detours)
            self._watch = asyncio.ensure_future(self._note_end(self._process))

    def write_settings(self) -> None:
        """Write the settings file, whole at any moment."""
        path = self._folder / f"{self.name}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(self.settings))
        new.replace(path)

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if there is a process."""
        if self._process is None or self._process.returncode is not None:
            return
        if number is signal.SIGHUP and not self._minds(number):
            # The interpreter itself starts, and no program can answer for that.
            return
        # One that was killed stays killed, whatever a fault beside that sends it later.
        if number == signal.SIGKILL or (number == signal.SIGTERM and not self._asked):
            self._asked = number
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    def _minds(self, number: signal.Signals) -> bool:
        """Whether the process has said what it does about a signal."""
        assert self._process is not None
        try:
            lines = Path(f"/proc/{self._process.pid}/status").read_text().splitlines()
        except OSError:
            return False
        masks = [int(line.split()[1], 16) for line in lines if line[:7] in ("SigIgn:", "SigCgt:")]
        return any(mask >> (number - 1) & 1 for mask in masks)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        await self._ended()

    async def stop(self) -> None:
        """Stop as planned; kill what is still there after the grace period."""
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                await self._ended()
        except TimeoutError:
            await self.kill()

    async def restart(self) -> None:
        """Start again after a short delay."""
        await asyncio.sleep(RESTART_SECONDS)
        await self.start()

    async def _ended(self) -> None:
        if self._watch is not None:
            await asyncio.shield(self._watch)

    async def _note_end(self, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        self.endings.append(Ending(code, self._asked))

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
