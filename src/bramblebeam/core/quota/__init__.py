"""Limits of tenants over all nodes, without I/O."""
