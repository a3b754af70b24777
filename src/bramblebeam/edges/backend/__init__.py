"""The back ends' protocol: MySQL, by asyncmy."""

from bramblebeam.edges.backend.connection import BackendConnection
from bramblebeam.edges.backend.errors import (
    BackendError,
    ConnectError,
    ConnectionLostError,
    StatementError,
)
from bramblebeam.edges.backend.results import BackendResult, RowBatch

__all__ = [
    "BackendConnection",
    "BackendError",
    "BackendResult",
    "ConnectError",
    "ConnectionLostError",
    "RowBatch",
    "StatementError",
]
