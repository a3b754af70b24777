"""What a node costs: statements a second and a core, added latency, memory of a connection."""

from bramblebeam.lab.bench.cli import application

__all__ = ["application"]
