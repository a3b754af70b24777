"""Runs the program with one mutation applied: `python -m bramblebeam.lab.mutant NAME node …`.

Runs with mutated nodes verify that the judge detects the defect. Not part of the product.
"""

import sys

from bramblebeam.cli.main import application
from bramblebeam.lab.simulator.mutations import apply_mutation


def main() -> None:
    """Apply the mutation named by the first argument, then run the program with the others."""
    apply_mutation(sys.argv[1])
    application(sys.argv[2:])


if __name__ == "__main__":
    main()
