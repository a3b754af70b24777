"""Random fault schedules in virtual time for the state machines of watchers and group members."""
