"""The report over a run: what the logs and metrics of many nodes tell together.

`reading` turns lines into records, `counting` adds them up, `rendering` shows the sums.
"""
