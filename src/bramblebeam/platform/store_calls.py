"""Counts this node's calls to the platform's store, and logs them from time to time.

The store bears a bounded rate of calls from all nodes together, and each is priced: which ones a
node makes is the first thing to look at where there are too many.
"""

from __future__ import annotations

import asyncio
import logging
from collections import Counter

from bramblebeam.events import log_event
from bramblebeam.events.catalogue import STORE_CALLED

logger = logging.getLogger(__name__)

REPORT_INTERVAL = 5.0
"""Seconds between two lines; a node that made no call writes none. Long enough to cost nothing,
short enough to tell a start from what follows."""


class StoreCallCounter:
    """The calls since the last report, by what was asked of which kind of object."""

    def __init__(self) -> None:
        self._made: Counter[str] = Counter()
        self._failed = 0

    def record_call(self, call: str, kind: str) -> None:
        """Count a call; `call`: what was asked, `kind`: the kind of the objects."""
        self._made[f"{call} {kind}"] += 1

    def failed(self) -> None:
        """Count a call that got no answer, or was turned away."""
        self._failed += 1

    def report(self) -> None:
        """Log what was counted since the last report, and begin anew."""
        if not self._made:
            return
        log_event(logger, STORE_CALLED, calls=dict(self._made), failed=self._failed)
        self._made.clear()
        self._failed = 0

    async def report_regularly(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
            self.report()
