"""What a report over a run says. Times are seconds since the first line of any log.

Nodes tell the time by their own clocks: what is reckoned between two nodes is as exact as these.
"""

from typing import Any, NamedTuple


class PassedOverLines(NamedTuple):
    """Lines of one file that were not counted."""

    source: str
    cut: int
    foreign: int
    no_json: int


class LeftOut(NamedTuple):
    """Lines of one event that nodes did not write, as there were too many a second."""

    event: int
    text: str
    lines: int


class NodeStart(NamedTuple):
    """One start of a node. The seconds count from its line 1001; None: no line tells.

    They are negative for what came before 1001, which is written once all services run.
    """

    node: str
    zone: str
    at: float
    accepting_seconds: float | None
    ready_seconds: float | None
    leader_seconds: float | None
    stopped: bool


class Restarted(NamedTuple):
    """A node that started more than once. `unplanned`: starts that no line 1003 came before."""

    node: str
    zone: str
    starts: int
    unplanned: int


class Refused(NamedTuple):
    """Statements that got a final answer without success; they waited for it.

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
    """Attempts at databases that did not serve a statement, as nodes of one zone made them."""

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
    """How many statements had at least so many attempts in vain."""

    attempts: int
    statements: int


class ForwardFailures(NamedTuple):
    """Statements that a node serving their group did not answer. `sent`: it may have run them."""

    zone: str
    group: str
    sent: bool
    statements: int


class SecondCount(NamedTuple):
    """What happened in one second of the clock, or in `bin_seconds` of a long run."""

    at: float
    key: str
    times: int


class LeaderChange(NamedTuple):
    """One change of a group's leader.

    `gap_ms`: from the last moment at which any node had the former leader's proof to the first
    moment at which any node had the next one's; None where no line tells. No write can be
    acknowledged in it. `longest_gap_ms`: the same on the node that missed a leader for longest.
    `refused_writes`: of all databases, in the seconds that the change touches.
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
    """Times that nodes missed a leader and found the same one in the same term again."""

    group: str
    times: int
    p50_ms: float
    longest_ms: float


class Order(NamedTuple):
    """Ordered changes of primary. `longest_trouble_ms`: how long the trouble lasted before."""

    group: str
    cause: str
    outcome: str
    times: int
    longest_ms: float
    longest_trouble_ms: float


class CutOff(NamedTuple):
    """How former leaders were cut off."""

    group: str
    outcome: str
    times: int
    longest_ms: float


class TenantAtLimit(NamedTuple):
    """A tenant that met its limit, over all nodes, while they told of it.

    `span_at`: begin of the 5 s in which most of its operations were sent to databases, with those
    sent and counted then and those that its limit allows (None: no node knew one). What was sent
    holds further attempts, what was counted is less what was given back.
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
    """Lines of level error or critical. `example`: the fields of the first."""

    event: int
    level: str
    text: str
    lines: int
    nodes: int
    first_at: float
    example: str


class Answered(NamedTuple):
    """Statements by route, as metrics count them."""

    consistency: str
    action: str
    outcome: str
    statements: int


class Took(NamedTuple):
    """How long statements took, refused ones too. The bounds are those of histogram buckets."""

    consistency: str
    action: str
    statements: int
    seconds: float
    mean_ms: float
    p50_at_most_ms: float | None
    p99_at_most_ms: float | None
    slowest_at_most_ms: float | None


class ReasonCount(NamedTuple):
    """Failed attempts by reason, as metrics count them."""

    reason: str
    attempts: int


class MetricsFigures(NamedTuple):
    """What scraped metrics texts tell. `failed_attempts_a_statement`: None without statements."""

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
    """Time spent on statements that were refused, against all time spent on statements.

    `all_seconds` and `share` need metrics, and the logs of the nodes that they are of.
    """

    refused_statements: int
    refused_seconds: float
    all_statements: int | None
    all_seconds: float | None
    share: float | None


class RunReport(NamedTuple):
    """Everything. `begins`: UTC, as the first line tells it. `metrics`: None if none were given."""

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


def plain(value: Any) -> Any:
    """Return a record as what JSON has: objects by their fields, and lists."""
    if hasattr(value, "_asdict"):
        return {name: plain(field) for name, field in value._asdict().items()}
    if isinstance(value, tuple):
        return [plain(item) for item in value]
    return value
