"""A stand-in database group: a replicated log, rows in SQLite, and a MySQL listener."""
