"""Callers' sessions on shared database connections."""
