"""A statement in progress, and where it is."""

from __future__ import annotations

from enum import Enum

from bramblebeam.core.gateway.statements import Action
from bramblebeam.services.gateway.request import Request


class Stage(Enum):
    """Where a statement is. The value is logged."""

    WAITING = "waiting"
    """Neither a database nor another node has received it."""
    PASSED_ON = "passed on"
    """Another node has received it; it may have passed it to a database."""
    AT_DATABASE = "at a database"


class RunningStatement:
    """A statement in progress. `request`: None until it is created.

    `arrived`: monotonic clock, seconds.
    """

    def __init__(self, identifier: str, action: Action, arrived: float) -> None:
        self.identifier = identifier
        self.action = action
        self.arrived = arrived
        self.request: Request | None = None

    @property
    def stage(self) -> Stage:
        """Where the statement is."""
        if self.request is None:
            return Stage.WAITING
        if self.request.at_database:
            return Stage.AT_DATABASE
        return Stage.PASSED_ON if self.request.passed_on else Stage.WAITING
