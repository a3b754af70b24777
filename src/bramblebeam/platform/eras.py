"""Era of the platform's store (how often it was restored from a backup), sent with its answers."""

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
_MAX_ERA_DIGITS = 10
"""Longer numbers are rejected unread."""
_MAX_LOGGED_CHARS = 40
"""Characters of the header that are logged: an invalid value may be long."""


class EraFormatError(ValueError):
    """An answer's era is invalid or outdated; the whole answer is discarded."""


class StoreEras:
    """Tracks the newest era that an answer to this node reported.

    An answer with an older era was delayed and is rejected. If the newest era is not reported again
    for ERA_EXPIRY_SECONDS, it was wrong and an older one replaces it: a single bad answer must not
    make the store unusable. `now`: the monotonic clock (seconds).
    """

    def __init__(self, now: Callable[[], float] = loop_time) -> None:
        self.newest = FIRST_ERA
        self._now = now
        self._newest_reported_at = float("-inf")

    def observe(self, answer: HttpAnswer, call: str) -> None:
        """Record the era of the answer to a call. Raises EraFormatError, after logging it."""
        try:
            era = parse_era(answer)
            if era < self.newest and self._now() - self._newest_reported_at < ERA_EXPIRY_SECONDS:
                raise EraFormatError("the era is outdated")
        except EraFormatError:
            reported = (answer.header(_ERA_HEADER) or "")[:_MAX_LOGGED_CHARS]
            log_event(logger, STORE_ERA_UNUSABLE, era=reported, known_era=self.newest, call=call)
            raise
        self.newest = era
        self._newest_reported_at = self._now()


def parse_era(answer: HttpAnswer) -> int:
    """Return the era in an answer's header, by default FIRST_ERA. Raises EraFormatError."""
    reported = answer.header(_ERA_HEADER)
    if reported is None:
        return FIRST_ERA
    is_number = reported.isascii() and reported.isdigit() and len(reported) <= _MAX_ERA_DIGITS
    if not is_number or int(reported) > HIGHEST_ERA:
        raise EraFormatError("the era is not a number in the allowed range")
    return int(reported)
