"""Rendezvous hashing: every node with the same members names the same owner, with no directory."""

from collections.abc import Iterable
from functools import lru_cache

import numpy as np
import xxhash

from bramblebeam.core.identity import InstanceId, NodeId

Scores = np.ndarray[tuple[int, ...], np.dtype[np.uint64]]

_CACHED_CANDIDATE_SETS = 256
_FACTOR = np.uint64(0xBF58476D1CE4E5B9)
_HALF = np.uint64(32)


def instance_key(instance: InstanceId) -> str:
    """Return the key under which an instance's owner is chosen."""
    return f"instance/{instance}"


def ranked_owners(key: str, candidates: Iterable[NodeId]) -> list[NodeId]:
    """Return the candidates, best owner first. The order of the input does not matter."""
    nodes = tuple(candidates)
    scores = _scores(key, nodes).tolist()
    ranked = sorted(zip(scores, nodes, strict=True), key=lambda pair: (-pair[0], pair[1]))
    return [node for _score, node in ranked]


def owner_of(key: str, candidates: Iterable[NodeId]) -> NodeId | None:
    """Return the best owner, or None without candidates. Equal to the first of `ranked_owners`."""
    nodes = tuple(candidates)
    if not nodes:
        return None
    scores = _scores(key, nodes)
    best = np.flatnonzero(scores == scores.max())
    return min(nodes[index] for index in best)


def _scores(key: str, nodes: tuple[NodeId, ...]) -> Scores:
    """Mix the key's hash into each node's, by one round of splitmix64's finalizer."""
    mixed = _node_hashes(nodes) ^ np.uint64(xxhash.xxh3_64_intdigest(key.encode()))
    return (mixed ^ (mixed >> _HALF)) * _FACTOR


@lru_cache(maxsize=_CACHED_CANDIDATE_SETS)
def _node_hashes(nodes: tuple[NodeId, ...]) -> Scores:
    hashes = [xxhash.xxh3_64_intdigest(node.encode()) for node in nodes]
    return np.array(hashes, dtype=np.uint64)
