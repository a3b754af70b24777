"""Judges a recorded history by the system's invariants. Shares no logic with what it judges."""

from bramblebeam.lab.judge.judge import INVARIANTS, counts, examined, judge
from bramblebeam.lab.judge.violation import Violation

__all__ = ["INVARIANTS", "Violation", "counts", "examined", "judge"]
