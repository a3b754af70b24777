"""Tracks the newest incarnation of each database server; older ones have ended."""

from bramblebeam.core.identity import (
    UNKNOWN_INCARNATION,
    InstanceId,
    ServerName,
    incarnation_of,
    server_name,
)

MAXIMUM_NAMES = 10_000
"""Names that are remembered, as many as a system has databases. Beyond that the name that was
observed first is forgotten."""


class Incarnations:
    """The newest incarnation of each server name, kept after its entry was removed."""

    def __init__(self) -> None:
        self._newest: dict[ServerName, int] = {}
        self._restarted: set[ServerName] = set()

    def observe(self, instance: InstanceId) -> bool:
        """Record an instance; return False if its server has restarted since."""
        if self.is_former(instance):
            return False
        name, incarnation = server_name(instance), incarnation_of(instance)
        newest = self._newest.get(name)
        if newest is not None and incarnation > newest:
            self._restarted.add(name)
        self._newest[name] = incarnation
        if len(self._newest) > MAXIMUM_NAMES:
            self._forget(next(iter(self._newest)))
        return True

    def is_former(self, instance: InstanceId) -> bool:
        """Whether the server has restarted since this instance of it."""
        return incarnation_of(instance) < self._newest.get(
            server_name(instance), UNKNOWN_INCARNATION
        )

    def has_restarted(self, instance: InstanceId) -> bool:
        """Whether the instance's server is known to have restarted under the same name."""
        return server_name(instance) in self._restarted

    def _forget(self, name: ServerName) -> None:
        del self._newest[name]
        self._restarted.discard(name)
