"""What the stand-in platform is told to do wrong."""

from pydantic import BaseModel, ConfigDict, Field


class Faults(BaseModel):
    """The faults in force. All off by default.

    `down`: every request is cut before it takes effect. `slow_ms`: each answer is late by this.
    `lose_answers`: this many of the next writes take effect and then lose their answer.
    `watch_silent`: watches stay open and tell nothing. `machine_lag_s`: age of the machine list.
    """

    model_config = ConfigDict(extra="forbid", validate_assignment=True)

    down: bool = False
    slow_ms: int = Field(default=0, ge=0, le=600_000)
    lose_answers: int = Field(default=0, ge=0)
    watch_silent: bool = False
    machine_lag_s: float = Field(default=0.0, ge=0.0)


class Statistics(BaseModel):
    """Counters since the start, and the watches that are open now."""

    requests: int = 0
    writes: int = 0
    lists: int = 0
    watches_started: int = 0
    watches_open: int = 0
    watches_open_peak: int = 0
    answers_lost: int = 0
    version: int = 0
