"""Converts the records of database servers and nodes into history records."""

import json
import re
import time
from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from bramblebeam.lab.cluster import Cluster
from bramblebeam.lab.history import History
from bramblebeam.lab.history.records import (
    BackendAcknowledged,
    BackendCommitted,
    BackendConnections,
    BackendStatement,
    BackendWorkStarted,
    NodeStarted,
    RequestSent,
    RowInForce,
)
from bramblebeam.lab.rows import slots_of_group

SLOT_USER = "bramblebeam"
"""The database account whose connections occupy slots."""

CALLERS_ACCEPTED_EVENT = 1101
"""First event after a node's start; no row is in force before it."""

ROW_IN_FORCE_EVENT = 1507
_NODE_FACT = re.compile(rf'"event": (?:{CALLERS_ACCEPTED_EVENT}|{ROW_IN_FORCE_EVENT})\b')
RECORD_KINDS = ("applied", "acknowledged", "statements", "connections")
_MARKER = re.compile(r"\bv = '([^']*)'|VALUES \('[^']*', '([^']*)'\)")
_BEGIN = re.compile(r"\s*(?:BEGIN|START\s+TRANSACTION)\b", re.I)
_END = re.compile(r"\s*(COMMIT|ROLLBACK)\b", re.I)
_WORK = re.compile(r"\bentries\b|^\s*(?:BEGIN|START\s+TRANSACTION)\b", re.I)

_READ = re.compile(r"\s*SELECT\b.*\bFROM\s+entries\b", re.I | re.S)

_READ_NAME = re.compile(r"/\* (r\d+) \*/")

Records = dict[str, list[dict[str, Any]]]


class ServedRead(NamedTuple):
    """A caller's read that a database server began to run.

    `at_replica`: the server was not the one that acknowledged the latest write before the read.
    `request`: the load's request name, or empty if the statement does not contain it.
    `in_transaction`: the read ran in an open transaction.
    """

    time: float
    at_replica: bool
    request: str = ""
    in_transaction: bool = False


class BackendRecorder:
    """Fetches the records of the database servers.

    They are lost with the process, so fetch them before killing a server.
    """

    def __init__(self, cluster: Cluster, http: aiohttp.ClientSession) -> None:
        self._cluster = cluster
        self._http = http
        self._lives: dict[str, list[Records]] = defaultdict(list)
        """The records of each incarnation of each server; a restart discards a server's records."""
        self.reads: list[ServedRead] = []

    async def fetch(self, instance: str) -> bool:
        """Fetch the records of a server's current incarnation; return whether it replied."""
        records: Records = {}
        for kind in RECORD_KINDS:
            url = f"{self._cluster.control_url(instance)}/{kind}"
            try:
                async with self._http.get(url) as response:
                    text = await response.text()
            except (aiohttp.ClientError, TimeoutError):
                return False
            records[kind] = [json.loads(line) for line in text.splitlines()]
        self._lives[instance].append(records)
        return True

    async def collect(self, history: History) -> tuple[str, ...]:
        """Add every server's records; return the groups whose logs may be incomplete.

        That is where no majority of the members replied.
        """
        incomplete = []
        for group in self._cluster.scenario.topology.groups:
            names = [member.instance for member in group.members]
            answered = [await self.fetch(name) for name in names]
            if sum(answered) <= len(names) // 2:
                incomplete.append(group.name)
            self._add_group(history, group.name, names)
        return tuple(incomplete)

    def _add_group(self, history: History, group: str, instances: list[str]) -> None:
        sessions = {sent.value: sent.session for sent in history.of(RequestSent) if sent.value}
        values: dict[tuple[int, int], list[str]] = {}
        for instance in instances:
            for incarnation in self._lives[instance]:
                facts = list(_committed(instance, group, incarnation["applied"]))
                history.extend(facts)
                for fact in facts:
                    values.setdefault((fact.term, fact.offset), [])
                    if fact.value not in values[fact.term, fact.offset]:
                        values[fact.term, fact.offset].append(fact.value)
        self._add_reads(instances)
        slots = slots_of_group(self._cluster.scenario, group)
        for instance in instances:
            for number, incarnation in enumerate(self._lives[instance]):
                history.extend(_acknowledged(instance, group, incarnation["acknowledged"], values))
                history.extend(_statements(instance, number, incarnation["statements"], sessions))
                history.extend(_connections(instance, incarnation["connections"], slots))

    def _add_reads(self, instances: list[str]) -> None:
        """Add each read; the last server to acknowledge a write before it counts as primary."""
        primaries = sorted(
            (record["time"], instance)
            for instance in instances
            for incarnation in self._lives[instance]
            for record in incarnation["acknowledged"]
        )
        times = [time for time, _ in primaries]
        for instance in instances:
            for incarnation in self._lives[instance]:
                for record in incarnation["statements"]:
                    if record["user"] != SLOT_USER or not _READ.match(record["sql"]):
                        continue
                    last = bisect_right(times, record["time"]) - 1
                    at_primary = last >= 0 and primaries[last][1] == instance
                    self.reads.append(_served_read(record, not at_primary))


def _served_read(record: dict[str, Any], at_replica: bool) -> ServedRead:
    """Return a read from its statement record."""
    name = _READ_NAME.search(record["sql"])
    request = name[1] if name else ""
    return ServedRead(record["time"], at_replica, request, record["in_transaction"])


def markers_of(sql: str) -> list[str]:
    """Return the values that a statement of the load writes; each marks one request."""
    return [first or second for first, second in _MARKER.findall(sql)]


def _committed(
    instance: str, group: str, applied: Iterable[dict[str, Any]]
) -> Iterator[BackendCommitted]:
    for record in applied:
        if record["failed"]:
            continue
        for sql in record["statements"]:
            for value in markers_of(sql):
                yield BackendCommitted(
                    record["time"], instance, group, record["term"], record["offset"], value
                )


def _acknowledged(
    instance: str,
    group: str,
    acknowledged: Iterable[dict[str, Any]],
    values: dict[tuple[int, int], list[str]],
) -> Iterator[BackendAcknowledged]:
    for record in acknowledged:
        term, offset = record["term"], record["offset"]
        for value in values.get((term, offset), ()):
            yield BackendAcknowledged(record["time"], instance, group, term, offset, value)


def _statements(
    instance: str, incarnation: int, statements: Iterable[dict[str, Any]], sessions: dict[str, str]
) -> Iterator[BackendStatement | BackendWorkStarted]:
    """Yield work starts, and the statements of transactions that write a marker, with the session.

    A statement outside a transaction means that the connection's previous transaction has ended.
    If no COMMIT or ROLLBACK was recorded, it was rolled back, for example by a connection reset,
    which is not recorded as a statement.
    """
    begins: dict[str, float] = {}
    owners: dict[str, str] = {}
    for record in statements:
        if record["user"] != SLOT_USER:
            continue
        at, sql = record["time"], record["sql"]
        connection = f"{incarnation}/{record['connection']}"
        if not record["in_transaction"]:
            if _WORK.search(sql):
                yield BackendWorkStarted(at, instance)
            begins.pop(connection, None)
            ended = owners.pop(connection, None)
            if ended is not None:
                yield BackendStatement(at, instance, connection, ended, "rollback")
        if _BEGIN.match(sql):
            begins[connection] = at
            owners.pop(connection, None)
        elif _END.match(sql):
            owner = owners.pop(connection, None)
            if owner is not None:
                yield BackendStatement(at, instance, connection, owner, "commit")
            begins.pop(connection, None)
        elif connection in begins:
            for value in markers_of(sql):
                session = sessions.get(value, "")
                if connection not in owners:
                    owners[connection] = session
                    begun_at = begins[connection]
                    yield BackendStatement(begun_at, instance, connection, session, "begin")
                yield BackendStatement(at, instance, connection, session, "statement", value)


def _connections(
    instance: str, changes: Iterable[dict[str, Any]], slots: int
) -> Iterator[BackendConnections]:
    for record in changes:
        if record["user"] == SLOT_USER:
            yield BackendConnections(record["time"], instance, record["connections"], slots)


def node_facts(node: str, log: Path) -> Iterator[NodeStarted | RowInForce]:
    """Yield a node's starts and the rows that came into force, from its JSON log."""
    to_monotonic = time.monotonic() - time.time()
    for text in log.read_text(errors="replace").splitlines():
        if not _NODE_FACT.search(text):
            continue
        line = json.loads(text)
        at = datetime.fromisoformat(line["time"]).timestamp() + to_monotonic
        if line["event"] == CALLERS_ACCEPTED_EVENT:
            yield NodeStarted(at, node)
            continue
        fields = line["fields"]
        key = f"{fields['kind']}/{fields['name']}"
        yield RowInForce(at, node, key, int(fields["version"]))


def collect_nodes(cluster: Cluster, history: History) -> None:
    """Add the starts and rows in force from the nodes' logs."""
    for node, process in cluster.nodes.items():
        history.extend(node_facts(node, process.log))
