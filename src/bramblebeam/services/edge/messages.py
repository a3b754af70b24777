"""Messages that other services of a node send to the edge."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class EdgeStatusRequest:
    """Requests the edge's counters; the reply is an `EdgeStatus`."""


@dataclass(frozen=True, slots=True)
class EdgeStatus:
    """Counters of callers' connections and statements since the node started.

    `refusals` counts statements and connections refused, by reason in lower case.
    """

    connections: int
    in_flight: int
    statements: int
    refusals: Mapping[str, int] = field(default_factory=dict)
