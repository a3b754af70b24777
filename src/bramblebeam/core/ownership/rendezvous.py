"""Rendezvous hashing: every node with the same members names the same owner, with no directory."""

from collections.abc import Iterable
from functools import lru_cache

import xxhash

from bramblebeam.core.identity import InstanceId, NodeId
from bramblebeam.core.tenants import TenantId

_CACHED_CANDIDATE_SETS = 256
_FACTOR = 0xBF58476D1CE4E5B9
_HALF = 32
_WORD = (1 << 64) - 1


def instance_key(instance: InstanceId) -> str:
    """Return the key under which an instance's owner is chosen."""
    return f"instance/{instance}"


def tenant_key(tenant: TenantId) -> str:
    """Return the key under which the node that serves and counts a tenant is chosen."""
    return f"tenant/{tenant}"


def ranked_owners(key: str, candidates: Iterable[NodeId]) -> list[NodeId]:
    """Return the candidates, best owner first. The order of the input does not matter."""
    nodes = tuple(candidates)
    ranked = sorted(zip(_scores(key, nodes), nodes, strict=True), key=_best_first)
    return [node for _score, node in ranked]


def owner_of(key: str, candidates: Iterable[NodeId]) -> NodeId | None:
    """Return the best owner, or None without candidates. Equal to the first of `ranked_owners`."""
    nodes = tuple(candidates)
    if not nodes:
        return None
    return min(zip(_scores(key, nodes), nodes, strict=True), key=_best_first)[1]


def _best_first(scored: tuple[int, NodeId]) -> tuple[int, NodeId]:
    score, node = scored
    return -score, node


def _scores(key: str, nodes: tuple[NodeId, ...]) -> list[int]:
    """Mix the key's hash into each node's, by one round of splitmix64's finalizer."""
    own = xxhash.xxh3_64_intdigest(key.encode())
    scores = []
    for node_hash in _node_hashes(nodes):
        mixed = node_hash ^ own
        scores.append(((mixed ^ (mixed >> _HALF)) * _FACTOR) & _WORD)
    return scores


@lru_cache(maxsize=_CACHED_CANDIDATE_SETS)
def _node_hashes(nodes: tuple[NodeId, ...]) -> tuple[int, ...]:
    return tuple(xxhash.xxh3_64_intdigest(node.encode()) for node in nodes)
