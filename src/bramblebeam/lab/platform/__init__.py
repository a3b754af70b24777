"""A simulated platform object store with versions, conflicts, watches and injected faults."""
