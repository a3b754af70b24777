"""Checks a recorded history against the system's invariants. Shares no code with the product."""

from bramblebeam.lab.judge.judge import INVARIANTS, count_observations, count_violations, judge
from bramblebeam.lab.judge.violation import Violation

__all__ = ["INVARIANTS", "Violation", "count_observations", "count_violations", "judge"]
