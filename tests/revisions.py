"""Constructor of store revisions for tests."""

from bramblebeam.core.revision import Revision


def at(number: int, era: int = 0) -> Revision:
    """Return the revision with this number, by default in the first era."""
    return Revision(era, number)
