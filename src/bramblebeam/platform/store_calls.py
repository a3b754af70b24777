"""Counts this node's calls to the platform's store and logs them periodically.

The store limits the rate of calls from all nodes together, and each call is charged. If there are
too many, the logged counts show which calls a node makes.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter

from bramblebeam.events import log_event
from bramblebeam.events.catalogue import STORE_CALLED

logger = logging.getLogger(__name__)

REPORT_INTERVAL = 5.0
"""Seconds between log lines; none is written without a call. Long enough to cost next to nothing,
short enough to separate the calls of a start from later ones."""


class StoreCallCounter:
    """Counts calls since the last report, by operation and kind of object."""

    def __init__(self) -> None:
        self._counts: Counter[str] = Counter()
        self._failed = 0

    def record_call(self, call: str, kind: str) -> None:
        """Count a call; `call`: the operation, `kind`: the kind of the objects."""
        self._counts[f"{call} {kind}"] += 1

    def record_failure(self) -> None:
        """Count a call that got no answer or was rejected."""
        self._failed += 1

    def report(self) -> None:
        """Log the counts since the last report and reset them."""
        if not self._counts:
            return
        log_event(logger, STORE_CALLED, calls=dict(self._counts), failed=self._failed)
        self._counts.clear()
        self._failed = 0

    async def report_periodically(self) -> None:
        """Report every REPORT_INTERVAL seconds until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            self.report()
