"""The era that an answer of the platform's store tells: how often it came back from a copy."""

from __future__ import annotations

import logging
from collections.abc import Callable

from bramblebeam.core.revision import ERA_EXPIRY_SECONDS, FIRST_ERA, HIGHEST_ERA
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import STORE_ERA_UNUSABLE
from bramblebeam.platform.http import HttpAnswer
from bramblebeam.services.waiting import loop_time

logger = logging.getLogger(__name__)

_ERA_HEADER = "store-era"
_MOST_DIGITS = 10
"""Longer numbers are not worth being read."""
_MAXIMUM_TOLD = 40
"""Characters of a header that are logged: what is no era may be long."""


class EraFormatError(ValueError):
    """An answer tells an era that is none, or one that is over: nothing of it counts."""


class StoreEras:
    """The newest era that any answer to this node told; one that tells an older one comes late.

    If all tell an older one for ERA_EXPIRY_SECONDS the newest was none: a single bad answer must
    not make the store unusable. `now`: the steady clock (seconds).
    """

    def __init__(self, now: Callable[[], float] = loop_time) -> None:
        self.newest = FIRST_ERA
        self._now = now
        self._told_at = float("-inf")

    def observe(self, answer: HttpAnswer, call: str) -> None:
        """Note the era of the answer to a call. Raises EraFormatError, logged."""
        try:
            era = parse_era(answer)
            if era < self.newest and self._now() - self._told_at < ERA_EXPIRY_SECONDS:
                raise EraFormatError("the era is over")
        except EraFormatError:
            told = (answer.header(_ERA_HEADER) or "")[:_MAXIMUM_TOLD]
            log_event(logger, STORE_ERA_UNUSABLE, era=told, known_era=self.newest, call=call)
            raise
        self.newest = era
        self._told_at = self._now()


def parse_era(answer: HttpAnswer) -> int:
    """Return the era that an answer tells. Raises EraFormatError where that is none."""
    told = answer.header(_ERA_HEADER)
    if told is None:
        return FIRST_ERA
    is_number = told.isascii() and told.isdigit() and len(told) <= _MOST_DIGITS
    if not is_number or int(told) > HIGHEST_ERA:
        raise EraFormatError("the era is no number in range")
    return int(told)
