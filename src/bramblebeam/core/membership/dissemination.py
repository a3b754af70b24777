"""Queue of records to disseminate, each a bounded number of times."""

from collections.abc import Hashable
from typing import Generic, TypeVar

from bramblebeam.core.membership.messages import MemberUpdate

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")

UPDATE_BYTES = 12
SPEC_BYTES = 40
"""Upper bounds of the encoded sizes in bytes, without strings."""


def estimated_bytes(update: MemberUpdate) -> int:
    """Return an upper bound of a record's encoded size in bytes."""
    size = UPDATE_BYTES + len(update.node)
    spec = update.spec
    if spec is None:
        return size
    hosts = len(spec.peer_address.host) + len(spec.client_address.host)
    names = len(spec.node) + len(spec.zone) + len(spec.region)
    return size + SPEC_BYTES + names + hosts + len(spec.admin_address.host)


class UpdateQueue(Generic[K, V]):
    """The newest value of each key and its remaining number of transmissions."""

    def __init__(self) -> None:
        self._queued: dict[K, tuple[V, int, int]] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, key: K, value: V, size: int, transmissions: int) -> None:
        """Queue `value`, replacing an older one of the same key; `size` in bytes."""
        self._queued.pop(key, None)
        self._queued[key] = (value, size, transmissions)

    def take(self, maximum_bytes: int) -> tuple[V, ...]:
        """Return values that fit, least recently sent first, and count them as transmitted."""
        chosen: list[K] = []
        remaining = maximum_bytes
        for key, (_value, size, _transmissions) in self._queued.items():
            if size > remaining:
                break
            remaining -= size
            chosen.append(key)
        return tuple(self._count_transmission(key) for key in chosen)

    def _count_transmission(self, key: K) -> V:
        value, size, transmissions = self._queued.pop(key)
        if transmissions > 1:
            self._queued[key] = (value, size, transmissions - 1)
        return value
