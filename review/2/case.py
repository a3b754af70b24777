"""Case 2: a promoted replica lacks a commit that was acknowledged with `sync_replicas` 1."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import Client, Database, Node, Record, System, main, route  # noqa: E402

DRAIN_SECONDS = 7.0
"""drain_ms: how long a database that leaves serves on; it ends one second later."""
CRASH_SECONDS = 7.0
DEAF_SECONDS = 6.5
SUCCESSOR_SECONDS = 3.0
"""How long after the replica's end the new database at its address starts."""


async def keep_reading(client: Client) -> None:
    while (await client.run("READ stop-1"))[0] != "closed":
        await asyncio.sleep(0.2)


async def write(client: Client, what: str, acknowledged: list[str]) -> None:
    answer, _ = await client.run(f"WRITE stop-1 {what}")
    if answer.startswith("DONE"):
        acknowledged.append(f"stop-1 {what}")


async def holder(system: System) -> Node:
    """Return the node that last wrote to the store under a condition, as the store sees it."""
    while True:
        lease = system.store.get("leases", system.group.name)
        found = [node for node in system.nodes if lease and node.name == lease["holder"]]
        if found:
            return found[0]
        await asyncio.sleep(0.1)


async def case(system: System, record: Record, trouble: bool) -> int:
    await system.start([route("confirm", "entregas", "primary", 800)])
    group = system.group
    primary, lagging, leaving = group.members.values()
    readers = []
    for node in system.nodes:
        client = await Client.open(record, node, "entregas")
        if client is None:
            return 2
        readers.append(asyncio.ensure_future(keep_reading(client)))
    leader = await holder(system)
    writer = next(node for node in system.nodes if node is not leader)
    record.add("roles", holder=leader.name, writer=writer.name, primary=primary.name)
    client = await Client.open(record, writer, "entregas")
    if client is None:
        return 2
    acknowledged: list[str] = []
    for number in range(5):
        await write(client, f"before-{number}", acknowledged)
        await asyncio.sleep(0.2)
    if len(acknowledged) < 3:
        return 2

    # One replica leaves as planned; towards its end the other one receives nothing for a while.
    if trouble:
        leaving.state = "draining"
        leaving.register()
    await asyncio.sleep(DRAIN_SECONDS - 1.0)
    if trouble:
        lagging.deaf = True
        record.add("receives nothing", id=lagging.name)
        asyncio.get_running_loop().call_later(DEAF_SECONDS, hear_again, record, lagging)
    for number in range(5):
        await write(client, f"during-{number}", acknowledged)
        await asyncio.sleep(0.2)
    await asyncio.sleep(1.0)
    if trouble:
        await leaving.stop("its planned end")
        system.store.delete("servers", leaving.name)
        log = list(leaving.log)
        await asyncio.sleep(0.3)
        await primary.stop("crash")
        asyncio.get_running_loop().create_task(forget(system, primary))
        await asyncio.sleep(SUCCESSOR_SECONDS - 0.3)
        del group.members[leaving.name]
        successor = Database(group, "i-successor", leaving.zone, leaving.host, leaving.port)
        successor.log, successor.term = log, leaving.term
        group.members[successor.name] = successor
        await successor.start()
        await asyncio.sleep(CRASH_SECONDS - SUCCESSOR_SECONDS)
        await primary.start()
    await asyncio.sleep(8.0)

    for reader in readers:
        reader.cancel()
    broken = False
    for target, entries in group.promoted:
        held = {what for _, what in entries}
        missing = [what for what in acknowledged if what not in held]
        record.add("judged", promoted=target.name, missing=missing)
        broken = broken or bool(missing)
    return 1 if broken else 0


def hear_again(record: Record, lagging: Database) -> None:
    lagging.deaf = False
    record.add("receives again", id=lagging.name)
    lagging.group.replicate_soon()


async def forget(system: System, primary: Database) -> None:
    """Remove the crashed primary's entry after three heartbeats of silence."""
    await asyncio.sleep(3 * 1.2)
    if not primary.running:
        system.store.delete("servers", primary.name)


if __name__ == "__main__":
    sys.exit(main(case, Path(__file__).resolve().parent, nodes=3, sync_replicas=1))
