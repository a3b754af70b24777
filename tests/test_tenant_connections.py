"""Connections that belong to tenants: which stay open, which is closed for another tenant's, and
which waiter gets the next."""

import asyncio

import pytest

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.gateway.state import NO_STATE
from bramblebeam.core.gateway.statements import Action, Statement
from bramblebeam.core.gateway.usage import DECAY_SECONDS, TenantUsage
from bramblebeam.core.tenants import NO_TENANT, TenantId
from bramblebeam.core.verdict import Reason
from bramblebeam.services.gateway import pool as pool_module
from bramblebeam.services.gateway.pool import DatabasePool
from bramblebeam.services.gateway.pooled import OtherTenantError, PooledConnection
from bramblebeam.services.gateway.ports import Command, ConnectError
from test_gateway_pool import OpenConnection, make_pool

FAR_TOO_LONG = 60.0
ACME, BOLT, CROW = TenantId("acme"), TenantId("bolt"), TenantId("crow")


class CountingDatabase:
    """Accepts a limited number of connections at a time, and records them by tenant."""

    def __init__(self, accepts: int = 100) -> None:
        self.opened: list[TenantId] = []
        self.open: list[OpenConnection] = []
        self._maximum = accepts

    async def connect(
        self, entry: DatabaseEntry, tenant: TenantId, timeout: float
    ) -> OpenConnection:
        await asyncio.sleep(0)
        self.open = [connection for connection in self.open if not connection.closed]
        if len(self.open) >= self._maximum:
            raise ConnectError(Reason.TOO_MANY_CONNECTIONS, "full")
        self.opened.append(tenant)
        self.open.append(OpenConnection())
        return self.open[-1]


def keeping_pool(database: CountingDatabase, connections: int) -> DatabasePool:
    """Return a pool that keeps all of its idle connections open."""
    pool = make_pool(connections, database)  # type: ignore[arg-type]
    pool.kept_idle = connections
    return pool


async def use(pool: DatabasePool, *tenants: TenantId) -> None:
    """Let each tenant in turn acquire and release a connection."""
    for tenant in tenants:
        pooled = await pool.acquire(tenant, NO_STATE, FAR_TOO_LONG)
        assert pooled.tenant == tenant
        pooled.release()


@pytest.mark.parametrize(
    ("connections", "uses", "opened"),
    [
        pytest.param(2, [ACME, ACME, ACME], [ACME], id="its own connection again"),
        pytest.param(2, [ACME, BOLT, ACME, BOLT], [ACME, BOLT], id="one each"),
        pytest.param(1, [ACME, BOLT, ACME], [ACME, BOLT, ACME], id="room for one only"),
        pytest.param(
            2,
            [ACME, ACME, ACME, BOLT, CROW, ACME],
            [ACME, BOLT, CROW],
            id="the one that is asked for least makes room",
        ),
    ],
)
async def test_connections_are_kept_for_their_tenants(
    connections: int, uses: list[TenantId], opened: list[TenantId]
) -> None:
    """A new connection accepts 12 ms of one of the database's three slots, a statement 4 to 22 ms.
    With 72 tenants and 32 connections, nine operations in ten opened a connection."""
    database = CountingDatabase()
    await use(keeping_pool(database, connections), *uses)
    assert database.opened == opened


async def test_no_more_connections_are_open_than_the_budget_allows() -> None:
    database = CountingDatabase()
    pool = keeping_pool(database, 3)
    await use(pool, *[TenantId(f"tenant-{number % 7}") for number in range(50)])
    assert sum(not connection.closed for connection in database.open) == 3


async def test_a_statement_is_not_sent_on_another_tenants_connection() -> None:
    pool = keeping_pool(CountingDatabase(), 1)
    pooled = await pool.acquire(ACME, NO_STATE, FAR_TOO_LONG)
    command = Command(Statement(Action.READ, body="parcel"), "id-1", tenant=BOLT)
    with pytest.raises(OtherTenantError):
        await pooled.run([command], FAR_TOO_LONG)


async def test_a_free_connection_goes_to_its_tenant_unless_another_has_waited_too_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    for turn, first in ((FAR_TOO_LONG, ACME), (0.0, BOLT)):
        monkeypatch.setattr(pool_module, "TURN_SECONDS", turn)
        pool = keeping_pool(CountingDatabase(), 1)
        held = await pool.acquire(ACME, NO_STATE, FAR_TOO_LONG)
        served: list[TenantId] = []
        waiting = [asyncio.ensure_future(_serve(pool, tenant, served)) for tenant in (BOLT, ACME)]
        await asyncio.sleep(0.01)
        held.release()
        await asyncio.gather(*waiting)
        assert served[0] == first
        assert sorted(served) == [ACME, BOLT]


async def _serve(pool: DatabasePool, tenant: TenantId, served: list[TenantId]) -> None:
    pooled = await pool.acquire(tenant, NO_STATE, FAR_TOO_LONG)
    served.append(pooled.tenant)
    pooled.release()


async def test_the_gateways_own_queries_use_any_connection() -> None:
    database = CountingDatabase()
    pool = keeping_pool(database, 1)
    await use(pool, ACME)
    (await pool.acquire_any(FAR_TOO_LONG)).release()
    await use(pool, ACME)
    assert database.opened == [ACME]
    assert (await keeping_pool(CountingDatabase(), 1).acquire_any(FAR_TOO_LONG)).tenant == NO_TENANT


async def test_an_idle_connection_is_closed_if_the_database_accepts_no_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(pool_module, "REFUSED_PAUSE", 0.0)
    pool = keeping_pool(CountingDatabase(accepts=1), 5)
    await use(pool, ACME, BOLT)


async def test_a_flood_of_one_tenant_leaves_another_its_turn() -> None:
    pool = keeping_pool(CountingDatabase(), 1)
    held = await pool.acquire(ACME, NO_STATE, FAR_TOO_LONG)
    served: list[TenantId] = []
    tenants = [ACME] * 200 + [BOLT]
    waiting = [asyncio.ensure_future(_serve_slowly(pool, tenant, served)) for tenant in tenants]
    await asyncio.sleep(0)
    held.release()
    await waiting[-1]
    assert len(served) < len(tenants)
    await asyncio.gather(*waiting)


async def _serve_slowly(pool: DatabasePool, tenant: TenantId, served: list[TenantId]) -> None:
    pooled: PooledConnection = await pool.acquire(tenant, NO_STATE, FAR_TOO_LONG)
    await asyncio.sleep(0.002)
    served.append(tenant)
    pooled.release()


@pytest.mark.parametrize(
    ("uses", "at", "expected"),
    [
        pytest.param([], 0.0, 0.0, id="never"),
        pytest.param([0.0], 0.0, 1 / DECAY_SECONDS, id="once, now"),
        pytest.param([0.0], 10 * DECAY_SECONDS, 0.0, id="once, long ago"),
        pytest.param([n / 5 for n in range(500)], 100.0, 5.0, id="five a second"),
    ],
)
def test_the_rate_of_a_tenants_requests(uses: list[float], at: float, expected: float) -> None:
    usage = TenantUsage()
    for moment in uses:
        usage.record(ACME, moment)
    assert usage.rate(ACME, at) == pytest.approx(expected, abs=0.1)


def test_inactive_tenants_are_dropped() -> None:
    usage = TenantUsage()
    for number in range(3_000):
        usage.record(TenantId(f"tenant-{number}"), float(number))
    assert len(usage._rates) < 600
