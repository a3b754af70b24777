"""The callers' side of a node."""
