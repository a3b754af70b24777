"""Ownership: which node owns a back-end instance's connections, a group, a reader's role."""
