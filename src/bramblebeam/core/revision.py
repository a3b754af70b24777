"""The order of what the platform's store was told, over all its eras."""

from dataclasses import dataclass
from typing import NamedTuple

FIRST_ERA = 0
"""That of a store which never came back from a copy of itself, or does not tell."""
HIGHEST_ERA = 8_191
"""A higher one is taken for a mistake: a store restored daily reaches it after 22 years."""
_NUMBER_BITS = 40
"""A count of 400 changes a second needs so many for 87 years; with the era they stay below 2**53,
up to which every reader of numbers is exact."""


class Revision(NamedTuple):
    """One change of the store: ordered by the era, then by the store's count of changes.

    A store that comes back from a copy counts on from the copy, so that numbers are given out
    again. Its era rises then: what is written later is later in this order, too.
    """

    era: int
    number: int

    def __str__(self) -> str:
        """Return the revision as logs show it."""
        return f"{self.era}.{self.number}"

    @property
    def as_number(self) -> int:
        """One number with the same order; in the first era it is the store's own."""
        return self.era << _NUMBER_BITS | self.number


@dataclass(frozen=True, slots=True)
class StoreEraBegan:
    """Published when the store was found to have come back from a copy."""

    era: int


ERA_EXPIRY_SECONDS = 10.0
"""An era of which nobody told for so long, while others tell of a former one, is taken for a
mistake. A peer or a connection that is behind learns of a restore within 4 s."""
NO_REVISION = Revision(FIRST_ERA, 0)
"""Before any change: what is told later counts whatever it says."""
