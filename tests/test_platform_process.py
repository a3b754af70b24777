"""Tests of a node as a process with a settings file, as the users' platform runs it."""

import asyncio
import contextlib
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest

from bramblebeam.report.counting.build import build_report
from platform_standins.world import (
    WAIT_TIMEOUT,
    LineClient,
    World,
    node_settings,
    registration,
    running_world,
    until,
)

PROGRAM = Path(__file__).parent.parent / "src" / "platform_node.py"


def write_settings(path: Path, settings: Any) -> None:
    path.write_text(settings if isinstance(settings, str) else json.dumps(settings))


@contextlib.asynccontextmanager
async def process(path: Path, settings: Any) -> AsyncIterator[asyncio.subprocess.Process]:
    write_settings(path, settings)
    environment = {**os.environ, "BRAMBLEBEAM_NODE_FILE": str(path)}
    started = await asyncio.create_subprocess_exec(
        sys.executable, str(PROGRAM), env=environment, stdout=asyncio.subprocess.PIPE
    )
    try:
        yield started
    finally:
        with contextlib.suppress(ProcessLookupError):
            started.kill()
        await started.wait()


async def fields_of(started: asyncio.subprocess.Process, event: int) -> dict[str, Any]:
    """Return the fields of the next log line with this event number."""
    assert started.stdout is not None
    while True:
        line = json.loads(await started.stdout.readline())
        if line.get("event") == event:
            fields: dict[str, Any] = line["fields"]
            return fields


async def connected(world: World, port: int) -> LineClient:
    while True:
        client = await LineClient.connect(port)
        if (await client.start("session")).state == "I":
            return client
        client.close()


async def test_planned_stop_finishes_open_transactions_and_exits_with_0(tmp_path: Path) -> None:
    async with running_world(nodes=0) as world:
        settings = node_settings("node-p", world.platform.port)
        async with process(tmp_path / "node.json", settings) as started:
            port = (await fields_of(started, 1101))["port"]
            client = await connected(world, port)
            idle = await connected(world, port)
            assert (await client.run("BEGIN")).state == "T"
            assert (await client.run("WRITE parcel 1")).code == ""
            started.send_signal(signal.SIGTERM)
            await fields_of(started, 1102)
            assert await idle.reader.read() == b""
            assert (await client.run("COMMIT")).code == ""
            assert await started.wait() == 0
            assert world.group.primary.read("parcel") == "1"


# A node kept to the grace period of its start, and was killed with a statement unanswered.
async def test_a_stop_keeps_to_the_grace_period_in_force_and_gives_a_verdict(
    tmp_path: Path,
) -> None:
    async with running_world(nodes=0) as world:
        settings = node_settings("node-p", world.platform.port)
        path = tmp_path / "node.json"
        async with process(path, {**settings, "bounds": {"grace_period_s": 120}}) as started:
            client = await connected(world, (await fields_of(started, 1101))["port"])
            assert (await client.run("WRITE letter 1")).code == ""
            world.group.primary.withhold_answers()
            write_settings(path, settings)
            running = asyncio.ensure_future(client.run("WRITE parcel 1"))
            await until(lambda: world.group.primary.read("parcel") == "1")
            started.send_signal(signal.SIGTERM)
            assert (await running).code == "INDOUBT"
            assert await started.wait() == 0


async def test_sighup_rereads_the_settings(tmp_path: Path) -> None:
    async with running_world(nodes=0) as world:
        settings = node_settings("node-p", world.platform.port)
        path = tmp_path / "node.json"
        async with process(path, settings) as started:
            await fields_of(started, 1001)
            write_settings(path, {**settings, "region": "other"})
            started.send_signal(signal.SIGHUP)
            assert (await fields_of(started, 1011))["changed"] is True
            write_settings(path, "{")
            started.send_signal(signal.SIGHUP)
            assert (await fields_of(started, 1011))["error"] != ""


ODD = {
    "deep": {"unknown": "<deep lists>"},
    "digits": {"sequence": "<long integer>"},
    "capacity": {"capacity": "<400 digits>"},
    "host": {"address": "a..b:80"},
    "port": {"address": "127.0.0.1:99999"},
}


async def test_odd_entries_of_another_writer_end_no_process(tmp_path: Path) -> None:
    """A process ended by itself (exit 3), or never became ready, beside one odd entry."""
    async with running_world(nodes=0) as world:
        valid = registration(world.group, "db-b", "ready")
        for name, change in ODD.items():
            world.platform.put("servers", f"early-{name}", {**valid, **change})
            world.platform.put("config", f"early-{name}", change)
        settings = node_settings("node-p", world.platform.port)
        async with (
            process(tmp_path / "node.json", settings) as started,
            asyncio.timeout(WAIT_TIMEOUT),
        ):
            client = await connected(world, (await fields_of(started, 1101))["port"])
            assert (await client.run("WRITE parcel 1")).code == ""
            for name, change in ODD.items():
                world.platform.put("servers", f"late-{name}", {**valid, **change})
                world.platform.put("config", f"late-{name}", change)
                assert (await client.run("READ parcel")).rows == ["1"]
            world.configure(2, session={"route_type": "primary"})
            while (await fields_of(started, 1510))["version"] != 2:
                pass
            assert (await client.run("WRITE parcel 2")).code == ""
            started.send_signal(signal.SIGTERM)
            assert await started.wait() == 0


SIGNAL_AT_IMPORT = """
import os, runpy, signal, sys

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name.startswith("bramblebeam"):
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
runpy.run_path(sys.argv[1], run_name="__main__")
"""


async def test_sighup_during_startup_does_not_end_the_process(tmp_path: Path) -> None:
    """A SIGHUP during startup ended the process (found by the process soak, seeds 4 and 6)."""
    environment = {**os.environ, "BRAMBLEBEAM_NODE_FILE": str(tmp_path / "none.json")}
    command = (sys.executable, "-c", SIGNAL_AT_IMPORT, str(PROGRAM))
    started = await asyncio.create_subprocess_exec(
        *command, env=environment, stdout=asyncio.subprocess.DEVNULL
    )
    # Exit code 2: it survived the signals and found no settings file.
    assert await started.wait() == 2


@pytest.mark.parametrize("settings", ["{", "[]", {"node_name": "n"}])
async def test_invalid_settings_end_the_process_with_a_log_line(
    tmp_path: Path, settings: Any
) -> None:
    async with process(tmp_path / "node.json", settings) as started:
        assert (await fields_of(started, 1010))["error"] != ""
        assert await started.wait() == 2


async def log_of_a_run(world: World, path: Path, stop: signal.Signals) -> str:
    """Return the log of a node that serves a write, becomes ready and is then stopped."""
    settings = node_settings("node-p", world.platform.port)
    async with process(path, settings) as started:
        assert started.stdout is not None
        lines = [await started.stdout.readline()]
        port = json.loads(lines[0])["fields"]["port"]
        client = await connected(world, port)
        assert (await client.run("WRITE parcel 1")).code == ""
        while json.loads(lines[-1]).get("fields") != {"ready": True}:
            lines.append(await started.stdout.readline())
        started.send_signal(stop)
        return (b"".join(lines) + await started.stdout.read()).decode()


@pytest.mark.parametrize(
    ("stop", "unplanned"), [(signal.SIGTERM, 0), (signal.SIGKILL, 1)], ids=["planned", "killed"]
)
async def test_report_counts_the_starts_of_a_node(
    stop: signal.Signals, unplanned: int, tmp_path: Path
) -> None:
    async with running_world(nodes=0) as world:
        logs = [await log_of_a_run(world, tmp_path / "node.json", stop) for _ in range(2)]
    file = tmp_path / "node-p.log"
    file.write_text("".join(logs))
    found = build_report([file], [])
    assert [(one.node, one.starts, one.unplanned) for one in found.restarted] == [
        ("node-p", 2, unplanned)
    ]
    for start in found.starts:
        assert None not in (start.accepting_seconds, start.ready_seconds, start.leader_seconds)
    assert not found.passed_over
