"""Watches a database that left, or at whose address nothing listens, until it has ended.

The connection stays open, so that the end is noticed at once and without a question.
"""

from __future__ import annotations

import logging
from enum import Enum

from bramblebeam.core.gateway.directory import DatabaseEntry
from bramblebeam.core.tenants import NO_TENANT
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import DEPARTED_DATABASE_SILENT
from bramblebeam.services.gateway.placement import Placement
from bramblebeam.services.gateway.ports import ConnectError, DatabaseConnection
from bramblebeam.services.waiting import loop_time

logger = logging.getLogger(__name__)

CONNECT_TIMEOUT = 0.35
"""How long the database may take to accept a connection (seconds)."""
RETRY_SECONDS = 0.3
"""Pause after a database gave no answer (seconds)."""
ENDED_RETRY_SECONDS = 1.0
"""Pause after a database had ended (seconds): it may be back."""
SILENT_SECONDS = 60.0
"""A database that has not been reached for so long is taken to have ended. One that serves on after
its registration ended does so for seconds."""


class ProbeResult(Enum):
    """What a probe of a departed database showed."""

    RUNS = "runs"
    ENDED = "ended"
    UNKNOWN = "unknown"
    """It gave no answer."""


class DepartedProbe:
    """One departed database, and this node's connection to it."""

    def __init__(self, entry: DatabaseEntry, placement: Placement) -> None:
        self.entry = entry
        self._placement = placement
        self._connection: DatabaseConnection | None = None
        self._retry_at = float("-inf")
        self._last_result = ProbeResult.UNKNOWN
        self._silent_since: float | None = None

    async def check(self) -> ProbeResult:
        """Return whether the database runs; it has ended once nothing listens at its address."""
        if self._connection is not None and not self._connection.closed:
            return ProbeResult.RUNS
        self._connection = None
        if loop_time() < self._retry_at:
            return self._last_result
        result = self._last_result = await self._connect()
        if result is not ProbeResult.RUNS:
            has_ended = result is ProbeResult.ENDED
            self._retry_at = loop_time() + (ENDED_RETRY_SECONDS if has_ended else RETRY_SECONDS)
        return result

    async def _connect(self) -> ProbeResult:
        connector = self._placement.connector
        try:
            self._connection = await connector.connect(self.entry, NO_TENANT, CONNECT_TIMEOUT)
        except ConnectError as error:
            has_ended = error.is_gone or self._is_silent_for_long(error)
            return ProbeResult.ENDED if has_ended else ProbeResult.UNKNOWN
        self._silent_since = None
        return ProbeResult.RUNS

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()

    def _is_silent_for_long(self, error: ConnectError) -> bool:
        now = loop_time()
        if self._silent_since is None:
            self._silent_since = now
            log_event(
                logger,
                DEPARTED_DATABASE_SILENT,
                group=self.entry.group,
                instance=self.entry.instance,
                error=str(error),
            )
        return now - self._silent_since >= SILENT_SECONDS
