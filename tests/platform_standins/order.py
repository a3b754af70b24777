"""Sequence numbers that order the events in the test process.

A clock may give equal times or jump; of two events, the one with the lower number came first.
"""

import itertools

_moments = itertools.count(1)


def next_sequence() -> int:
    """Return the next sequence number."""
    return next(_moments)
