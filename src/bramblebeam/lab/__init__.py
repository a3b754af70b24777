"""The laboratory: stand-ins, simulator, load, faults and the judge. Not part of a node."""
