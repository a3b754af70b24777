"""Reads the platform's list of machines, which hints the membership service where to join."""

import asyncio
from collections.abc import Callable
from random import Random

from expression import Result

from bramblebeam.core.identity import Address, NodeId, ZoneId
from bramblebeam.edges.object_store.client import PlatformClient
from bramblebeam.kernel import Kernel, MailboxFullError
from bramblebeam.services.membership.messages import HintedMachine, MachineHint

ALONE_SECONDS = 5.0
"""Seconds between reads while the node knows no other node."""

READER_SECONDS = 30.0
"""Seconds between reads of a reader; other nodes that know members do not read the list."""


class MachineListFeed:
    """Reads the list at the start, and repeatedly at a reader or while no other node is known."""

    def __init__(
        self,
        kernel: Kernel,
        client: PlatformClient,
        alone: Callable[[], bool],
        reader: Callable[[], bool],
    ) -> None:
        self._kernel = kernel
        self._client = client
        self._alone = alone
        self._reader = reader
        self._random = Random()

    async def run(self) -> None:
        """Read the list and send hints until cancelled."""
        await self._read()
        while True:
            pause = ALONE_SECONDS if self._alone() else READER_SECONDS
            await asyncio.sleep(pause * self._random.uniform(0.75, 1.25))
            if self._alone() or self._reader():
                await self._read()

    async def _read(self) -> None:
        match await self._client.machines():
            case Result(tag="ok", ok=machines):
                hinted = tuple(
                    HintedMachine(
                        NodeId(machine.node),
                        ZoneId(machine.zone),
                        Address(machine.host, machine.port),
                        machine.leaving,
                    )
                    for machine in machines
                )
                self._hint(MachineHint(hinted))

    def _hint(self, hint: MachineHint) -> None:
        if not self._kernel.has("membership"):
            return
        try:
            self._kernel.post("membership", hint)
        except MailboxFullError:
            return
