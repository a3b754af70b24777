"""Callers with work in flight at a node during its planned stop."""

import asyncio
from random import Random

from bramblebeam.lab.cluster import Cluster
from bramblebeam.lab.history import History
from bramblebeam.lab.load.client import CallerClient
from bramblebeam.lab.load.session import LoadSession, SessionPlan

READERS = 3
WRITERS = 2
WORK_SECONDS = 0.5
WARMUP_SECONDS = 0.15


class StopWitnesses:
    """Runs slow reads and open transactions through one node, recorded like the load."""

    def __init__(self, cluster: Cluster, history: History, node: str) -> None:
        self._cluster = cluster
        self._history = history
        self._node = node
        self._clients: list[CallerClient] = []
        self._work: list[asyncio.Task[object]] = []

    async def begin(self) -> None:
        """Connect and start work; it is in flight when this returns."""
        for number in range(READERS + WRITERS):
            session = await self._session(f"witness-{self._node}-{number}")
            if number < READERS:
                work = session.read_slowly("k0", WORK_SECONDS)
                self._work.append(asyncio.create_task(work))
            else:
                self._work.append(asyncio.create_task(session.transaction(WORK_SECONDS)))
        await asyncio.sleep(WARMUP_SECONDS)

    async def end(self) -> None:
        """Wait for the work and close the connections."""
        await asyncio.gather(*self._work)
        for client in self._clients:
            await client.close()

    async def _session(self, name: str) -> LoadSession:
        service = self._cluster.scenario.load.services[0]
        client = CallerClient(name, service.name, service.group, carries_token=True)
        self._clients.append(client)
        await client.connect(self._node, self._cluster.clients[self._node])
        plan = SessionPlan(self._cluster.scenario.load.keys, roaming=0.0)
        return LoadSession(client, self._cluster.clients, plan, self._history, Random(name))
