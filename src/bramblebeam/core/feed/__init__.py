"""Decisions on who reads the store, and the lists that nodes tell each other."""
