"""Timestamped observations of callers, back ends and nodes during a run."""

from bramblebeam.lab.history.records import Record
from bramblebeam.lab.history.store import History, read_history, write_history

__all__ = ["History", "Record", "read_history", "write_history"]
