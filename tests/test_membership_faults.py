"""Membership converges after random kills, restarts, pauses, partitions and packet loss."""

import random

import pytest

from bramblebeam.core.identity import NodeId
from bramblebeam.core.membership.messages import Seed
from membership_network import build, has_converged


@pytest.mark.parametrize("seed", range(8))
def test_membership_converges_after_random_faults(seed: int) -> None:
    rng = random.Random(seed)
    network = build(seed, {"a": 7, "b": 5, "c": 4}, loss=0.02)
    seeds = [
        Seed(network.nodes[NodeId(name)].spec.node, network.nodes[NodeId(name)].spec.peer_address)
        for name in ("a0", "b0", "c0")
    ]
    incarnation = 1
    for _step in range(15):
        network.run(rng.uniform(0.5, 6))
        name = rng.choice(list(network.nodes))
        fault = rng.choice(("kill", "restart", "pause", "cut", "one way", "heal"))
        if fault == "kill":
            network.kill(name)
        elif fault == "restart":
            incarnation += 1
            network.add(network.nodes[name].spec, seeds=seeds, incarnation=incarnation)
        elif fault == "pause":
            network.pause(name, rng.uniform(0.2, 8))
        elif fault == "cut":
            zone = network.nodes[name].spec.zone
            network.cut(lambda x, y, z=zone: (x.zone == z) != (y.zone == z))
        elif fault == "one way":
            network.cut(lambda x, _y, n=name: x.node == n)
        else:
            network.heal()
    network.heal()
    assert network.run_until(lambda: has_converged(network), 120)
