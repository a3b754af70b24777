"""The stand-in database group: a replicated log, rows in SQLite, and MySQL connections."""
