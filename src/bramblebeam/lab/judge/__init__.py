"""Checks a recorded history against the system's invariants. Shares no code with the product."""

from bramblebeam.lab.judge.judge import INVARIANTS, count_violations, examined, judge
from bramblebeam.lab.judge.violation import Violation

__all__ = ["INVARIANTS", "Violation", "count_violations", "examined", "judge"]
