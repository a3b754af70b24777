"""Which start of each database is the newest: one that is older has ended."""

from bramblebeam.core.identity import (
    UNKNOWN_INCARNATION,
    InstanceId,
    ServerName,
    incarnation_of,
    server_name,
)

MAXIMUM_NAMES = 10_000
"""So many names are remembered, as many as a system has databases: beyond that the one that was
told of first is forgotten."""


class Incarnations:
    """Remembers the newest start of each name, also after its entry went."""

    def __init__(self) -> None:
        self._newest: dict[ServerName, int] = {}
        self._restarted: set[ServerName] = set()

    def observe(self, instance: InstanceId) -> bool:
        """Note an instance; False: it has ended, as its database has started again since."""
        if self.is_former(instance):
            return False
        name, born = server_name(instance), incarnation_of(instance)
        newest = self._newest.get(name)
        if newest is not None and born > newest:
            self._restarted.add(name)
        self._newest[name] = born
        if len(self._newest) > MAXIMUM_NAMES:
            self._forget(next(iter(self._newest)))
        return True

    def is_former(self, instance: InstanceId) -> bool:
        """Whether the database has started again since this instance of it."""
        return incarnation_of(instance) < self._newest.get(
            server_name(instance), UNKNOWN_INCARNATION
        )

    def has_restarted(self, instance: InstanceId) -> bool:
        """Whether an instance is known to have started under a name that was in use before."""
        return server_name(instance) in self._restarted

    def _forget(self, name: ServerName) -> None:
        del self._newest[name]
        self._restarted.discard(name)
