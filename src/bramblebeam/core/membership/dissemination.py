"""Records that a node still passes on, each a bounded number of times."""

from collections.abc import Hashable
from typing import Generic, TypeVar

from bramblebeam.core.membership.messages import MemberUpdate

K = TypeVar("K", bound=Hashable)
V = TypeVar("V")

UPDATE_BYTES = 12
SPEC_BYTES = 40
"""Encoded sizes without the texts, upper estimates."""


def estimated_bytes(update: MemberUpdate) -> int:
    """Return an upper estimate of a record's encoded size in bytes."""
    size = UPDATE_BYTES + len(update.node)
    spec = update.spec
    if spec is None:
        return size
    hosts = len(spec.peer_address.host) + len(spec.client_address.host)
    names = len(spec.node) + len(spec.zone) + len(spec.region)
    return size + SPEC_BYTES + names + hosts + len(spec.admin_address.host)


class UpdateQueue(Generic[K, V]):
    """The newest value by key with the number of times it is still to be passed on."""

    def __init__(self) -> None:
        self._waiting: dict[K, tuple[V, int, int]] = {}

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, key: K, value: V, size: int, transmissions: int) -> None:
        """Queue `value` in place of an older one; `size` in bytes."""
        self._waiting.pop(key, None)
        self._waiting[key] = (value, size, transmissions)

    def take(self, maximum_bytes: int) -> tuple[V, ...]:
        """Return values that fit, the one not sent for longest first, and count them as sent."""
        chosen: list[K] = []
        left = maximum_bytes
        for key, (_value, size, _transmissions) in self._waiting.items():
            if size > left:
                break
            left -= size
            chosen.append(key)
        return tuple(self._count(key) for key in chosen)

    def _count(self, key: K) -> V:
        value, size, transmissions = self._waiting.pop(key)
        if transmissions > 1:
            self._waiting[key] = (value, size, transmissions - 1)
        return value
