"""The order of what happens in the tests' own process: a number for each moment, no two alike.

Clocks may tie or jump. What has the lower number came first.
"""

import itertools

_moments = itertools.count(1)


def next_moment() -> int:
    """Return the number of this moment."""
    return next(_moments)
