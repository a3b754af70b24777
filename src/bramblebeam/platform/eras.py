"""The eras of the platform's store: how often it has come back from a copy of itself.

The store counts its changes in revisions. After a restore the count goes on from that of the copy,
so that numbers are given out again; the era, which all answers tell, says which count one is of.
"""

from __future__ import annotations

import asyncio
import logging

from bramblebeam.events import log_event
from bramblebeam.events.catalogue import STORE_ERA_BEGAN, STORE_ERA_UNUSABLE
from bramblebeam.platform.http import HttpAnswer

logger = logging.getLogger(__name__)

ERA_HEADER = "store-era"
FIRST_ERA = 0
"""That of a store which never came back from a copy, or does not tell."""
HIGHEST_ERA = 8_191
"""A higher one is taken for a mistake: a store restored daily reaches it after 22 years."""
_MOST_DIGITS = 10
"""Longer numbers are not worth being read."""
MAXIMUM_TOLD = 40
"""Characters of a header that are logged: what is no era may be long."""


class StoreEras:
    """The newest era that any answer to this node told."""

    def __init__(self) -> None:
        self.newest = FIRST_ERA
        self._heard_at: float | None = None

    def note(self, answer: HttpAnswer, call: str) -> None:
        """Note the era of the answer to a call."""
        era = _era_of(answer)
        if era is None or era < self.newest:
            told = (answer.header(ERA_HEADER) or "")[:MAXIMUM_TOLD]
            log_event(logger, STORE_ERA_UNUSABLE, era=told, known_era=self.newest, call=call)
            return
        now = asyncio.get_running_loop().time()
        if era > self.newest:
            silence = None if self._heard_at is None else round((now - self._heard_at) * 1_000)
            log_event(logger, STORE_ERA_BEGAN, era=era, former_era=self.newest, silence_ms=silence)
            self.newest = era
        self._heard_at = now


def _era_of(answer: HttpAnswer) -> int | None:
    """Return the era that an answer tells, None where what it tells is none."""
    told = answer.header(ERA_HEADER)
    if told is None:
        return FIRST_ERA
    is_number = told.isascii() and told.isdigit() and len(told) <= _MOST_DIGITS
    if not is_number or int(told) > HIGHEST_ERA:
        return None
    return int(told)
