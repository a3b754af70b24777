"""Ownership: which node owns an instance's connections, a group or a reader's role."""
