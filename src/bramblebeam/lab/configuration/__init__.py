"""Simulation of the configuration relay in virtual time, with many nodes, edits and faults."""
