"""Membership: who is in the system, by SWIM-style probing within a zone."""
