"""The admin service: the administration API, the audit log, and metrics."""
