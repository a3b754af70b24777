"""Settings: a TOML file and flags, checked before anything starts."""
