"""Benchmark of a node: statements per second and core, added latency, memory per connection."""

from bramblebeam.lab.bench.cli import application

__all__ = ["application"]
