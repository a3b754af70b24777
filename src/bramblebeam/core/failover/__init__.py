"""Decides on changes of primary that an external service carries out on request."""
