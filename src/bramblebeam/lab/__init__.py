"""The test lab: simulated dependencies, simulator, load, faults, history checks; not in nodes."""
