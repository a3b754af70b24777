"""Adapters to the outside: callers, back ends, the platform, operators."""
