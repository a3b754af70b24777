"""A caller's session: its causal token, transaction and settings."""
