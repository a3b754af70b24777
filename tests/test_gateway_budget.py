"""The connection limit of a node at a database that many nodes share."""

import asyncio

import pytest

from bramblebeam.core.gateway import budget
from bramblebeam.core.gateway.budget import GROWTH_SECONDS, ConnectionBudget
from bramblebeam.core.gateway.directory import DatabaseDirectory, DatabaseEntry
from bramblebeam.core.gateway.owners import Distance
from bramblebeam.core.gateway.routes import GroupSettings, RouteTable
from bramblebeam.core.gateway.state import SessionState
from bramblebeam.core.identity import Address, GroupId, InstanceId, ZoneId
from bramblebeam.core.role import Role
from bramblebeam.core.tenants import NO_TENANT, TenantId
from bramblebeam.core.verdict import Reason
from bramblebeam.services.gateway.placement import FALLBACK_CONNECTIONS, Placement
from bramblebeam.services.gateway.pool import DatabasePool
from bramblebeam.services.gateway.ports import ConnectError, DatabaseConnection

GROUP = GroupId("deliveries")
DATABASE = InstanceId("db-a")


def entry() -> DatabaseEntry:
    address = Address("127.0.0.1", 1)
    return DatabaseEntry(DATABASE, GROUP, address, ZoneId("a"), Role.PRIMARY, False, slots=3)


class Owners:
    """A stand-in where `count` nodes serve every group, this node among them if `serves`."""

    def __init__(self, count: int, serves: bool = True) -> None:
        self._count = count
        self._serves = serves

    def serves(self, group: GroupId) -> bool:
        return self._serves

    def owner_count(self, group: GroupId) -> int:
        return self._count

    def distance(self, zone: ZoneId) -> Distance:
        return Distance.ZONE

    seen_share = 1.0

    def near_servers(self, zone: ZoneId) -> int:
        return 0

    decides_on_load = False

    def runs_database(self, group: GroupId, zone: ZoneId) -> bool:
        return True

    def slots_a_node(self, group: GroupId, slots: int) -> float:
        return slots


class FullDatabase:
    """Refuses every connection. `attempts`: the connections that were requested."""

    def __init__(self) -> None:
        self.attempts = 0

    async def connect(
        self, entry: DatabaseEntry, tenant: TenantId, timeout: float
    ) -> DatabaseConnection:
        self.attempts += 1
        raise ConnectError(Reason.TOO_MANY_CONNECTIONS, "full")


@pytest.mark.parametrize(
    ("even", "most", "refused_at", "now", "expected"),
    [
        pytest.param(4, 12, None, 0.0, 12, id="never refused"),
        pytest.param(4, 12, 10.0, 10.0, 4, id="just refused"),
        pytest.param(4, 12, 10.0, 10.0 + 3 * GROWTH_SECONDS, 7, id="grows again"),
        pytest.param(4, 12, 10.0, 10.0 + 60 * GROWTH_SECONDS, 12, id="never above the maximum"),
        pytest.param(20, 12, 10.0, 10.0, 12, id="few nodes"),
    ],
)
def test_the_connection_limit_of_a_pool(
    even: int, most: int, refused_at: float | None, now: float, expected: int
) -> None:
    bound = ConnectionBudget(even, most)
    if refused_at is not None:
        bound.record_refusal(refused_at)
    assert bound.limit(now) == expected


def test_a_refusal_is_remembered_when_the_bounds_change() -> None:
    bound = ConnectionBudget(4, 12)
    bound.record_refusal(10.0)
    bound.set_bounds(6, 12)
    assert bound.limit(10.0) == 6


@pytest.mark.parametrize(
    ("connections", "owners", "at_first", "after_refusal"),
    [
        pytest.param(53, Owners(6), 17, 8, id="six nodes"),
        pytest.param(36, Owners(7), 12, 5, id="seven nodes"),
        pytest.param(50, Owners(2), 16, 16, id="two nodes"),
        pytest.param(4, Owners(9), 2, 2, id="fewer connections than nodes"),
        pytest.param(
            53, Owners(6, serves=False), FALLBACK_CONNECTIONS, FALLBACK_CONNECTIONS, id="no owner"
        ),
    ],
)
async def test_a_node_holds_more_than_its_even_share_until_refused(
    connections: int, owners: Owners, at_first: int, after_refusal: int
) -> None:
    placement = Placement(FullDatabase(), owners)
    placement.configure(RouteTable(1, {}, {GROUP: GroupSettings(GROUP, connections)}))
    placement.update(DatabaseDirectory(1, {DATABASE: entry()}))
    bound = placement.pools[DATABASE].budget
    assert bound.limit(0.0) == at_first
    bound.record_refusal(0.0)
    assert bound.limit(0.0) == after_refusal


async def test_after_a_refusal_only_the_even_share_is_attempted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against reconnecting to a full database: 7,900 connections above its limit were reset
    in 34 s."""
    monkeypatch.setattr(budget, "GROWTH_SECONDS", 1e9)
    database = FullDatabase()
    pool = DatabasePool(entry(), database, ConnectionBudget(2, 12))
    for expected in (12, 2):
        database.attempts = 0
        pool._refused_until = 0.0
        waiters = [pool.acquire(NO_TENANT, SessionState(), 60.0) for _ in range(20)]
        failures = await asyncio.gather(*waiters, return_exceptions=True)
        assert all(isinstance(failure, ConnectError) for failure in failures)
        assert database.attempts == expected
