"""The adapter to the users' platform: it translates, and decides nothing.

Nothing outside this package knows the names that the platform uses.
"""
