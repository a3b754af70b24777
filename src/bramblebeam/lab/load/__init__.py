"""The callers of a run: an open-loop load generator with sessions over a real MySQL driver."""

from bramblebeam.lab.load.generator import LoadGenerator

__all__ = ["LoadGenerator"]
