"""Rendezvous hashing: nodes with the same members choose the same owner, without a directory."""

from collections.abc import Iterable
from functools import lru_cache

import xxhash

from bramblebeam.core.identity import InstanceId, NodeId
from bramblebeam.core.tenants import TenantId

_CACHED_CANDIDATE_SETS = 256
_MULTIPLIER = 0xBF58476D1CE4E5B9
_SHIFT = 32
_UINT64_MASK = (1 << 64) - 1


def instance_key(instance: InstanceId) -> str:
    """Return the key by which an instance's owner is chosen."""
    return f"instance/{instance}"


def tenant_key(tenant: TenantId) -> str:
    """Return the key by which the node that serves a tenant and counts its usage is chosen."""
    return f"tenant/{tenant}"


def ranked_owners(key: str, candidates: Iterable[NodeId]) -> list[NodeId]:
    """Return the candidates, highest rank first, independent of the order of the input."""
    nodes = tuple(candidates)
    ranked = sorted(zip(_scores(key, nodes), nodes, strict=True), key=_rank_order)
    return [node for _score, node in ranked]


def owner_of(key: str, candidates: Iterable[NodeId]) -> NodeId | None:
    """Return the first of `ranked_owners`, or None without candidates."""
    nodes = tuple(candidates)
    if not nodes:
        return None
    return min(zip(_scores(key, nodes), nodes, strict=True), key=_rank_order)[1]


def _rank_order(scored: tuple[int, NodeId]) -> tuple[int, NodeId]:
    score, node = scored
    return -score, node


def _scores(key: str, nodes: tuple[NodeId, ...]) -> list[int]:
    """Mix the key's hash into each node's by one round of the splitmix64 finalizer."""
    key_hash = xxhash.xxh3_64_intdigest(key.encode())
    scores = []
    for node_hash in _node_hashes(nodes):
        mixed = node_hash ^ key_hash
        scores.append(((mixed ^ (mixed >> _SHIFT)) * _MULTIPLIER) & _UINT64_MASK)
    return scores


@lru_cache(maxsize=_CACHED_CANDIDATE_SETS)
def _node_hashes(nodes: tuple[NodeId, ...]) -> tuple[int, ...]:
    return tuple(xxhash.xxh3_64_intdigest(node.encode()) for node in nodes)
