"""The record types of a run's history.

Each record is one observation by a caller, a back end, a node or the fault injector. Times are
seconds of one clock shared by the whole run. Names are plain strings, so that a history shares no
types with the code that produced it.
"""

from dataclasses import dataclass, field
from typing import Annotated, Literal

from pydantic import Field

Outcome = Literal["ok", "not_run", "ran", "unknown", "lost"]
"""How a request ended. `lost`: the connection ended without any answer."""


@dataclass(frozen=True, slots=True)
class RequestSent:
    """A caller sent a request to a node.

    `request` is unique in the run; a retry of the same request uses the same name. `value` is the
    marker that a write stores under `key`: unique in the run, empty for a read. `transaction` is
    the name of the request's transaction, or empty; `commit` and `rollback` operations end it.
    """

    time: float
    node: str
    session: str
    request: str
    group: str
    operation: Literal["read", "write", "commit", "rollback"]
    key: str = ""
    value: str = ""
    transaction: str = ""
    record: Literal["request_sent"] = "request_sent"


@dataclass(frozen=True, slots=True)
class RequestAnswered:
    """A caller received the final answer to a request, or lost its connection.

    `key` and `value`: the row in a read's answer (empty `value`: no row). `expected_rows` and
    `rows`: how many rows the complete answer has, and how many arrived. `term` and `offset`: the
    position in a write's answer (0: none). `reason`: the refusal's reason in capitals, or empty.
    """

    time: float
    node: str
    session: str
    request: str
    outcome: Outcome
    key: str = ""
    value: str = ""
    rows: int = 0
    expected_rows: int = 0
    term: int = 0
    offset: int = 0
    reason: str = ""
    record: Literal["request_answered"] = "request_answered"


@dataclass(frozen=True, slots=True)
class BackendAcknowledged:
    """A back end, as primary, acknowledged the write of `value` at (term, offset)."""

    time: float
    instance: str
    group: str
    term: int
    offset: int
    value: str
    record: Literal["backend_acknowledged"] = "backend_acknowledged"


@dataclass(frozen=True, slots=True)
class BackendCommitted:
    """A back end applied the committed write of `value` at (term, offset).

    Several values at one position are the statements of one transaction.
    """

    time: float
    instance: str
    group: str
    term: int
    offset: int
    value: str
    record: Literal["backend_committed"] = "backend_committed"


@dataclass(frozen=True, slots=True)
class BackendStatement:
    """A back end started a statement on a connection (`value`: the marker, or empty)."""

    time: float
    instance: str
    connection: str
    session: str
    operation: Literal["begin", "statement", "commit", "rollback"]
    value: str = ""
    record: Literal["backend_statement"] = "backend_statement"


@dataclass(frozen=True, slots=True)
class BackendConnections:
    """A back end counted its open connections that occupy slots, and its slots."""

    time: float
    instance: str
    connections: int
    slots: int
    record: Literal["backend_connections"] = "backend_connections"


@dataclass(frozen=True, slots=True)
class BackendLeaving:
    """A back end reported that it is leaving (`leaving` false: that it no longer is)."""

    time: float
    instance: str
    leaving: bool = True
    record: Literal["backend_leaving"] = "backend_leaving"


@dataclass(frozen=True, slots=True)
class BackendWorkStarted:
    """A back end started new work: a transaction, or a statement outside one."""

    time: float
    instance: str
    record: Literal["backend_work_started"] = "backend_work_started"


@dataclass(frozen=True, slots=True)
class NodeStarted:
    """A node started to accept requests, without any earlier state."""

    time: float
    node: str
    record: Literal["node_started"] = "node_started"


@dataclass(frozen=True, slots=True)
class NodeStopping:
    """A node was told to stop (a planned stop)."""

    time: float
    node: str
    record: Literal["node_stopping"] = "node_stopping"


@dataclass(frozen=True, slots=True)
class NodeStopped:
    """A node ended, by a planned stop or a fault."""

    time: float
    node: str
    record: Literal["node_stopped"] = "node_stopped"


@dataclass(frozen=True, slots=True)
class NodeCut:
    """A node was paused or cut off from every source of rows (`cut` false: no longer)."""

    time: float
    node: str
    cut: bool = True
    record: Literal["node_cut"] = "node_cut"


@dataclass(frozen=True, slots=True)
class EditAccepted:
    """The change of row `key` was reported to an operator as accepted, as `version`."""

    time: float
    key: str
    version: int
    value: str = ""
    record: Literal["edit_accepted"] = "edit_accepted"


@dataclass(frozen=True, slots=True)
class RowInForce:
    """A node put `version` of row `key` in force."""

    time: float
    node: str
    key: str
    version: int
    value: str = ""
    record: Literal["row_in_force"] = "row_in_force"


@dataclass(frozen=True, slots=True)
class FaultInjected:
    """A fault began or ended. For reports and plots; the judge ignores it."""

    time: float
    fault: str
    target: str
    begins: bool
    record: Literal["fault_injected"] = "fault_injected"


@dataclass(frozen=True, slots=True)
class StalenessBound:
    """A service's configuration row allows reads of the group this staleness (milliseconds)."""

    time: float
    group: str
    staleness_ms: int
    record: Literal["staleness_bound"] = "staleness_bound"


@dataclass(frozen=True, slots=True)
class RunEnded:
    """The run ended; `logs_complete`: every committed write of every group is recorded."""

    time: float
    logs_complete: bool = False
    incomplete_groups: tuple[str, ...] = field(default=())
    record: Literal["run_ended"] = "run_ended"


Record = Annotated[
    RequestSent
    | RequestAnswered
    | BackendAcknowledged
    | BackendCommitted
    | BackendStatement
    | BackendConnections
    | BackendLeaving
    | BackendWorkStarted
    | NodeStarted
    | NodeStopping
    | NodeStopped
    | NodeCut
    | EditAccepted
    | RowInForce
    | FaultInjected
    | StalenessBound
    | RunEnded,
    Field(discriminator="record"),
]
