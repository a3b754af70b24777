"""Which nodes serve a group: few enough for its databases, spread over zones, nearest first."""

import pytest

from bramblebeam.core.gateway.owners import NodePlace, OwnerTable, group_owners, owner_count
from bramblebeam.core.identity import GroupId, NodeId, ZoneId
from member_views import nodes_in, view_of

GROUPS = [GroupId(f"group-{number}") for number in range(40)]


@pytest.mark.parametrize(
    ("zones", "each", "limit", "expected"),
    [
        pytest.param(3, 2, 7, 6, id="few nodes all serve"),
        pytest.param(6, 12, 8, 6, id="one a zone"),
        pytest.param(3, 100, 7, 6, id="two a zone"),
        pytest.param(20, 260, 7, 7, id="fewer than zones"),
        pytest.param(1, 9, 2, 2, id="one zone"),
    ],
)
def test_a_bounded_number_of_nodes_serves_a_group(
    zones: int, each: int, limit: int, expected: int
) -> None:
    nodes = nodes_in(zones, each)
    for group in GROUPS:
        owners = group_owners(group, nodes, limit)
        assert len(owners) == expected
        a_zone = [len(owners & set(found)) for found in nodes.values()]
        assert max(a_zone) - min(a_zone) <= 1


def test_nodes_agree_whatever_the_order_in_which_they_know_the_zones() -> None:
    nodes = nodes_in(20, 5)
    turned = dict(reversed(nodes.items()))
    for group in GROUPS:
        assert group_owners(group, nodes, 7) == group_owners(group, turned, 7)


def test_the_loss_of_a_node_moves_only_its_own_groups() -> None:
    nodes = nodes_in(6, 12)
    zone = ZoneId("zone-3")
    lost = nodes[zone][4]
    rest = {**nodes, zone: tuple(node for node in nodes[zone] if node != lost)}
    for group in GROUPS:
        before, after = group_owners(group, nodes, 8), group_owners(group, rest, 8)
        assert before - {lost} <= after
        assert (before == after) == (lost not in before)


def test_the_groups_are_spread_over_the_nodes() -> None:
    nodes = nodes_in(3, 5)
    serving = [node for group in GROUPS for node in group_owners(group, nodes, 3)]
    assert len(set(serving)) == 15


def test_the_nearest_owner_comes_first() -> None:
    nodes = nodes_in(6, 12)
    zone = ZoneId("zone-2")
    for node in nodes[zone]:
        table = OwnerTable(NodePlace(node, zone, "region-1"))
        table.update(view_of(nodes, lambda zone: zone // 2))
        for group in GROUPS[:10]:
            found = table.nearest(group, 40)
            assert node not in found
            zones = [owner.split("-")[1] for owner in found]
            own = [] if table.serves(group, 40) else ["2"]
            assert zones[: len(own) + 1] == [*own, "3"]
            assert table.serves(group, 40) == (len(found) == 5)


def test_a_node_that_knows_of_no_other_serves_everything() -> None:
    table = OwnerTable(NodePlace(NodeId("node-0-0"), ZoneId("zone-0"), "region-0"))
    assert table.serves(GROUPS[0], 40)
    assert table.nearest(GROUPS[0], 40) == ()


def test_a_group_has_two_owners_at_least() -> None:
    assert owner_count(0) == owner_count(3) == 2
    assert owner_count(36) == 7
