"""A stand-in for the platform's object store: versions, conflicts, watches, and faults."""
