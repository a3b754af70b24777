"""The edge service: serves the callers' MySQL connections of a node."""
