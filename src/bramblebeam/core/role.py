"""The replication role of a database server."""

from enum import IntEnum


class Role(IntEnum):
    """A database server's replication role in its group."""

    REPLICA = 1
    PRIMARY = 2
