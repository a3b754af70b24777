"""The part of a database server in its group."""

from enum import IntEnum


class Role(IntEnum):
    """A database server's part in its group."""

    REPLICA = 1
    PRIMARY = 2
