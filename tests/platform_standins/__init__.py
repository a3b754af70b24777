"""Stand-ins for outside systems: databases with asynchronous replication, store, promotions."""
