"""Fault settings and statistics of the stand-in platform."""

from pydantic import BaseModel, ConfigDict, Field


class Faults(BaseModel):
    """The active faults. All are off by default.

    `down`: abort every request before it takes effect. `slow_ms`: delay before each request.
    `lose_answers`: number of next writes that take effect but get no response. `watch_silent`:
    watches stay open but send nothing. `machine_lag_s`: age of the machine list that is served.
    """

    model_config = ConfigDict(extra="forbid", validate_assignment=True)

    down: bool = False
    slow_ms: int = Field(default=0, ge=0, le=600_000)
    lose_answers: int = Field(default=0, ge=0)
    watch_silent: bool = False
    machine_lag_s: float = Field(default=0.0, ge=0.0)


class Statistics(BaseModel):
    """Counters since the start, and the number of watches open now."""

    requests: int = 0
    writes: int = 0
    lists: int = 0
    watches_started: int = 0
    watches_open: int = 0
    watches_open_peak: int = 0
    answers_lost: int = 0
    version: int = 0
