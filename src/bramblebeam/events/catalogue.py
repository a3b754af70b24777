"""All events that a node logs: number, level and meaning. Numbers are never reused.

Blocks: 1000 kernel and settings, 1100 edge, 1200 pool, 1300 group, 1400 membership and transport,
1500 configuration and platform, 1600 administration, 1900 lab.
"""

import logging
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """One kind of log event. `fields` are the keys of its records."""

    number: int
    level: int
    text: str
    fields: tuple[str, ...] = ()


CATALOGUE: dict[int, Event] = {}


def define(number: int, level: int, text: str, *fields: str) -> Event:
    """Add an event to the catalogue. Raises ValueError for a number that is already defined."""
    if number in CATALOGUE:
        raise ValueError(f"event {number} is defined already")
    event = Event(number, level, text, fields)
    CATALOGUE[number] = event
    return event


NODE_STARTED = define(1001, logging.INFO, "node started", "node", "zone")
NODE_STOPPING = define(1002, logging.INFO, "node stops as planned", "node", "bound_seconds")
NODE_STOPPED = define(1003, logging.INFO, "node stopped", "node")
SERVICE_FAILED = define(1004, logging.ERROR, "service failed and is restarted", "service", "error")
SERVICE_GAVE_UP = define(
    1005, logging.CRITICAL, "service failed too often; node stops", "service", "error"
)
SERVICE_STOP_FAILED = define(
    1006, logging.ERROR, "service failed while it was being closed", "service", "error"
)
MAILBOX_FULL = define(
    1007, logging.ERROR, "published message lost: mailbox full", "service", "message_type"
)
DRAIN_FAILED = define(1008, logging.ERROR, "service failed to drain", "service", "error")
DRAIN_TIMEOUT = define(
    1009, logging.WARNING, "drain timed out with work in flight", "node", "bound_seconds"
)
START_FAILED = define(1010, logging.CRITICAL, "node could not start", "node", "error")
PEER_PROTOCOL_ERROR = define(
    1401, logging.WARNING, "stream to a peer closed: protocol violation", "peer", "error"
)
PEER_DATAGRAM_UNREADABLE = define(
    1402, logging.WARNING, "datagram from a peer could not be read", "source", "error"
)
STATEMENT_FAILED_INTERNALLY = define(
    1190, logging.ERROR, "caller's statement failed with an internal error", "error"
)
CALLER_DENIED = define(
    1191, logging.WARNING, "caller denied: unknown user or wrong password", "user", "remote"
)
CALLER_PROTOCOL_ERROR = define(
    1192, logging.WARNING, "caller's connection closed: protocol violation", "remote", "error"
)
GROUP_PRIMARY_CHANGED = define(
    1301, logging.INFO, "group has a new primary or term", "group", "term", "primary"
)
GROUP_PRIMARY_SUSPECTED = define(
    1302, logging.WARNING, "primary seems lost; this watcher waits for its turn", "group", "primary"
)
GROUP_CHANGE_STARTED = define(
    1303, logging.WARNING, "change of primary started", "group", "term", "cause"
)
GROUP_CHANGE_COMPLETED = define(
    1304, logging.WARNING, "change of primary completed", "group", "term", "primary", "duration_ms"
)
GROUP_CHANGE_ABANDONED = define(
    1305, logging.WARNING, "attempt to change the primary abandoned", "group", "term", "detail"
)
GROUP_MEMBER_REPOINTED = define(
    1306, logging.INFO, "member was ordered to follow the primary", "group", "instance", "term"
)
GROUP_WATCH_STARTED = define(1307, logging.INFO, "watch of a group starts", "group", "rank")
GROUP_WATCH_ENDED = define(1308, logging.INFO, "watch of a group ends", "group")
GROUP_STATUS_UNREADABLE = define(
    1310, logging.ERROR, "member's status cannot be read", "instance", "error"
)
GROUP_REQUEST_FINISHED = define(
    1309, logging.INFO, "requested change of primary finished", "group", "outcome", "detail"
)
GROUP_PRIMARY_RELOCATED = define(
    1311,
    logging.WARNING,
    "primary is moved: its server is leaving or its zone has no node",
    "group",
    "primary",
    "target",
)
CONFIGURATION_READY = define(
    1501, logging.INFO, "rows received; traffic may be accepted", "source", "version"
)
CONFIGURATION_ROWS_APPLIED = define(1502, logging.INFO, "rows came into force", "rows", "version")
CONFIGURATION_ROW_INVALID = define(
    1503,
    logging.ERROR,
    "row is invalid and does not come into force; the previous one stays",
    "kind",
    "name",
    "version",
    "error",
)
CONFIGURATION_STORE_BEHIND = define(
    1504,
    logging.ERROR,
    "store is in an older state than the rows in force, which stay",
    "version",
    "complete",
)
CONFIGURATION_STORE_LOST = define(
    1505, logging.WARNING, "store cannot be read; the rows in force stay", "error"
)
CONFIGURATION_STORE_READ = define(1506, logging.INFO, "store is read again", "version")
CONFIGURATION_ROW_IN_FORCE = define(
    1507, logging.INFO, "row came into force", "kind", "name", "version"
)
EDGE_LISTENING = define(1101, logging.INFO, "callers are accepted", "host", "port")
EDGE_DRAINING = define(
    1102, logging.INFO, "no more callers are accepted", "connections", "in_flight"
)
CALLER_REJECTED = define(
    1103, logging.WARNING, "callers are rejected", "service", "reason", "count"
)
CALLER_CUT = define(
    1104,
    logging.WARNING,
    "caller's connection is closed while a statement on it has no answer",
    "request",
    "database",
    "action",
    "stage",
    "in_transaction",
    "waited_ms",
    "why",
)
EDGE_DRAINED = define(
    1105,
    logging.INFO,
    "drain of callers' connections has ended; what is left is closed",
    "seconds",
    "resting",
    "transactions",
    "waiting",
    "passed_on",
    "at_database",
    "for_other_nodes",
)
MEMBER_JOINED = define(1403, logging.INFO, "member is alive", "node", "zone", "incarnation")
MEMBER_SUSPECTED = define(
    1404, logging.INFO, "member does not answer probes", "node", "zone", "incarnation"
)
MEMBER_LEAVING = define(
    1405, logging.INFO, "member leaves as planned", "node", "zone", "incarnation"
)
MEMBER_DEAD = define(
    1406, logging.WARNING, "member is declared dead", "node", "zone", "incarnation"
)
ZONE_UNREACHABLE = define(1407, logging.WARNING, "zone's relays do not answer", "zone")
ZONE_REACHABLE = define(1408, logging.INFO, "zone's relays answer again", "zone")
POOL_OWNERSHIP_TAKEN = define(
    1201, logging.INFO, "node owns an instance now", "instance", "epoch", "retained"
)
POOL_OWNERSHIP_RELEASED = define(1202, logging.INFO, "node handed an instance over", "instance")
POOL_OWNERSHIP_LOST = define(
    1203, logging.WARNING, "node lost an instance; its connections were cut", "instance"
)
POOL_HOLDER_EVICTED = define(
    1204, logging.WARNING, "unresponsive holder of an instance was evicted", "instance", "epoch"
)
POOL_BACKEND_UNREACHABLE = define(
    1205, logging.WARNING, "back end does not answer; it gets no new work", "instance"
)
POOL_BACKEND_REACHABLE = define(1206, logging.INFO, "back end answers again", "instance", "term")
POOL_BACKEND_LEAVING = define(
    1207, logging.INFO, "back end is leaving; it gets no new work", "instance"
)
POOL_STATEMENT_CUT = define(
    1208, logging.WARNING, "statement was terminated at its deadline", "instance", "service"
)
POOL_TRANSACTION_ROLLED_BACK = define(
    1209, logging.INFO, "transaction was abandoned and rolled back", "instance", "cause"
)
POOL_REQUEST_FAILED = define(
    1211, logging.ERROR, "request failed with an internal error", "instance", "error"
)
POOL_SLOTS_REFUSED = define(
    1210, logging.WARNING, "back end refused a slot connection", "instance", "code"
)
MESSAGE_NOT_ENCODED = define(
    1409, logging.ERROR, "message to a peer could not be encoded", "message", "error"
)
ADMIN_STARTED = define(1601, logging.INFO, "administration API listens", "host", "port")
ADMIN_REQUEST_REFUSED = define(
    1602,
    logging.WARNING,
    "operator's request refused",
    "status",
    "method",
    "path",
    "source",
    "error",
)
ADMIN_REQUEST_FAILED = define(
    1603, logging.ERROR, "operator's request failed with an internal error", "path", "error"
)
ADMIN_ROW_EDITED = define(
    1610,
    logging.WARNING,
    "operator edited a row",
    "operator",
    "kind",
    "name",
    "expected",
    "change_id",
    "outcome",
    "version",
)
ADMIN_PRIMARY_CHANGE = define(
    1611,
    logging.WARNING,
    "operator asked for a change of primary",
    "operator",
    "group",
    "instance",
    "outcome",
)
ADMIN_NODE_DRAIN = define(
    1612, logging.WARNING, "operator asked a node to stop as planned", "operator", "node"
)
SETTINGS_RELOADED = define(
    1011, logging.INFO, "settings file was read again", "node", "changed", "error"
)
LEADER_PROVEN = define(
    1320,
    logging.INFO,
    "database was found to lead its group",
    "group",
    "instance",
    "term",
    "position",
)
LEADER_LEASE_LAPSED = define(
    1327,
    logging.WARNING,
    "no member confirms the lease on the leader; nothing is sent to it",
    "group",
    "instance",
    "confirmed_age_ms",
)
LEADER_CONFIRMED = define(
    1347,
    logging.INFO,
    "a different member now confirms the lease on the leader",
    "group",
    "instance",
    "member",
    "word",
    "connection_ms",
)
MEMBERS_PAUSED = define(
    1348,
    logging.INFO,
    "members were paused for a change of primary; the others may confirm leases or are unreachable",
    "group",
    "term",
    "paused",
    "others",
)
PENDING_CHANGE_LOOKED_UP = define(
    1351,
    logging.INFO,
    "store was read for a pending change of primary, before a lease on the leader is confirmed",
    "group",
    "leader",
    "found",
    "token",
)
CHANGE_TOO_SLOW = define(
    1352,
    logging.WARNING,
    "preparing a change of primary took too long; no order is sent, and members are paused again",
    "group",
    "duration_ms",
)
MEMBER_LIST_FAILED = define(
    1353, logging.WARNING, "registered members could not be read before an order", "group", "error"
)
LOGS_AWAITED = define(
    1354,
    logging.WARNING,
    "change of primary waits for logs that may hold the only copy of an acknowledged commit",
    "group",
    "instances",
    "longest",
    "waited_ms",
)
ROSTER_WRITTEN = define(
    1355,
    logging.INFO,
    "roster of a synchronous group was written",
    "group",
    "members",
    "covered",
)
ROSTER_STORE_FAILED = define(
    1356, logging.WARNING, "roster could not be read or written", "group", "error"
)
DEPARTED_DATABASE_SILENT = define(
    1357,
    logging.INFO,
    "database that left gives no answer, so that its end is not known",
    "group",
    "instance",
    "error",
)
MEMBERS_NOT_PAUSED = define(
    1349,
    logging.WARNING,
    "members to be paused are not paused; no order is sent, and they are paused again",
    "group",
    "members",
)
FORMER_LEADER_FOUND = define(
    1328,
    logging.WARNING,
    "database claims to lead a term that has ended",
    "group",
    "instance",
    "term",
    "newest_term",
)
DATABASE_STATUS_UNREADABLE = define(
    1331,
    logging.WARNING,
    "database sent an invalid status; its connection is closed",
    "order",
    "error",
)
FORMER_LEADER_CUT_OFF = define(
    1330,
    logging.INFO,
    "no node uses the former leader any more, or this could not be confirmed",
    "group",
    "instance",
    "term",
    "outcome",
    "duration_ms",
)
UNRECORDED_CHANGE_FOUND = define(
    1338,
    logging.WARNING,
    "no member is promoted yet: another node changed the primary without recording it in the lease",
    "group",
    "term",
    "told_term",
)
FLOOR_BELOW_SESSION = define(
    1333,
    logging.ERROR,
    "floor of a read is below its session's observed position: internal error",
    "request",
    "group",
    "floor",
    "observed",
    "watermark",
    "leader_term",
    "forwarded",
)
ANSWER_BEHIND_SESSION = define(
    1334,
    logging.ERROR,
    "answer is behind its session's observed position",
    "request",
    "group",
    "answered",
    "observed",
    "leader_term",
    "forwarded",
)
COMMIT_WITHOUT_PROGRESS = define(
    1337,
    logging.ERROR,
    "acknowledged commit is not after its session's observed position",
    "request",
    "group",
    "committed",
    "observed",
    "forwarded",
)
FORWARDED_STATEMENT_INVALID = define(
    1335,
    logging.ERROR,
    "statement of another node is declined: its position or time is invalid",
    "node",
    "request",
    "observed",
    "time_left",
)
CONFLICTING_LEADERS = define(
    1329,
    logging.ERROR,
    "two databases claim to lead the same term; neither is used in it",
    "group",
    "instance",
    "leader",
    "term",
)
LEADER_LOST = define(
    1321,
    logging.WARNING,
    "database is no longer considered its group's leader",
    "group",
    "instance",
    "reason",
    "proof_age_ms",
)
LEASE_OF_FORMER_ERA = define(
    1341,
    logging.WARNING,
    "lease was written before the store was restored from a backup: its holder is unknown",
    "group",
    "token",
    "era",
)
LEADER_BLOCKED = define(
    1339,
    logging.INFO,
    "leader is blocked by this node's promise to a change of primary that may be in progress",
    "group",
    "instance",
    "term",
)
ROUTES_IN_FORCE = define(
    1510, logging.INFO, "route table came into force", "version", "routes", "revision"
)
DIRECTORY_CHANGED = define(
    1511,
    logging.INFO,
    "registered databases changed",
    "version",
    "databases",
    "leaving",
    "restarted",
)
STORE_LOST = define(
    1512,
    logging.WARNING,
    "store cannot be read; the known state is kept",
    "list",
    "revision",
    "error",
)
STORE_RECOVERED = define(1513, logging.INFO, "store is read again", "list", "failures")
PEER_FEED_LOST = define(
    1514,
    logging.WARNING,
    "node does not report the store's state; the known state is kept",
    "list",
    "node",
    "revision",
    "error",
)
PEER_FEED_RECOVERED = define(
    1515, logging.INFO, "node reports the store's state again", "list", "node", "failures"
)
FEED_PLAN_CHANGED = define(
    1516, logging.INFO, "this node follows the store through other sources", "reads_store", "peers"
)
FEED_FALLBACK = define(
    1517,
    logging.WARNING,
    "no node reports the store's state; this one reads the store itself",
    "list",
    "age_ms",
)
STORE_OBJECT_UNREADABLE = define(
    1519,
    logging.ERROR,
    "object of the store cannot be read; a known route table stays, a database is removed",
    "kind",
    "object",
    "revision",
    "error",
)
TABLE_DEFAULT_USED = define(
    1520,
    logging.WARNING,
    "default is used for a value that is missing in the store",
    "key",
    "default",
)
MEMBER_ORDER_FAILED = define(
    1332, logging.WARNING, "order to a database failed", "instance", "error", "gone"
)
STORE_CALLED = define(
    1518, logging.INFO, "calls to the store since the last such line", "calls", "failed"
)
FAILOVER_STARTED = define(
    1322,
    logging.WARNING,
    "ordered change of primary started",
    "group",
    "cause",
    "leader",
    "token",
    "taken_over",
    "trouble_ms",
)
FAILOVER_COMPLETED = define(
    1323,
    logging.WARNING,
    "ordered change of primary ended or is still in progress",
    "group",
    "target",
    "outcome",
    "token",
    "duration_ms",
)
FAILOVER_DEFERRED = define(
    1350,
    logging.INFO,
    "change of primary failed here again; the lease is left to other nodes for now",
    "group",
    "reason",
)
LEASE_TAKEN = define(1324, logging.INFO, "lease was written", "group", "token")
LEASE_STORE_FAILED = define(
    1325, logging.WARNING, "lease could not be read or written", "group", "error"
)
REQUEST_REFUSED = define(
    1120,
    logging.WARNING,
    "statement got its final answer without success",
    "request",
    "session",
    "database",
    "action",
    "verdict",
    "reason",
    "detail",
    "waited_ms",
    "leader",
    "proof_age_ms",
    "routes_version",
)
REQUEST_ATTEMPT_FAILED = define(
    1121,
    logging.INFO,
    "attempt at a database did not serve the statement",
    "request",
    "instance",
    "attempt",
    "verdict",
    "reason",
    "detail",
    "floor",
)
REQUEST_FORWARD_FAILED = define(
    1124,
    logging.WARNING,
    "node that serves the group did not answer the statement",
    "request",
    "node",
    "group",
    "sent",
    "error",
    "waited_ms",
)
LINES_LEFT_OUT = define(1012, logging.WARNING, "log lines were left out", "events")
READINESS_CHANGED = define(1123, logging.INFO, "node's readiness changed", "ready")
LEASE_RELEASED = define(
    1326, logging.INFO, "lease was released; no node needs to wait for it", "group", "token"
)
PEER_STREAM_UNRESPONSIVE = define(
    1410,
    logging.WARNING,
    "stream to a peer is unresponsive; the next request opens another one",
    "peer",
    "others",
)
DATABASE_CONNECTIONS_UNRESPONSIVE = define(
    1336,
    logging.WARNING,
    "connections to a database are unresponsive; those in use are abandoned where safe",
    "instance",
    "lent",
)
DATABASE_EJECTED = define(
    1345,
    logging.WARNING,
    "database gets no reads from this node for a while, as earlier ones failed or were slow",
    "group",
    "instance",
    "cause",
    "seconds",
)
DATABASE_REINSTATED = define(
    1346,
    logging.INFO,
    "database gets reads from this node again, after successful ones on probation",
    "group",
    "instance",
    "cause",
    "seconds",
)
KEYS_REFUSED = define(
    1125,
    logging.WARNING,
    "sessions were refused: no tenant has their key (first digits of its digest)",
    "sessions",
    "last_key",
)
ADMISSION_UNANSWERED = define(
    1126,
    logging.WARNING,
    "node that may count a tenant did not answer; the next one is queried",
    "tenant",
    "node",
    "error",
)
TENANT_RATE_SAMPLE = define(
    1127,
    logging.INFO,
    "requests in one second of a tenant that met its limit, as counted and run by this node",
    "tenant",
    "rate",
    "burst",
    "counted",
    "refused",
    "returned",
    "return_ignored",
    "uncounted",
    "sent",
)
COUNTING_STARTED = define(
    1128,
    logging.INFO,
    "this node started counting tenants, one of which is named",
    "tenants",
    "first",
)
ADMITTED_UNCOUNTED = define(
    1129,
    logging.WARNING,
    "operations of a tenant were admitted without being counted",
    "tenant",
    "operations",
    "why",
)
FURTHER_ATTEMPT_REFUSED = define(
    1130,
    logging.INFO,
    "statement that may have run was not retried: its tenant is at its limit",
    "request",
    "tenant",
)
STATEMENT_REFUSED_EARLY = define(
    1140,
    logging.INFO,
    "statement was refused on arrival: it would have waited too long",
    "request",
    "group",
    "cause",
    "wait_ms",
    "told_ms_ago",
    "returns",
    "retry_after_ms",
)
STATEMENT_WITHDRAWN = define(
    1141,
    logging.INFO,
    "forwarded statement was withdrawn: no caller waits for its answer",
    "request",
    "node",
    "begun",
)
SECOND_ATTEMPT_DENIED = define(
    1142,
    logging.INFO,
    "statement was not retried: callers are queued, or the retry budget is spent",
    "request",
    "group",
    "wait_ms",
)
TRANSACTION_REFUSED = define(
    1143,
    logging.INFO,
    "transaction was not begun: too many others hold the database's connections",
    "request",
    "instance",
    "open",
    "in_use",
    "most",
    "retry_after_ms",
)
FORMER_INCARNATION_IGNORED = define(
    1521,
    logging.WARNING,
    "entry of a database is ignored: the database has restarted since",
    "instance",
    "born",
    "revision",
)
STORE_ERA_BEGAN = define(
    1522,
    logging.WARNING,
    "store was restored from a backup: a list starts again in the new era of revisions",
    "list",
    "revision",
    "former_revision",
    "differing",
    "confirmed_ms_ago",
)
STORE_ERA_UNUSABLE = define(
    1523,
    logging.WARNING,
    "answer of the store is ignored: its era is invalid or over",
    "era",
    "known_era",
    "call",
)
STORE_ERA_DISCARDED = define(
    1525,
    logging.ERROR,
    "era of a list was wrong, as no other source reports it: a former one is used again",
    "list",
    "revision",
)
ITEMS_IGNORED = define(
    1524,
    logging.WARNING,
    "items of a list are ignored, as later ones are known; the first one is named",
    "list",
    "items",
    "name",
    "revision",
    "known_revision",
)
