"""The records of a run's history.

Each record is one observation by one party: a caller, a back end, a node or the party that injects
faults. Times are seconds of one clock that the whole run shares. Names are plain strings, so that
a history shares no type with the code that produced it.
"""

from dataclasses import dataclass, field
from typing import Annotated, Literal

from pydantic import Field

Outcome = Literal["ok", "not_run", "ran", "unknown", "lost"]
"""How a request ended. `lost`: the connection ended without any answer."""


@dataclass(frozen=True, slots=True)
class RequestSent:
    """A caller sent a request to a node.

    `request` is unique in the run; a repeat of the same request is sent under the same name.
    `value` is the marker that a write stores under `key`: unique in the run, empty for a read.
    `transaction`: empty, or the name of the transaction that the request belongs to.
    `operation` `commit` and `rollback` end that transaction.
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
    """A caller got the final answer of a request, or lost its connection.

    `key` and `value` of a read: what the answer's row held (empty `value`: no row).
    `expected_rows` and `rows`: how many rows the whole answer has, and how many arrived.
    `term` and `offset`: the position that a write's answer carried (0: none).
    `reason`: the refusal's reason, in capitals, or empty.
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
    """A back end began a statement on one of its connections (`value`: the marker, or empty)."""

    time: float
    instance: str
    connection: str
    session: str
    operation: Literal["begin", "statement", "commit", "rollback"]
    value: str = ""
    record: Literal["backend_statement"] = "backend_statement"


@dataclass(frozen=True, slots=True)
class BackendConnections:
    """A back end counted its open connections that take slots, and the slots that it has."""

    time: float
    instance: str
    connections: int
    slots: int
    record: Literal["backend_connections"] = "backend_connections"


@dataclass(frozen=True, slots=True)
class BackendLeaving:
    """A back end showed the sign that it leaves (`leaving` false: it stays after all)."""

    time: float
    instance: str
    leaving: bool = True
    record: Literal["backend_leaving"] = "backend_leaving"


@dataclass(frozen=True, slots=True)
class BackendWorkStarted:
    """A back end began new work: a statement outside any transaction, or a transaction."""

    time: float
    instance: str
    record: Literal["backend_work_started"] = "backend_work_started"


@dataclass(frozen=True, slots=True)
class NodeStarted:
    """A node began to take requests, with an empty memory."""

    time: float
    node: str
    record: Literal["node_started"] = "node_started"


@dataclass(frozen=True, slots=True)
class NodeStopping:
    """A node was told to stop as planned."""

    time: float
    node: str
    record: Literal["node_stopping"] = "node_stopping"


@dataclass(frozen=True, slots=True)
class NodeStopped:
    """A node is gone, by a planned stop or by a fault."""

    time: float
    node: str
    record: Literal["node_stopped"] = "node_stopped"


@dataclass(frozen=True, slots=True)
class NodeCut:
    """A node is paused or cut off from every source of rows (`cut` false: it is back)."""

    time: float
    node: str
    cut: bool = True
    record: Literal["node_cut"] = "node_cut"


@dataclass(frozen=True, slots=True)
class EditAccepted:
    """An operator was told that the change of row `key` was accepted as `version`."""

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
    """A fault began or ended. Read by people and by plots, not by the judge."""

    time: float
    fault: str
    target: str
    begins: bool
    record: Literal["fault_injected"] = "fault_injected"


@dataclass(frozen=True, slots=True)
class StalenessBound:
    """The row of a service lets reads of the group be this stale (milliseconds)."""

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
