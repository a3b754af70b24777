"""Parses log lines and metrics texts; lines of other programs are recognised and skipped."""
