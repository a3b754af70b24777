"""Rendezvous hashing: even, stable when members change, independent of their order."""

from collections import Counter

from bramblebeam.core.identity import NodeId
from bramblebeam.core.ownership.rendezvous import owner_of, ranked_owners

NODES = tuple(NodeId(f"node-{n}") for n in range(50))
KEYS = [f"instance/db-{n}" for n in range(2_000)]


def test_owner_ranks_first_independent_of_the_order() -> None:
    for key in KEYS[:200]:
        assert owner_of(key, NODES) == ranked_owners(key, reversed(NODES))[0]
    assert owner_of("key", ()) is None
    assert ranked_owners("key", ()) == []


def test_load_is_even() -> None:
    owned = Counter(owner_of(key, NODES) for key in KEYS)
    assert len(owned) == len(NODES)
    assert max(owned.values()) < 2 * len(KEYS) / len(NODES)


def test_only_the_keys_of_a_lost_node_move_and_they_spread_evenly() -> None:
    lost = NODES[17]
    remaining = tuple(node for node in NODES if node != lost)
    moved = [key for key in KEYS if owner_of(key, NODES) == lost]
    assert all(owner_of(key, remaining) == owner_of(key, NODES) for key in KEYS if key not in moved)
    assert Counter(owner_of(key, remaining) for key in moved).most_common(1)[0][1] < len(moved) / 4
    assert all(owner_of(key, remaining) == ranked_owners(key, NODES)[1] for key in moved)
