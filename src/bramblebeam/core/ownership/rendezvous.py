"""Rendezvous hashing: every node with the same members names the same owner, with no directory."""

from collections.abc import Iterable

import xxhash

from bramblebeam.core.identity import InstanceId, NodeId


def instance_key(instance: InstanceId) -> str:
    """Return the key under which an instance's owner is chosen."""
    return f"instance/{instance}"


def ranked_owners(key: str, candidates: Iterable[NodeId]) -> list[NodeId]:
    """Return the candidates, best owner first. The order of the input does not matter."""
    return sorted(candidates, key=lambda node: (-_score(key, node), node))


def owner_of(key: str, candidates: Iterable[NodeId]) -> NodeId | None:
    """Return the best owner, or None without candidates."""
    return max(candidates, key=lambda node: (_score(key, node), node), default=None)


def _score(key: str, node: NodeId) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\x00{node}".encode())
