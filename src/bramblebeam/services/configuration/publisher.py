"""Builds and publishes the view of the rows in force, and logs rows that came into force."""

from __future__ import annotations

import asyncio
import logging

from bramblebeam.core.configuration.rows import Row
from bramblebeam.core.configuration.view import ConfigurationChanged
from bramblebeam.core.configuration.view_builder import ViewBuilder
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    CONFIGURATION_ROW_IN_FORCE,
    CONFIGURATION_ROW_INVALID,
    CONFIGURATION_ROWS_APPLIED,
)
from bramblebeam.kernel import Kernel

logger = logging.getLogger(__name__)

ROWS_LOGGED_SINGLY = 20
"""Further rows of a batch, as at the start, are logged as a count only."""

SHARE_OF_TIME = 0.05
"""Maximum share of the node's time that is spent on building views in a burst of edits."""


class ViewPublisher:
    """Brings rows into force; in a burst, several rows in one view."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._builder = ViewBuilder()
        self._pending: list[Row] = []
        self._ready = False
        self._next_publish_at = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def apply(self, rows: tuple[Row, ...]) -> None:
        """Bring rows into force now, or once SHARE_OF_TIME allows building another view."""
        self._pending += rows
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            return
        if loop.time() >= self._next_publish_at:
            self._publish()
        else:
            self._timer = loop.call_at(self._next_publish_at, self._publish)

    def begin(self) -> None:
        """Start publishing: the node may serve traffic by the rows."""
        self._ready = True
        self._publish()

    def close(self) -> None:
        """Stop publishing."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _publish(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._timer = None
        rows, self._pending = self._pending, []
        if rows:
            self._build(rows)
        if self._ready:
            self._kernel.publish(ConfigurationChanged(self._builder.view))
        now = loop.time()
        self._next_publish_at = now + (now - started_at) / SHARE_OF_TIME

    def _build(self, rows: list[Row]) -> None:
        for invalid in self._builder.apply(rows):
            kind, name = invalid.row.key
            log_event(
                logger,
                CONFIGURATION_ROW_INVALID,
                kind=kind,
                name=name,
                version=invalid.row.version,
                error=invalid.detail,
            )
        version = self._builder.view.version
        log_event(logger, CONFIGURATION_ROWS_APPLIED, rows=len(rows), version=version)
        for row in rows[:ROWS_LOGGED_SINGLY]:
            kind, name = row.key
            log_event(logger, CONFIGURATION_ROW_IN_FORCE, kind=kind, name=name, version=row.version)
