"""Simulated processes, with the same controls as real ones: start, kill, pause, resume, stop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from bramblebeam.core.identity import Address, InstanceId
from bramblebeam.lab.database.control import ControlServer, Faults
from bramblebeam.lab.database.member import DatabaseMember, MemberSettings
from bramblebeam.lab.platform.server import PlatformServer
from bramblebeam.lab.platform.store import ObjectName
from bramblebeam.lab.simulator.hosts import Host
from bramblebeam.lab.simulator.loop import VirtualLoop
from bramblebeam.lab.simulator.network import Network
from bramblebeam.node import build_kernel, drain
from bramblebeam.settings.model import NodeSettings

MYSQL_PORT = 3306
REPLICATION_PORT = 3307
PLATFORM_PORT = 8080


class SimulatedProcess:
    """A process on a host of its own."""

    def __init__(self, loop: VirtualLoop, network: Network, host: Host) -> None:
        self.host = host
        self._loop = loop
        self._network = network
        self._ended = asyncio.Event()

    def kill(self) -> None:
        """Kill the process and reset its connections."""
        self._network.kill(self.host)
        self._ended.set()

    def pause(self) -> None:
        """Suspend the process until `resume`."""
        self.host.paused = True

    def resume(self) -> None:
        """Resume a paused process."""
        self._loop.resume(self.host)

    async def wait(self) -> None:
        """Wait until the process has ended."""
        await self._ended.wait()

    async def start(self) -> None:
        """Start the process; return when it is up or has been killed."""
        await self._call(self.serve())

    async def serve(self) -> None:
        """Start the servers and services; runs in the host's context."""
        raise NotImplementedError

    async def _call(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine on the host until it finishes or the process ends."""
        task = self.host.spawn(work)
        ended = asyncio.ensure_future(self._ended.wait())
        await asyncio.wait((task, ended), return_when=asyncio.FIRST_COMPLETED)
        ended.cancel()
        if task.done():
            task.result()

    def call_soon(self, call: Callable[..., Any], *arguments: Any) -> None:
        """Schedule a call in the host's context."""
        self._loop.call_soon(call, *arguments, context=self.host.context.copy())


class SimulatedPlatform(SimulatedProcess):
    """The stand-in platform with its initial rows."""

    def __init__(self, loop: VirtualLoop, network: Network, host: Host, rows: list[Any]) -> None:
        super().__init__(loop, network, host)
        self.server = PlatformServer()
        for row in rows:
            self.server.store.create(ObjectName(row["kind"], row["name"]), row["spec"], {})

    async def serve(self) -> None:
        """Start listening."""
        await self.server.start(self.host.address, PLATFORM_PORT)


class SimulatedDatabase(SimulatedProcess):
    """One member of a stand-in database group. The file `log` persists across restarts."""

    def __init__(
        self, loop: VirtualLoop, network: Network, host: Host, instance: str, log: Path
    ) -> None:
        super().__init__(loop, network, host)
        address = host.address
        settings = MemberSettings(
            InstanceId(instance),
            Address(address, MYSQL_PORT),
            Address(address, REPLICATION_PORT),
            log,
        )
        self.member = DatabaseMember(settings)
        self._control = ControlServer(self.member, Address(address, 0))

    async def serve(self) -> None:
        """Start listening."""
        await self.member.start()

    def set_faults(self, **faults: Any) -> None:
        """Set the member's own faults, such as lag."""
        self.call_soon(self._control.apply, Faults(**faults))


class SimulatedNode(SimulatedProcess):
    """A node with every service of a real one."""

    def __init__(
        self, loop: VirtualLoop, network: Network, host: Host, settings: NodeSettings
    ) -> None:
        super().__init__(loop, network, host)
        self._settings = settings
        self._kernel = host.run(build_kernel, settings)

    async def serve(self) -> None:
        """Start the services. The process ends when one of them fails too often."""
        await self._kernel.start()
        self.host.spawn(self._end_on_failure())

    async def _end_on_failure(self) -> None:
        await self._kernel.wait_failed()
        self._network.call_after(0.0, self.kill)

    def terminate(self) -> None:
        """Start a planned stop: drain, then end the process."""
        self.host.spawn(self._stop())

    async def _stop(self) -> None:
        await drain(self._kernel, self._settings)
        await self._kernel.stop()
        self._network.call_after(0.0, self.kill)
