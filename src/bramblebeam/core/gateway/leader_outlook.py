"""Whether a statement should wait for its group's next leader, or is refused at once.

A change of primary takes a second or two, so a statement waits for it. In a group with synchronous
replicas a change may wait for a log that holds acknowledged commits, for as long as that takes.
Times are seconds of the monotonic clock.
"""

PATIENCE_SECONDS = 3.0
"""How long statements wait for the leader of a synchronous group if another node may replace it."""


class LeaderOutlook:
    """What one node knows of a group's next leader. `awaited_logs`: logs that its change awaits."""

    def __init__(self) -> None:
        self.awaited_logs = 0
        self._used_since = float("-inf")

    def record_first_use(self, now: float) -> None:
        """Record that the group is used again, so that its leader is only now searched for."""
        self._used_since = now

    def expects_leader(self, missing_since: float | None, synchronous: bool, now: float) -> bool:
        """Whether a leader can be expected soon. `missing_since`: None if it has just been lost."""
        if self.awaited_logs:
            return False
        if missing_since is None or not synchronous:
            return True
        return now - max(missing_since, self._used_since) < PATIENCE_SECONDS
