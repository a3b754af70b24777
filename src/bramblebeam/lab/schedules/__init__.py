"""Random schedules of faults: the watchers' machines against the members' own, in virtual time."""
