"""The callers of a run: sessions over a real MySQL driver, and an open-loop schedule."""

from bramblebeam.lab.load.generator import LoadGenerator

__all__ = ["LoadGenerator"]
