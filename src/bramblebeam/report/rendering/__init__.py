"""Presents a report as tables and as an HTML page with plots."""
