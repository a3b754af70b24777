"""The parts of a report on a run. Field names are keys of `bramblebeam report --json`.

Times are seconds since the earliest line of all logs. Each node uses its own clock, so intervals
between two nodes are only as accurate as their clocks agree.
"""

from typing import Any, NamedTuple


class PassedOverLines(NamedTuple):
    """Lines of one file that were skipped, by reason (see `SkipReason`)."""

    source: str
    cut: int
    foreign: int
    no_json: int


class LeftOut(NamedTuple):
    """Lines of one event that nodes did not write because there were too many per second."""

    event: int
    text: str
    lines: int


class NodeStart(NamedTuple):
    """One start of a node. Durations count from its line 1001; None if no line reports the end.

    They are negative for what happened before line 1001, which is written once all services run.
    """

    node: str
    zone: str
    at: float
    accepting_seconds: float | None
    ready_seconds: float | None
    leader_seconds: float | None
    stopped: bool


class Restarted(NamedTuple):
    """A node that started more than once. `unplanned`: starts without a line 1003 before them."""

    node: str
    zone: str
    starts: int
    unplanned: int


class Refused(NamedTuple):
    """Statements whose final answer was not a success, and how long they waited for it.

    `p50_ms` and `p99_ms` are upper bounds, at most 9% above the true ones.
    """

    database: str
    zone: str
    action: str
    verdict: str
    reason: str
    statements: int
    waited_seconds: float
    p50_ms: float
    p99_ms: float
    longest_ms: float


class FailedAttempts(NamedTuple):
    """Attempts at databases that did not serve a statement. `zone`: of the nodes making them."""

    zone: str
    verdict: str
    reason: str
    attempts: int


class InstanceAttempts(NamedTuple):
    """Attempts at one database that did not serve a statement."""

    instance: str
    reason: str
    attempts: int


class AttemptNumber(NamedTuple):
    """How many statements had at least `attempts` failed attempts."""

    attempts: int
    statements: int


class ForwardFailures(NamedTuple):
    """Forwarded statements that the node serving their group did not answer.

    `sent`: that node may have run them.
    """

    zone: str
    group: str
    sent: bool
    statements: int


class SecondCount(NamedTuple):
    """Count of one key in one second of the clock, or in `bin_seconds` seconds of a long run."""

    at: float
    key: str
    times: int


class LeaderChange(NamedTuple):
    """One change of a group's leader.

    `gap_ms`: from the last time that any node had proof of the former leader to the first time
    that any node had proof of the new one; None if no line reports it. No write can be
    acknowledged in the gap. `longest_gap_ms`: the gap on the node that had no leader for longest.
    `refused_writes`: on all databases, in the seconds that the change touches.
    """

    group: str
    term: int
    instance: str
    former: str
    reason: str
    at: float
    gap_ms: float | None
    longest_gap_ms: float | None
    nodes: int
    last_node_at: float
    refused_writes: int


class Interruption(NamedTuple):
    """How often nodes lost a group's leader and then proved the same one in the same term."""

    group: str
    times: int
    p50_ms: float
    longest_ms: float


class Order(NamedTuple):
    """Ordered failovers. `longest_trouble_ms`: the longest time that trouble lasted before one."""

    group: str
    cause: str
    outcome: str
    times: int
    longest_ms: float
    longest_trouble_ms: float


class CutOff(NamedTuple):
    """Cut-offs of former leaders, by outcome."""

    group: str
    outcome: str
    times: int
    longest_ms: float


class TenantAtLimit(NamedTuple):
    """Operations of a tenant that reached its limit, over all nodes, in the seconds they reported.

    `returned`: refunded operations. `span_at`: start of the 5 s in which most of the operations
    were sent to databases; the other `span_` fields are for these 5 s. Sent operations include
    further attempts. `span_counted` excludes refunded operations. `span_allowed` is what the limit
    allows (None if no node knew one).
    """

    tenant: str
    counted: int
    refused: int
    returned: int
    uncounted: int
    sent: int
    counting_nodes: int
    running_nodes: int
    span_at: float
    span_sent: int
    span_counted: int
    span_allowed: float | None


class ErrorLines(NamedTuple):
    """Lines of level error or critical. `example`: the fields of the earliest line."""

    event: int
    level: str
    text: str
    lines: int
    nodes: int
    first_at: float
    example: str


class Answered(NamedTuple):
    """Statements by route and outcome, from metrics."""

    consistency: str
    action: str
    outcome: str
    statements: int


class Took(NamedTuple):
    """Latencies of statements, refused ones included. Bounds are those of histogram buckets."""

    consistency: str
    action: str
    statements: int
    seconds: float
    mean_ms: float
    p50_at_most_ms: float | None
    p99_at_most_ms: float | None
    slowest_at_most_ms: float | None


class ReasonCount(NamedTuple):
    """Failed attempts by reason, from metrics."""

    reason: str
    attempts: int


class MetricsFigures(NamedTuple):
    """Figures from metrics texts. `failed_attempts_a_statement`: None without statements."""

    files: int
    passed_over: int
    answered: tuple[Answered, ...]
    took: tuple[Took, ...]
    failed_attempts: tuple[ReasonCount, ...]
    failed_attempts_a_statement: float | None
    replica_reads: int
    primary_reads: int
    replica_read_share: float | None
    leader_changes: int
    session_order_broken: int


class Waiting(NamedTuple):
    """Time spent on refused statements compared with the time spent on all statements.

    `all_statements`, `all_seconds` and `share` need metrics; `share` is correct only if logs and
    metrics are of the same nodes.
    """

    refused_statements: int
    refused_seconds: float
    all_statements: int | None
    all_seconds: float | None
    share: float | None


class RunReport(NamedTuple):
    """The whole report. `begins`: UTC time of the earliest line. `metrics`: None if not given."""

    begins: str
    seconds: float
    logs: int
    nodes: int
    lines: int
    bin_seconds: int
    passed_over: tuple[PassedOverLines, ...]
    left_out: tuple[LeftOut, ...]
    starts: tuple[NodeStart, ...]
    restarted: tuple[Restarted, ...]
    refused: tuple[Refused, ...]
    refused_by_second: tuple[SecondCount, ...]
    attempts: tuple[FailedAttempts, ...]
    attempts_by_instance: tuple[InstanceAttempts, ...]
    attempts_by_second: tuple[SecondCount, ...]
    attempt_numbers: tuple[AttemptNumber, ...]
    forward_failures: tuple[ForwardFailures, ...]
    changes: tuple[LeaderChange, ...]
    interruptions: tuple[Interruption, ...]
    orders: tuple[Order, ...]
    cut_offs: tuple[CutOff, ...]
    tenants: tuple[TenantAtLimit, ...]
    errors: tuple[ErrorLines, ...]
    waiting: Waiting
    metrics: MetricsFigures | None


def to_json_value(value: Any) -> Any:
    """Convert a value for JSON: named tuples to objects by field name, other tuples to lists."""
    if hasattr(value, "_asdict"):
        return {name: to_json_value(field) for name, field in value._asdict().items()}
    if isinstance(value, tuple):
        return [to_json_value(item) for item in value]
    return value
