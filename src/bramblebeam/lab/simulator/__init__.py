"""Deterministic simulation: the whole system in one process, in virtual time.

Nodes, database members, the platform and callers run their real code on an event loop whose clock
jumps from one event to the next. Only the network, the clocks and the random sources are simulated,
and all of them are determined by one seed.
"""
