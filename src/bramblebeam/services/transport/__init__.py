"""The transport between nodes."""
