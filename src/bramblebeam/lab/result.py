"""The result of a run, printed as one JSON object."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field


class _Part(BaseModel):
    model_config = ConfigDict(extra="forbid")


class Delays(_Part):
    """Percentiles and maximum of times in milliseconds. None: no measurements."""

    p50: float | None = None
    p99: float | None = None
    max: float | None = None
    count: int = 0


class Errors(_Part):
    """Number of failed statements by verdict; `lost`: without an answer."""

    not_run: int = 0
    ran: int = 0
    unknown: int = 0
    lost: int = 0


class ControlCost(_Part):
    """Mean resource usage of a node without load. None: not measured."""

    cpu_percent_per_node: float | None = None
    bytes_per_second_per_node: float | None = None
    rss_mb_per_node: float | None = None


class FaultSpan(_Part):
    """A fault's begin and end in seconds from the start of the load; `end` None: still active."""

    kind: str
    target: str
    begin: float
    end: float | None = None


class TimeBin(_Part):
    """Measures of one interval of the run. `start`: seconds from the start of the load."""

    start: float
    requests: int = 0
    errors: int = 0
    p50_ms: float | None = None
    p99_ms: float | None = None
    replica_read_share: float | None = None


class EditSpread(_Part):
    """An accepted edit and, per node, the time until it was in force (milliseconds)."""

    at: float
    row: str
    version: int
    delays_ms: dict[str, float] = Field(default_factory=dict)


class RunResult(_Part):
    """The result of one run of a scenario."""

    scenario: str
    seed: int
    mode: Literal["processes", "simulator"]
    nodes: int
    statements: int
    invariant_violations: dict[str, int]
    replica_read_share: float | None = None
    failover_gap_ms: list[float] = Field(default_factory=list)
    config_in_force_ms: Delays = Delays()
    latency_ms: Delays = Delays()
    errors: Errors = Errors()
    control: ControlCost = ControlCost()
    duration_seconds: float = 0.0
    moves: int = 0
    examined: dict[str, int] = Field(default_factory=dict)
    reasons: dict[str, int] = Field(default_factory=dict)
    primary_changes: dict[str, int] = Field(default_factory=dict)
    faults: list[FaultSpan] = Field(default_factory=list)
    faults_not_injected: list[str] = Field(default_factory=list)
    bins: list[TimeBin] = Field(default_factory=list)
    edits: list[EditSpread] = Field(default_factory=list)
    conflicts_shown: int = 0
    violations: list[str] = Field(default_factory=list)

    @property
    def violated(self) -> int:
        """Return the total number of invariant violations."""
        return sum(self.invariant_violations.values())
