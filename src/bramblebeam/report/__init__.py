"""Builds a report on a run from the logs and metrics of many nodes.

`reading` parses lines into records, `counting` aggregates them, `rendering` presents the result.
"""
