"""Exposes the transport's counters of traffic between nodes."""

from collections.abc import Iterator, Mapping

from prometheus_client import Metric
from prometheus_client.core import CounterMetricFamily
from prometheus_client.registry import Collector

from bramblebeam.services.transport.traffic import PeerTraffic, TrafficCount

LABELS = ("direction", "message")


class TrafficCounters(Collector):
    """Exposes messages and bytes by direction and message type, a small fixed set."""

    def __init__(self) -> None:
        self.latest: PeerTraffic | None = None

    def collect(self) -> Iterator[Metric]:
        """Yield the counters as last read."""
        if self.latest is None:
            return
        messages = CounterMetricFamily(
            "bramblebeam_peer_messages", "Messages between nodes.", labels=LABELS
        )
        octets = CounterMetricFamily(
            "bramblebeam_peer_bytes", "Bytes of messages between nodes.", labels=LABELS
        )
        directions = (("sent", self.latest.sent), ("received", self.latest.received))
        for direction, counts in directions:
            _add(messages, octets, direction, counts)
        yield messages
        yield octets


def _add(
    messages: CounterMetricFamily,
    octets: CounterMetricFamily,
    direction: str,
    counts: Mapping[type, TrafficCount],
) -> None:
    for message_type, count in counts.items():
        labels = [direction, message_type.__name__]
        messages.add_metric(labels, count.messages)
        octets.add_metric(labels, count.octets)
