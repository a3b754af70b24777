"""Stand-ins of the users' platform: databases with asynchronous logs, store, promotions."""
