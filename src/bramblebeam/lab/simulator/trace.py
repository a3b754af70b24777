"""Human-readable trace of a simulation."""

from __future__ import annotations

from typing import Any

from bramblebeam.events.catalogue import SERVICE_FAILED, SERVICE_GAVE_UP
from bramblebeam.lab.history.records import FaultInjected, RequestAnswered, RequestSent
from bramblebeam.lab.simulator.loop import START_TIME
from bramblebeam.lab.simulator.run import Simulation

_FAILURES = tuple(f"[{event.number}]" for event in (SERVICE_FAILED, SERVICE_GAVE_UP))


def first_service_failure(simulation: Simulation) -> str:
    """Return the first event that reports a failed service, or an empty string."""
    for time, host, text in simulation.events:
        if text.startswith(_FAILURES):
            return f"{time - START_TIME:.3f} {host} {text}"
    return ""


def format_trace(simulation: Simulation) -> list[str]:
    """Return faults, events and requests involved in violations by time, then the violations."""
    involved = {
        record.request
        for violation in simulation.violations
        for record in violation.records
        if isinstance(record, RequestSent | RequestAnswered)
    }
    lines = [(time, f"{host}: {text}") for time, host, text in simulation.events]
    for record in simulation.history:
        if isinstance(record, FaultInjected):
            verb = "begins" if record.begins else "ends"
            lines.append((record.time, f"FAULT {record.fault} {record.target} {verb}"))
        elif isinstance(record, RequestSent | RequestAnswered) and record.request in involved:
            lines.append((record.time, _request_line(record)))
    lines.sort(key=lambda line: line[0])
    trace = [f"{time - START_TIME:9.4f} {text}" for time, text in lines]
    for violation in simulation.violations:
        trace.append(f"VIOLATION {violation.invariant}: {violation.detail}")
        trace += [f"    {record}" for record in violation.records]
    return trace


def _request_line(record: Any) -> str:
    if isinstance(record, RequestSent):
        what = f"{record.operation} {record.key} {record.value}".rstrip()
        return f"{record.session} -> {record.node}: {record.request} {what} {record.transaction}"
    position = f"{record.term}:{record.offset}" if record.offset else ""
    return (
        f"{record.session} <- {record.node}: {record.request} {record.outcome} {record.reason} "
        f"{record.value} {position}"
    ).rstrip()
