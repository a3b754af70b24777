"""The result of a run: what is measured, as one JSON object."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field


class _Part(BaseModel):
    model_config = ConfigDict(extra="forbid")


class Delays(_Part):
    """Times in milliseconds. None: nothing was measured."""

    p50: float | None = None
    p99: float | None = None
    max: float | None = None
    count: int = 0


class Errors(_Part):
    """Statements that ended in an error, by verdict; `lost`: without any answer."""

    not_run: int = 0
    ran: int = 0
    unknown: int = 0
    lost: int = 0


class ControlCost(_Part):
    """What a node spends while it serves no traffic. None: not measured in this mode."""

    cpu_percent_per_node: float | None = None
    bytes_per_second_per_node: float | None = None
    rss_mb_per_node: float | None = None


class FaultSpan(_Part):
    """A fault, in seconds from the start of the load."""

    kind: str
    target: str
    begin: float
    end: float | None = None


class TimeBin(_Part):
    """One interval of the run. `start`: seconds from the start of the load."""

    start: float
    requests: int = 0
    errors: int = 0
    p50_ms: float | None = None
    p99_ms: float | None = None
    replica_read_share: float | None = None


class EditSpread(_Part):
    """One accepted edit: when, and how long until each node had it in force (milliseconds)."""

    at: float
    row: str
    version: int
    delays_ms: dict[str, float] = Field(default_factory=dict)


class RunResult(_Part):
    """One run of one scenario."""

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
        """Return how many violations there were of all invariants."""
        return sum(self.invariant_violations.values())
