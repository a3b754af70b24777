"""The gateway service: callers' sessions on shared database connections."""
