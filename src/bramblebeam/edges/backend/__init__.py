"""The client of the back ends' MySQL protocol, built on asyncmy."""

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
