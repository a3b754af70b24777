"""Counters and latency histograms of the gateway, as text for a metrics address."""

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest

_BUCKETS = (0.005, 0.01, 0.02, 0.04, 0.08, 0.15, 0.3, 0.6, 1.0, 2.0, 4.0)
"""Seconds."""


class GatewayMetrics:
    """What one node counts. The label sets are bounded: enumerations only."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = Counter(
            "bramblebeam_requests",
            "Statements answered.",
            ("consistency", "action", "outcome"),
            registry=self.registry,
        )
        self._seconds = Histogram(
            "bramblebeam_request_seconds",
            "Time from a statement's arrival to its answer.",
            ("consistency", "action"),
            buckets=_BUCKETS,
            registry=self.registry,
        )
        self._attempts = Counter(
            "bramblebeam_failed_attempts",
            "Attempts at a database that did not serve a statement.",
            ("reason",),
            registry=self.registry,
        )
        self._leaders = Counter(
            "bramblebeam_leader_changes",
            "Times that another leader of a group was proven.",
            registry=self.registry,
        )

    def answered(self, consistency: str, action: str, outcome: str, seconds: float) -> None:
        """Count one statement."""
        self._requests.labels(consistency, action, outcome).inc()
        self._seconds.labels(consistency, action).observe(seconds)

    def attempt_failed(self, reason: str) -> None:
        """Count one attempt in vain."""
        self._attempts.labels(reason).inc()

    def leader_changed(self) -> None:
        """Count one change of a group's leader as this node saw it."""
        self._leaders.inc()

    def text(self) -> bytes:
        """Return every figure in the text format of Prometheus."""
        return generate_latest(self.registry)
