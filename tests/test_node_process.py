"""A node as a process: its ready line, its planned stop, its exit codes."""

import asyncio
import json
import os
import signal
import socket
from pathlib import Path

import pytest

from bramblebeam import node
from bramblebeam.core.identity import NodeId, ZoneId
from bramblebeam.kernel import Kernel, RestartRule, Service
from bramblebeam.lab.processes import ProcessStartError, process_group
from bramblebeam.node import ExitCode, KernelService, drain, install_signal_handlers, serve
from bramblebeam.settings import NodeSettings

PLACE = ("--node", "n1", "--zone", "z", "--region", "r", "--log-format", "json")
PROGRAM = ("-m", "bramblebeam", "node", *PLACE)


def event_numbers(log: Path) -> list[int]:
    return [json.loads(line)["event"] for line in log.read_text().splitlines()]


async def test_planned_stop_ends_with_code_0(tmp_path: Path) -> None:
    async with process_group(tmp_path) as group:
        started = await group.start("node", PROGRAM)
        assert started.ready["node"] == "n1"
        for key in ("peer", "client", "admin"):
            host, port = started.address(key)
            with socket.create_connection((host, port), timeout=5):
                pass
        started.terminate()
        assert await started.wait() == ExitCode.STOPPED
        numbers = event_numbers(started.log)
    assert numbers.index(1001) < numbers.index(1002) < numbers.index(1003)


async def test_address_in_use_ends_with_its_own_code(tmp_path: Path) -> None:
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = f"127.0.0.1:{taken.getsockname()[1]}"
        with pytest.raises(ProcessStartError, match="ended with 4"):
            async with process_group(tmp_path) as group:
                await group.start("node", [*PROGRAM, "--client", address])
    assert event_numbers(tmp_path / "node.log")[-1] == 1010


async def test_wrong_settings_end_with_their_own_code(tmp_path: Path) -> None:
    with pytest.raises(ProcessStartError, match=r"ended with 2: flags: client\.port"):
        async with process_group(tmp_path) as group:
            await group.start("node", [*PROGRAM, "--set", "client.port=-1"])


class FailingService(Service):
    """Fails in every run."""

    name = "failing"

    async def run(self) -> None:
        raise RuntimeError("provoked")


async def test_a_service_that_fails_too_often_ends_the_node() -> None:
    kernel = Kernel(RestartRule(limit=2, window=60.0))
    kernel.register(FailingService(kernel))
    await kernel.start()
    settings = NodeSettings(node=NodeId("n1"), zone=ZoneId("z"), region="r")
    assert await serve(kernel, settings, asyncio.Event()) == ExitCode.SERVICE_FAILED
    await kernel.stop()


class DrainingService(Service):
    """Needs a while for its work in flight."""

    name = "draining"
    drained = False

    async def drain(self) -> None:
        os.kill(os.getpid(), signal.SIGTERM)
        await asyncio.sleep(0.1)
        os.kill(os.getpid(), signal.SIGINT)
        await asyncio.sleep(0.1)
        self.drained = True


# Guards against work that is cut by a supervisor which repeats its signal.
async def test_a_repeated_stop_signal_shortens_no_drain() -> None:
    kernel = Kernel()
    service = DrainingService(kernel)
    kernel.register(service)
    await kernel.start()
    settings = NodeSettings(node=NodeId("n1"), zone=ZoneId("z"), region="r")
    asyncio.get_running_loop().call_later(0.05, os.kill, os.getpid(), signal.SIGTERM)
    serving = asyncio.create_task(serve(kernel, settings, install_signal_handlers()))
    assert await serving == ExitCode.STOPPED
    assert service.drained
    await kernel.stop()


class SignalledService(Service):
    """Gets a stop signal while it starts, when others listen already."""

    name = "signalled"

    async def start(self) -> None:
        if signal.getsignal(signal.SIGTERM) is signal.SIG_DFL:
            raise OSError("the signal would end the process")
        os.kill(os.getpid(), signal.SIGTERM)


class StartedProcess:
    """The part of aiomisc's entry point that a node uses."""

    async def start_services(self, service: KernelService) -> None:
        await service.start()


# Guards against connections that are cut without a drain: a node listens before all services run.
async def test_a_stop_signal_during_the_start_is_a_planned_stop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    kernel = Kernel()
    kernel.register(SignalledService(kernel))
    monkeypatch.setattr(node, "build_kernel", lambda _: kernel)
    settings = NodeSettings(node=NodeId("n1"), zone=ZoneId("z"), region="r")
    async with asyncio.timeout(10):
        assert await node._run(StartedProcess(), settings) == ExitCode.STOPPED
    await kernel.stop()


class SlowService(Service):
    """Never ends its work in flight."""

    name = "slow"

    async def drain(self) -> None:
        await asyncio.Event().wait()


async def test_a_planned_stop_is_bounded(caplog: pytest.LogCaptureFixture) -> None:
    kernel = Kernel()
    kernel.register(SlowService(kernel))
    settings = NodeSettings(node=NodeId("n1"), zone=ZoneId("z"), region="r", drain_seconds=0.05)
    await drain(kernel, settings)
    assert [record.event_number for record in caplog.records][-1] == 1009  # type: ignore[attr-defined]
