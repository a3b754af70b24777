"""Where a statement goes."""
