"""A simulated database group: a replicated log, rows in SQLite, and a MySQL listener."""
