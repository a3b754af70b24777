"""Sums over records that are read one by one; memory is bounded whatever is read."""
