"""A group over real sockets with partitions, restarts from log files and changes of primary.

Acknowledged writes must not be lost, and writes refused as not run must not be applied.
"""

import asyncio
import os
import random
from pathlib import Path

import pytest

from bramblebeam.core.identity import Address, InstanceId, Position
from bramblebeam.core.verdict import Verdict
from bramblebeam.edges.backend import BackendConnection, BackendError, ConnectError
from bramblebeam.lab.database.member import DatabaseMember, MemberSettings

ROUNDS = 10
CLIENTS = 4
STEP_SECONDS = 0.1


def private_loopback_host() -> str:
    """Return a loopback address that only this process uses.

    A restarted member binds its former port again. On 127.0.0.1 an outgoing connection of another
    process may have taken that port meanwhile.
    """
    number = os.getpid()
    return f"127.{1 + number // 250 % 250}.{1 + number % 250}.1"


class RealGroup:
    """Three members in this process that can be stopped and restarted from their log files."""

    def __init__(self, directory: Path, seed: int) -> None:
        self.directory = directory
        self.random = random.Random(seed)
        self.members: dict[str, DatabaseMember] = {}
        self.addresses: dict[str, Address] = {}
        self.highest_term = 0
        self.primary = ""

    async def start(self, name: str) -> None:
        settings = MemberSettings(
            InstanceId(name),
            listen=self.addresses.get(name, Address(private_loopback_host(), 0)),
            log=self.directory / name,
        )
        member = DatabaseMember(settings)
        await member.start()
        self.members[name] = member
        self.addresses[name] = member.address

    async def stop(self, name: str) -> None:
        await self.members.pop(name).stop()

    async def query(self, name: str, sql: str) -> tuple[object, ...] | None:
        try:
            connection = await BackendConnection.connect(
                self.addresses[name], "control", "", timeout=0.5
            )
        except ConnectError:
            return None
        try:
            return (await connection.execute(sql)).rows[0]
        except BackendError:
            return None
        finally:
            connection.abort()

    async def change_primary(self, unreachable: str = "") -> None:
        """Change the primary as a controller that can't reach the member `unreachable`."""
        self.highest_term += 1
        term = self.highest_term
        granted: dict[str, Position] = {}
        for name in [name for name in self.members if name != unreachable]:
            row = await self.query(name, f"CALL bramblebeam.promise({term})")
            if row is not None:
                granted[name] = Position(int(str(row[3])), int(str(row[4])))
        if len(granted) < 2:
            return
        candidate = max(granted, key=lambda name: granted[name])
        listed = ",".join(f"{n}={a.host}:{a.port}" for n, a in self.addresses.items())
        if await self.query(candidate, f"CALL bramblebeam.promote({term}, '{listed}')") is not None:
            self.primary = candidate


class Outcomes:
    """The outcomes that were reported to the clients, by value."""

    def __init__(self) -> None:
        self.acknowledged: set[int] = set()
        self.not_run: set[int] = set()
        self.next = 0

    async def write(self, group: RealGroup, connection: BackendConnection) -> None:
        value = self.next
        self.next += 1
        try:
            if value % 3:
                await connection.execute(f"INSERT INTO t VALUES ({value})")
            else:
                await connection.execute("BEGIN")
                await connection.execute(f"INSERT INTO t VALUES ({value})")
                await connection.execute("COMMIT")
            self.acknowledged.add(value)
        except BackendError as error:
            if error.verdict is Verdict.NOT_RUN:
                self.not_run.add(value)
            raise


async def client(group: RealGroup, outcomes: Outcomes, stopped: asyncio.Event) -> None:
    connection: BackendConnection | None = None
    target = ""
    while not stopped.is_set():
        await asyncio.sleep(0.002)
        try:
            if connection is None or connection.broken or target != group.primary:
                if connection is not None:
                    connection.abort()
                target = group.primary
                connection = await BackendConnection.connect(
                    group.addresses[target], "app", "", timeout=0.5
                )
            await outcomes.write(group, connection)
        except BackendError:
            if connection is not None and connection.in_transaction:
                connection.abort()
            await asyncio.sleep(0.01)
    if connection is not None:
        connection.abort()


async def inject_fault(group: RealGroup) -> None:
    action = group.random.random()
    name = group.random.choice(sorted(group.addresses))
    if action < 0.35:
        cut = group.primary
        group.members[cut].peers.set_cut(["*"])
        await asyncio.sleep(STEP_SECONDS)
        await group.change_primary(unreachable=cut)
        await asyncio.sleep(STEP_SECONDS)
        group.members[cut].peers.set_cut([])
    elif action < 0.7:
        await group.stop(name)
        await asyncio.sleep(STEP_SECONDS)
        await group.change_primary()
        await asyncio.sleep(STEP_SECONDS)
        await group.start(name)
    elif action < 0.85:
        await group.change_primary()
    else:
        group.members[name].pause(STEP_SECONDS)
        await group.change_primary()
    await asyncio.sleep(STEP_SECONDS)


@pytest.mark.parametrize("seed", [1, 2])
async def test_acknowledged_writes_survive_and_refused_writes_do_not_run(
    seed: int, tmp_path: Path
) -> None:
    group = RealGroup(tmp_path, seed)
    for name in ("db0", "db1", "db2"):
        await group.start(name)
    await group.change_primary()
    setup = await BackendConnection.connect(group.addresses[group.primary], "app", "")
    await setup.execute("CREATE TABLE t (id INT PRIMARY KEY)")
    setup.abort()
    outcomes, stopped = Outcomes(), asyncio.Event()
    clients = [asyncio.create_task(client(group, outcomes, stopped)) for _ in range(CLIENTS)]
    for _ in range(ROUNDS):
        await inject_fault(group)
    stopped.set()
    await asyncio.gather(*clients)
    await group.change_primary()
    last = group.members[group.primary].replica.log.last
    for _ in range(2_500):
        if all(member.status().applied >= last for member in group.members.values()):
            break
        await asyncio.sleep(0.002)
    contents = [
        {value for (value,) in member.store._database.execute("SELECT id FROM t")}
        for member in group.members.values()
    ]
    assert contents[0] == contents[1] == contents[2]
    assert outcomes.acknowledged <= contents[0]
    assert not outcomes.not_run & contents[0]
    assert len(outcomes.acknowledged) > 50
    for name in list(group.members):
        await group.stop(name)
