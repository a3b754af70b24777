"""Adapters for external protocols: MySQL clients and back ends, the platform's object API, and the
administration API."""
