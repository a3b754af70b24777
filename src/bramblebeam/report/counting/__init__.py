"""Aggregates records as they are read; memory is bounded whatever the input."""
