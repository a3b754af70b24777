"""Simulated networks of membership machines, and predicates on their views."""

from bramblebeam.core.identity import NodeId
from bramblebeam.core.membership.timing import MembershipTiming
from bramblebeam.core.membership.view import MemberState
from bramblebeam.lab.simulator.virtual_members import (
    VirtualNetwork,
    VirtualNode,
    alive_record,
    make_spec,
)

REGION_OF = {"a": "west", "b": "west", "c": "east", "d": "east"}


def build(
    seed: int,
    zones: dict[str, int],
    loss: float = 0.0,
    timing: MembershipTiming | None = None,
) -> VirtualNetwork:
    """Return a network whose nodes initially know each other."""
    network = VirtualNetwork(seed, timing, loss)
    specs = [
        make_spec(f"{zone}{n}", zone, REGION_OF[zone], ord(zone) * 1000 + n)
        for zone, count in zones.items()
        for n in range(count)
    ]
    records = [alive_record(spec) for spec in specs]
    for spec in specs:
        network.add(spec, members=records)
    return network


def states(node: VirtualNode) -> dict[str, MemberState]:
    members = node.view.members
    return {
        name: members[name].state for name in members if members[name].state is not MemberState.DEAD
    }


def has_converged(network: VirtualNetwork) -> bool:
    """Whether each running node sees exactly the running nodes, as alive."""
    running = {node.spec.node: MemberState.ALIVE for node in network.alive_nodes()}
    return all(states(node) == running for node in network.alive_nodes())


def dead_everywhere(network: VirtualNetwork, name: str) -> bool:
    node = NodeId(name)
    return all(
        node not in other.view.members or other.view.members[node].state is MemberState.DEAD
        for other in network.alive_nodes()
    )
