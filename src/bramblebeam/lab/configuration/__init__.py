"""A trial of the configuration relay in virtual time: many nodes, edits, and faults."""
