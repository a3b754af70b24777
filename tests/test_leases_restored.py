"""Changes of primary around a store that comes back from a copy.

The token of an order was the store's count of changes when the lease was written. The count goes
back with a copy: orders after it had tokens below one that was used before, and were refused for as
long as the new count lagged behind; where nobody checks tokens they would have been carried out.
"""

from __future__ import annotations

import pytest

from platform_standins.world import GROUP, LineClient, World, running_world, until

WRITES_SINCE_COPY = 40
"""Writes by databases between the copy and its return: the count falls by so many at least."""


async def write(client: LineClient, what: str) -> None:
    """Write until it is taken."""
    while (await client.run(f"WRITE {what}")).code:
        pass


def register_all(world: World) -> None:
    for name in world.group.members:
        world.register(name)


async def replace_crashed_primary(world: World, client: LineClient) -> None:
    """Crash the primary, and let it come back once another one has taken a write."""
    former = world.group.primary
    await former.crash()
    await write(client, f"after {former.name}")
    await former.restart()
    register_all(world)


@pytest.mark.parametrize("is_restored", [False, True], ids=["control", "restored"])
async def test_tokens_rise_also_after_the_store_came_back_from_a_copy(is_restored: bool) -> None:
    async with running_world() as world:
        client = await world.client("latest")
        await write(client, "start 1")
        await until(lambda: world.platform.has("leases", GROUP))
        copy = world.platform.copy()
        for _ in range(WRITES_SINCE_COPY):
            world.register("db-c")
        await replace_crashed_primary(world, client)
        if is_restored:
            world.platform.go_back(copy)
            world.configure(1)
            register_all(world)
        await replace_crashed_primary(world, client)
        tokens = [order.token for order in world.platform.promotions]
        assert tokens == sorted(tokens)
