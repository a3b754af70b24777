"""Which waiter gets the next free connection to a database, and the measured latency."""

import asyncio

import pytest

from bramblebeam.core.gateway.budget import ConnectionBudget
from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.state import NO_STATE
from bramblebeam.core.identity import Address, GroupId, InstanceId, ZoneId
from bramblebeam.core.role import Role
from bramblebeam.core.tenants import NO_TENANT, TenantId
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.gateway.pool import DatabasePool
from bramblebeam.services.gateway.ports import DatabaseConnection, DatabaseConnector

FAR_TOO_LONG = 60.0


class OpenConnection:
    """A connection that stays open until it is closed."""

    def __init__(self) -> None:
        self.closed = False

    def close(self) -> None:
        self.closed = True


class AcceptingDatabase:
    async def connect(
        self, entry: DatabaseEntry, tenant: TenantId, timeout: float
    ) -> DatabaseConnection:
        return OpenConnection()  # type: ignore[return-value]


def make_pool(connections: int, connector: DatabaseConnector | None = None) -> DatabasePool:
    address = Address("127.0.0.1", 1)
    entry = DatabaseEntry(
        InstanceId("db"), GroupId("g"), address, ZoneId("a"), Role.PRIMARY, False, slots=3
    )
    budget = ConnectionBudget(connections, connections)
    return DatabasePool(entry, connector or AcceptingDatabase(), budget)


async def test_a_cancelled_waiter_leaves_the_others_their_turn() -> None:
    pool = make_pool(1)
    held = await pool.acquire(NO_TENANT, NO_STATE, FAR_TOO_LONG)
    waiting = [
        asyncio.ensure_future(pool.acquire(NO_TENANT, NO_STATE, FAR_TOO_LONG)) for _ in range(3)
    ]
    await asyncio.sleep(0)
    waiting[1].cancel()
    await asyncio.sleep(0)
    held.release()
    (await waiting[0]).release()
    (await waiting[2]).release()
    assert pool.load == 0


async def test_a_waiter_cancelled_after_it_was_served_releases_the_connection() -> None:
    pool = make_pool(1)
    held = await pool.acquire(NO_TENANT, NO_STATE, FAR_TOO_LONG)
    waiting = asyncio.ensure_future(pool.acquire(NO_TENANT, NO_STATE, FAR_TOO_LONG))
    await asyncio.sleep(0)
    held.release()
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert pool.load == 0
    (await pool.acquire(NO_TENANT, NO_STATE, FAR_TOO_LONG)).release()


@pytest.mark.parametrize(
    ("reason", "counts"),
    [
        pytest.param(None, True, id="served"),
        pytest.param(Reason.QUEUE_FULL, False, id="too busy"),
        pytest.param(Reason.REPLICA_BEHIND, False, id="behind"),
    ],
)
async def test_the_time_of_a_refusal_does_not_count_as_latency(
    reason: Reason | None, counts: bool
) -> None:
    """Found under grown load: a full database refused fast, and was chosen for its low latency."""
    pool = make_pool(1)
    refusal = None if reason is None else Refusal(Verdict.NOT_RUN, reason)
    pool.record_reply(1.0, refusal)
    assert (pool.latency > 0.0) is counts
