"""Faults put into the product's code at run time, each of which the judge must report."""


def apply_mutation(name: str) -> None:
    """Put one mutation in force in this process; an empty name: none."""
    if name:
        raise KeyError(name)
