"""Counters and histograms that services update; the admin service exposes them.

Label values come from small fixed sets, never from caller input.
"""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    disable_created_metrics,
)

disable_created_metrics()  # type: ignore[no-untyped-call]

REGISTRY = CollectorRegistry()

READS = Counter(
    "bramblebeam_reads",
    "Reads outside transactions answered, by the role of the back end that served them.",
    ["role"],
    registry=REGISTRY,
)
"""`role` is `replica` or `primary`; the share of reads served by replicas is derived from it."""

REPLICA_READS = READS.labels("replica")
PRIMARY_READS = READS.labels("primary")

PRIMARY_CHANGE_SECONDS = Histogram(
    "bramblebeam_primary_change_seconds",
    "Time from the suspicion of a primary to the promotion of its successor by this node.",
    buckets=(0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0),
    registry=REGISTRY,
)

ROW_EDITS = Counter(
    "bramblebeam_row_edits",
    "Edits of rows asked at this node, by their end.",
    ["outcome"],
    registry=REGISTRY,
)
