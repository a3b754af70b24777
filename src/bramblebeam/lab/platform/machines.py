"""The platform's list of live and leaving machines, with its history for stale reads."""

from typing import Any, Literal

from pydantic import BaseModel, ConfigDict


class Machine(BaseModel):
    """One machine that runs a node."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    node: str
    zone: str
    host: str
    port: int
    state: Literal["live", "leaving"] = "live"


class MachineList:
    """All versions of the list, each with the time (seconds, monotonic) at which it was set."""

    def __init__(self) -> None:
        self._versions: list[tuple[float, tuple[Machine, ...]]] = []

    def set(self, machines: list[Machine], now: float) -> None:
        """Replace the list at time `now`."""
        self._versions.append((now, tuple(machines)))

    def at(self, moment: float) -> tuple[Machine, ...]:
        """Return the list as of `moment`, or the first version if `moment` precedes it."""
        result: tuple[Machine, ...] = self._versions[0][1] if self._versions else ()
        for set_at, machines in self._versions:
            if set_at <= moment:
                result = machines
        return result

    def as_objects(self, moment: float) -> list[dict[str, Any]]:
        """Return the list as of `moment` as JSON values."""
        return [machine.model_dump() for machine in self.at(moment)]
