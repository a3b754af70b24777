"""Builds member views from zones and their regions."""

from collections.abc import Callable

from bramblebeam.core.identity import Address, NodeId, NodeSpec, ZoneId
from bramblebeam.core.membership.view import Member, MemberState, MembersView

NOWHERE = Address("", 0)

Nodes = dict[ZoneId, tuple[NodeId, ...]]


def nodes_in(zones: int, each: int) -> Nodes:
    """Return zones `zone-0` and so on with nodes `node-0-0` and so on."""
    return {
        ZoneId(f"zone-{zone}"): tuple(NodeId(f"node-{zone}-{number}") for number in range(each))
        for zone in range(zones)
    }


def view_of(nodes: Nodes, region_of: Callable[[int], int]) -> MembersView:
    """Return a view with all nodes alive. `region_of` maps a zone's number to its region's."""
    members = {
        node: Member(
            NodeSpec(node, zone, f"region-{region_of(int(zone[5:]))}", NOWHERE, NOWHERE, NOWHERE),
            1,
            MemberState.ALIVE,
        )
        for zone, found in nodes.items()
        for node in found
    }
    return MembersView(members, nodes)
