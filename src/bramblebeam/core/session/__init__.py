"""A caller's session: its causal token, its transaction and its settings."""
