"""Runs the program with one mutation in force: `python -m bramblebeam.lab.mutant NAME node …`.

A run of mutated nodes shows that the judge sees the fault; nothing of it is in the product.
"""

import sys

from bramblebeam.cli.main import application
from bramblebeam.lab.simulator.mutations import apply_mutation


def main() -> None:
    """Put the mutation of the first argument in force, then run the rest as the program."""
    apply_mutation(sys.argv[1])
    application(sys.argv[2:])


if __name__ == "__main__":
    main()
