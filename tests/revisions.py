"""Revisions of the store in tests."""

from bramblebeam.core.revision import Revision


def at(number: int, era: int = 0) -> Revision:
    """Return a change of the store by its number, in the first era where nothing else is said."""
    return Revision(era, number)
