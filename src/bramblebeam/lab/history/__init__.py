"""What callers, back ends and nodes saw during a run, recorded as facts with their times."""

from bramblebeam.lab.history.records import Record
from bramblebeam.lab.history.store import History, read_history, write_history

__all__ = ["History", "Record", "read_history", "write_history"]
