"""A caller's session: its causal tokens, transaction and requests."""
