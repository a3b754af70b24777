"""A stand-in for the platform object store, with versions, conflicts, watches and faults."""
