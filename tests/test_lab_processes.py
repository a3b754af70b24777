"""Process groups of the lab: ready lines, signals, cleanup and free ports."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from bramblebeam.lab.ports import free_port
from bramblebeam.lab.processes import ProcessStartError, parse_ready_line, process_group

SLEEPER = "import time; print('127.0.0.1:7', flush=True); time.sleep(60)"


def test_ready_lines_are_parsed() -> None:
    assert parse_ready_line('{"client": ["127.0.0.1", 3]}\n') == {"client": ["127.0.0.1", 3]}
    assert parse_ready_line("127.0.0.1:4\n") == {"listen": ["127.0.0.1", 4]}


async def test_processes_can_be_killed_and_paused_and_are_always_ended(tmp_path: Path) -> None:
    async with process_group(tmp_path) as group:
        first = await group.start("first", ["-c", SLEEPER])
        second = await group.start("second", ["-c", SLEEPER])
        assert first.address("listen") == ("127.0.0.1", 7)
        first.kill()
        assert await first.wait() == -signal.SIGKILL
        restarted = await group.restart(first)
        assert restarted.pid != first.pid
        second.pause()
    assert not any(process.running for process in group.processes)


async def test_processes_end_when_the_run_fails(tmp_path: Path) -> None:
    with pytest.raises(RuntimeError, match="run failed"):
        async with process_group(tmp_path) as group:
            started = await group.start("one", ["-c", SLEEPER])
            raise RuntimeError("run failed")
    with pytest.raises(ProcessLookupError):
        os.kill(started.pid, 0)


async def test_failed_start_is_reported_with_the_log(tmp_path: Path) -> None:
    with pytest.raises(ProcessStartError, match="no such thing"):
        async with process_group(tmp_path) as group:
            await group.start("broken", ["-c", "raise SystemExit('no such thing')"])


def test_concurrent_runs_get_distinct_ports() -> None:
    code = "from bramblebeam.lab.ports import free_port; import time; "
    code += "print(*[free_port() for _ in range(60)], flush=True); time.sleep(60)"
    own = {free_port() for _ in range(60)}
    with subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE, text=True) as other:
        assert other.stdout is not None
        others = set(map(int, other.stdout.readline().split()))
        other.kill()
    assert len(own) == len(others) == 60
    assert not own & others
