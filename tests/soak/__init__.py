"""A randomized fault soak: the deployed role's nodes between callers and stand-ins, judged."""
