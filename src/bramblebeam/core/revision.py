"""Revisions of the platform's store, totally ordered across its restores from backup."""

from dataclasses import dataclass
from typing import NamedTuple

FIRST_ERA = 0
"""Era of a store that was never restored from a backup, or that reports no era."""
HIGHEST_ERA = 8_191
"""Higher eras are rejected as erroneous: with daily restores this one is reached after 22 years."""
_NUMBER_BITS = 40
"""Enough for 87 years at 400 changes a second. Together with the era the number stays below 2**53,
up to which doubles represent integers exactly."""
HIGHEST_NUMBER = (1 << _NUMBER_BITS) - 1
"""Higher numbers of the change counter are rejected as erroneous."""


class Revision(NamedTuple):
    """Identifies a change of the store; ordered by era, then by the store's change counter.

    A store that is restored from a backup continues counting from the backup and so assigns some
    numbers again. Each restore increments the era, so that later changes still compare as later.
    """

    era: int
    number: int

    def __str__(self) -> str:
        """Return the form used in logs: `era.number`."""
        return f"{self.era}.{self.number}"

    @property
    def as_number(self) -> int:
        """The revision as an order-preserving integer; in the first era equal to `number`."""
        return self.era << _NUMBER_BITS | self.number


@dataclass(frozen=True, slots=True)
class StoreEraBegan:
    """Published when a restore of the store from a backup is detected."""

    era: int


ERA_EXPIRY_SECONDS = 10.0
"""An era that no source has reported for this long, while others report an earlier one, is
considered erroneous. A lagging peer or connection learns of a restore within 4 s."""
NO_REVISION = Revision(FIRST_ERA, 0)
"""Precedes every change: any later report supersedes it."""
