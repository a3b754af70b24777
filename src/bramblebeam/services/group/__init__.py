"""The group service: watches database groups and changes their primaries."""
