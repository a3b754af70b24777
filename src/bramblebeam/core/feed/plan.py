"""Who reads the store, and who is told by those that do.

Each question to the store has a price, and a store bears few readers. Where the nodes are many, two
in each region read it; they tell the others of their region, and each other across regions, so that
a region whose readers are cut off from the store still has its news.
"""

from collections.abc import Mapping
from typing import NamedTuple

from bramblebeam.core.gateway.owners import NodeLocation
from bramblebeam.core.identity import NodeId
from bramblebeam.core.membership.view import MembersView
from bramblebeam.core.ownership.rendezvous import ranked_owners

READERS_A_REGION = 2
ALL_READ = 12
"""So few nodes all read the store themselves."""


class FeedPlan(NamedTuple):
    """What one node follows. `reads_store`: always, not only where no peer can tell."""

    reads_store: bool = True
    peers: tuple[NodeId, ...] = ()


def feed_plan(place: NodeLocation, members: MembersView) -> FeedPlan:
    """Return what the node at `place` follows."""
    regions = _nodes_by_region(members)
    if sum(map(len, regions.values())) <= ALL_READ:
        return FeedPlan()
    readers = {region: _readers(region, nodes) for region, nodes in regions.items()}
    own = readers.get(place.region, ())
    if place.node not in own:
        return FeedPlan(not own, own)
    others = [found[0] for region, found in sorted(readers.items()) if region != place.region]
    return FeedPlan(True, tuple(others))


def _readers(region: str, nodes: list[NodeId]) -> tuple[NodeId, ...]:
    return tuple(ranked_owners(f"feed/{region}", nodes)[:READERS_A_REGION])


def _nodes_by_region(members: MembersView) -> Mapping[str, list[NodeId]]:
    regions: dict[str, list[NodeId]] = {}
    for nodes in members.owners.values():
        for node in nodes:
            regions.setdefault(members.members[node].spec.region, []).append(node)
    return regions
