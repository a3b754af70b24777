"""Runs the whole system in one process, in virtual time, over a simulated network.

Nodes, database members, the platform and callers run their own code unchanged on an event loop
whose clock jumps from one event to the next. Only the network, the clocks and the random sources
are simulated; all of them follow from one seed.
"""
