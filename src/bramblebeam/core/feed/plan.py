"""Decides which nodes read the store and which follow those that do.

Every request costs the store something, and it can serve only a few readers. In a large system two
nodes of each region read it. The other nodes of the region follow them, and readers also follow
each other across regions, so that a region whose readers cannot reach the store still gets changes.
"""

from collections.abc import Mapping
from typing import NamedTuple

from bramblebeam.core.gateway.owners import NodeLocation
from bramblebeam.core.identity import NodeId
from bramblebeam.core.membership.view import MembersView
from bramblebeam.core.ownership.rendezvous import ranked_owners

READERS_PER_REGION = 2
MAX_DIRECT_READERS = 12
"""Up to this number of nodes, all of them read the store themselves."""


class FeedPlan(NamedTuple):
    """What one node follows.

    `reads_store`: the node always reads the store, not only if no peer is available.
    """

    reads_store: bool = True
    peers: tuple[NodeId, ...] = ()


def feed_plan(place: NodeLocation, members: MembersView) -> FeedPlan:
    """Return the plan of the node at `place`."""
    regions = _nodes_by_region(members)
    if sum(map(len, regions.values())) <= MAX_DIRECT_READERS:
        return FeedPlan()
    readers = {region: _readers(region, nodes) for region, nodes in regions.items()}
    own = readers.get(place.region, ())
    if place.node not in own:
        return FeedPlan(not own, own)
    remote_readers = [
        found[0] for region, found in sorted(readers.items()) if region != place.region
    ]
    return FeedPlan(True, tuple(remote_readers))


def _readers(region: str, nodes: list[NodeId]) -> tuple[NodeId, ...]:
    return tuple(ranked_owners(f"feed/{region}", nodes)[:READERS_PER_REGION])


def _nodes_by_region(members: MembersView) -> Mapping[str, list[NodeId]]:
    regions: dict[str, list[NodeId]] = {}
    for nodes in members.owners.values():
        for node in nodes:
            regions.setdefault(members.members[node].spec.region, []).append(node)
    return regions
