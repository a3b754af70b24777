"""Which database a read is sent to: a near one, until this node's share of it is in use."""

import pytest

from bramblebeam.core.gateway.directory import DatabaseDirectory, DatabaseEntry
from bramblebeam.core.gateway.owners import Distance, GroupSize, NodeLocation, OwnerTable
from bramblebeam.core.identity import Address, GroupId, InstanceId, NodeId, ZoneId
from bramblebeam.core.role import Role
from bramblebeam.core.tenants import NO_TENANT, TenantId
from bramblebeam.core.verdict import Reason
from bramblebeam.services.gateway.placement import Placement
from bramblebeam.services.gateway.pool import DatabasePool
from bramblebeam.services.gateway.ports import ConnectError, DatabaseConnection
from member_views import nodes_in, view_of

GROUP = GroupId("deliveries")
NEAR, FAR = InstanceId("near"), InstanceId("far")
SERVICE_SECONDS = 0.033
FAR_SECONDS = SERVICE_SECONDS + 0.016
"""Latency of a database of another region: 8 ms one way."""


class NoConnector:
    async def connect(
        self, entry: DatabaseEntry, tenant: TenantId, timeout: float
    ) -> DatabaseConnection:
        raise ConnectError(Reason.UNREACHABLE, "made up")


class Owners:
    """Two nodes per region; the near database is at `near`, the other one in another region."""

    def __init__(self, near: Distance, slots_a_node: float) -> None:
        self._near = near
        self._slots_a_node = slots_a_node

    def serves(self, group: GroupId) -> bool:
        return True

    def owner_count(self, group: GroupId) -> int:
        return 6

    def distance(self, zone: ZoneId) -> Distance:
        return self._near if zone == NEAR else Distance.ELSEWHERE

    seen_share = 1.0

    def near_servers(self, zone: ZoneId) -> int:
        return 0

    decides_on_load = False

    def runs_database(self, group: GroupId, zone: ZoneId) -> bool:
        return True

    def slots_a_node(self, group: GroupId, slots: int) -> float:
        return self._slots_a_node


def entry(instance: InstanceId) -> DatabaseEntry:
    address = Address("127.0.0.1", 1)
    return DatabaseEntry(instance, GROUP, address, ZoneId(instance), Role.REPLICA, False, slots=5)


@pytest.mark.parametrize(
    ("near", "slots_a_node", "load", "chosen"),
    [
        pytest.param(Distance.ZONE, 2.5, 0, NEAR, id="own zone"),
        pytest.param(Distance.REGION, 2.5, 0, NEAR, id="own region"),
        pytest.param(Distance.REGION, 2.5, 1, NEAR, id="own region, a statement under way"),
        pytest.param(Distance.REGION, 2.5, 3, NEAR, id="own region, more than the share"),
        pytest.param(Distance.REGION, 2.5, 6, FAR, id="own region, a queue"),
        pytest.param(Distance.REGION, 1.0, 1, NEAR, id="one slot, one statement under way"),
        pytest.param(Distance.REGION, 1.0, 2, FAR, id="one slot, two statements under way"),
        pytest.param(Distance.ELSEWHERE, 2.5, 3, FAR, id="both far, and one in use"),
    ],
)
async def test_a_read_stays_near_until_the_share_is_in_use(
    near: Distance,
    slots_a_node: float,
    load: int,
    chosen: InstanceId,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Found with 195 nodes: half of the nodes that serve a group are in a zone without a database
    of it, and for these another zone of the region counted as far as another region."""
    placement = Placement(NoConnector(), Owners(near, slots_a_node))
    placement.update(DatabaseDirectory(1, {name: entry(name) for name in (NEAR, FAR)}))
    placement.pools[NEAR].latency = SERVICE_SECONDS
    placement.pools[FAR].latency = FAR_SECONDS
    loads = {NEAR: load, FAR: 0}
    monkeypatch.setattr(DatabasePool, "load", property(lambda pool: loads[pool.entry.instance]))
    found = placement.choose(GROUP, NO_TENANT, ())
    assert found is not None
    assert found.entry.instance == chosen


@pytest.mark.parametrize(
    ("zone", "distance"),
    [
        pytest.param("zone-2", Distance.ZONE, id="own zone"),
        pytest.param("zone-3", Distance.REGION, id="own region"),
        pytest.param("zone-1", Distance.ELSEWHERE, id="another region"),
        pytest.param("zone-9", Distance.ELSEWHERE, id="a zone without nodes"),
    ],
)
def test_the_distance_of_a_zone(zone: str, distance: Distance) -> None:
    table = OwnerTable(NodeLocation(NodeId("node-2-0"), ZoneId("zone-2"), "region-1"))
    table.update(view_of(nodes_in(6, 12), lambda zone: zone // 2))
    assert table.distance(ZoneId(zone)) is distance


@pytest.mark.parametrize(
    ("zones", "each", "zones_a_region", "size", "share"),
    [
        pytest.param(6, 32, 2, GroupSize(820, 5), 2.5, id="two nodes a region"),
        pytest.param(3, 3, 1, GroupSize(23, 3), 3.0, id="one node a region"),
        pytest.param(3, 4, 1, GroupSize(100, 3), 1.0, id="more nodes than slots"),
    ],
)
def test_a_nodes_share_of_a_databases_slots(
    zones: int, each: int, zones_a_region: int, size: GroupSize, share: float
) -> None:
    table = OwnerTable(NodeLocation(NodeId("node-0-0"), ZoneId("zone-0"), "region-0"))
    table.update(view_of(nodes_in(zones, each), lambda zone: zone // zones_a_region))
    assert table.slots_per_node(GROUP, size, size.slots) == share
