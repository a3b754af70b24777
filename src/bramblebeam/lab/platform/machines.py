"""The platform's list of live and leaving machines, as old as the lag it is told to have."""

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
    """Versions of the list with the time (seconds, monotonic) each was set."""

    def __init__(self) -> None:
        self._versions: list[tuple[float, tuple[Machine, ...]]] = []

    def set(self, machines: list[Machine], now: float) -> None:
        """Replace the list at time `now`."""
        self._versions.append((now, tuple(machines)))

    def at(self, moment: float) -> tuple[Machine, ...]:
        """Return the list as it stood at `moment`; the first one if `moment` is before all."""
        found: tuple[Machine, ...] = self._versions[0][1] if self._versions else ()
        for set_at, machines in self._versions:
            if set_at <= moment:
                found = machines
        return found

    def as_objects(self, moment: float) -> list[dict[str, Any]]:
        """Return the list at `moment` as JSON values."""
        return [machine.model_dump() for machine in self.at(moment)]
