"""What other services of a node ask the edge."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class EdgeStatusRequest:
    """Ask for the edge's counters; the answer is an `EdgeStatus`."""


@dataclass(frozen=True, slots=True)
class EdgeStatus:
    """Counters of the callers' side since the node started.

    `refusals` counts statements and connections refused, by reason in lower case.
    """

    connections: int
    in_flight: int
    statements: int
    refusals: Mapping[str, int] = field(default_factory=dict)
