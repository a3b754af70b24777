"""Choice of the nodes that serve a group: number, spread over zones and order of preference."""

import pytest

from bramblebeam.core.gateway.owners import (
    GroupSize,
    NodeLocation,
    OwnerTable,
    Regions,
    group_owners,
    maximum_owners,
    nodes_by_region,
    target_owners,
)
from bramblebeam.core.identity import GroupId, NodeId, ZoneId
from member_views import Nodes, nodes_in, view_of

GROUPS = [GroupId(f"group-{number}") for number in range(40)]
SIZE = GroupSize(40, 3)


def regions_of(nodes: Nodes, zones_a_region: int) -> Regions:
    return nodes_by_region(view_of(nodes, lambda zone: zone // zones_a_region))


@pytest.mark.parametrize(
    ("zones", "each", "zones_a_region", "size", "expected"),
    [
        pytest.param(3, 2, 1, GroupSize(36, 3), 6, id="few nodes all serve"),
        pytest.param(3, 3, 1, GroupSize(23, 3), 3, id="few nodes, fewer connections"),
        pytest.param(6, 12, 2, GroupSize(40, 3), 6, id="one per zone"),
        pytest.param(3, 100, 1, GroupSize(36, 3), 6, id="two per zone"),
        pytest.param(20, 260, 3, GroupSize(36, 3), 7, id="fewer than zones"),
        pytest.param(1, 9, 1, GroupSize(3, 3), 2, id="one zone"),
        pytest.param(6, 32, 2, GroupSize(135, 3), 6, id="many connections, few slots"),
        pytest.param(6, 32, 2, GroupSize(820, 5), 6, id="very many connections, few slots"),
        pytest.param(6, 32, 2, GroupSize(820, 24), 18, id="many slots"),
        pytest.param(20, 260, 3, GroupSize(820, 5), 14, id="seven regions"),
    ],
)
def test_a_bounded_number_of_nodes_serves_a_group(
    zones: int, each: int, zones_a_region: int, size: GroupSize, expected: int
) -> None:
    nodes = nodes_in(zones, each)
    regions = regions_of(nodes, zones_a_region)
    for group in GROUPS:
        owners = group_owners(group, regions, size)
        assert len(owners) == expected
        a_zone = [len(owners & set(found)) for found in nodes.values()]
        assert max(a_zone) - min(a_zone) <= 1
        a_region = [sum(len(owners & set(found)) for found in a.values()) for a in regions.values()]
        assert max(a_region) - min(a_region) <= 1


@pytest.mark.parametrize("nodes", [30, 195, 530, 5_200])
def test_the_number_of_owners_does_not_grow_with_the_nodes(nodes: int) -> None:
    """Guards against owners that grow in number with the databases' connections.

    Of 195 nodes, 164 served each group, as its databases took 820 connections each. They made
    8,247 calls to the store and queried 48,380 statuses.
    """
    regions = regions_of(nodes_in(6, nodes // 6), 2)
    owners = group_owners(GROUPS[0], regions, GroupSize(820, 5))
    assert len(owners) == 6


def test_owners_do_not_depend_on_the_order_of_the_zones() -> None:
    nodes = nodes_in(20, 5)
    reordered = dict(reversed(nodes.items()))
    for group in GROUPS:
        found = group_owners(group, regions_of(nodes, 3), SIZE)
        assert found == group_owners(group, regions_of(reordered, 3), SIZE)


def test_the_loss_of_a_node_changes_only_the_groups_it_served() -> None:
    nodes = nodes_in(6, 12)
    zone = ZoneId("zone-3")
    lost = nodes[zone][4]
    rest = {**nodes, zone: tuple(node for node in nodes[zone] if node != lost)}
    for group in GROUPS:
        before = group_owners(group, regions_of(nodes, 2), SIZE)
        after = group_owners(group, regions_of(rest, 2), SIZE)
        assert before - {lost} <= after
        assert (before == after) == (lost not in before)


def test_a_region_keeps_its_number_of_owners_after_the_loss_of_a_zone() -> None:
    nodes = nodes_in(6, 12)
    rest = {zone: found for zone, found in nodes.items() if zone != ZoneId("zone-3")}
    for group in GROUPS:
        owners = group_owners(group, regions_of(rest, 2), SIZE)
        assert len(owners & set(nodes[ZoneId("zone-2")])) == 2


def test_the_groups_are_spread_over_the_nodes() -> None:
    regions = regions_of(nodes_in(3, 5), 1)
    serving = [node for group in GROUPS for node in group_owners(group, regions, GroupSize(15))]
    assert len(set(serving)) == 15


def test_the_nearest_owner_comes_first() -> None:
    nodes = nodes_in(6, 12)
    zone = ZoneId("zone-2")
    for node in nodes[zone]:
        table = OwnerTable(NodeLocation(node, zone, "region-1"))
        table.update(view_of(nodes, lambda zone: zone // 2))
        for group in GROUPS[:10]:
            found = table.nearest(group, SIZE)
            assert node not in found
            zones = [owner.split("-")[1] for owner in found]
            own = [] if table.serves(group, SIZE) else ["2"]
            assert zones[: len(own) + 1] == [*own, "3"]
            assert table.serves(group, SIZE) == (len(found) == 5)


def test_a_node_that_knows_no_other_node_serves_everything() -> None:
    table = OwnerTable(NodeLocation(NodeId("node-0-0"), ZoneId("zone-0"), "region-0"))
    assert table.serves(GROUPS[0], SIZE)
    assert table.nearest(GROUPS[0], SIZE) == ()


def test_a_group_has_at_least_two_owners() -> None:
    assert maximum_owners(GroupSize(0)) == maximum_owners(GroupSize(3)) == 2
    assert maximum_owners(GroupSize(36)) == 7
    assert target_owners(GroupSize(3), regions=3) == 2
