"""Stand-in for a group of databases with asynchronous replication, on the line protocol."""

from __future__ import annotations

import asyncio
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from platform_standins.order import next_sequence
from platform_standins.records import (
    CommitRecord,
    Entry,
    PromotionRecord,
    RunRecord,
    WorkRecord,
    spans_of,
)

State = dict[str, str]


@dataclass
class Fault:
    """Faults to inject into a database, all off by default.

    `busy`: number of statements to refuse as overloaded. `lose_answers`, `lose_commits`: number of
    writes or commits to execute and then reset the connection. `unanswered_reads`: number of reads
    to execute and not answer, on connections that stay open. `unresponsive`: ignore all input.
    """

    busy: int = 0
    lose_answers: int = 0
    lose_commits: int = 0
    unanswered_reads: int = 0
    unresponsive: bool = False


class LineDatabase:
    """One member, which listens on its own port.

    `replication_cut`: receives no log entries. `partition`: partition number; members of different
    partitions do not reach each other. `lag`: maximum replication lag in seconds. `born`: start
    time in milliseconds of the epoch, 0 if the member does not report one.
    """

    def __init__(self, group: LineGroup, name: str) -> None:
        self.group = group
        self.name = name
        self.log: list[Entry] = []
        self.is_primary = False
        self.term = 1
        self.held_term = 0
        self.paused = False
        self.fault = Fault()
        self.status_row = ""
        self.replication_cut = False
        self.partition = 0
        self.lag = 0.0
        self.born = 0
        self.receiving = False
        self.runs: Counter[str] = Counter()
        self.session_values_of_run: dict[str, State] = {}
        self.connections: set[DatabaseSession] = set()
        self.most_connections = 0
        self.withheld: list[tuple[DatabaseSession, str]] | None = None
        self.port = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        make: Callable[[], asyncio.Protocol] = lambda: DatabaseSession(self)  # noqa: E731
        self._server = await loop.create_server(make, self.group.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def crash(self) -> None:
        assert self._server is not None
        self._server.close()
        for connection in list(self.connections):
            connection.abort()

    async def restart(self) -> None:
        """Restart with the log but without memory state; a replica if there is a newer term."""
        self.paused = False
        self.held_term = 0
        if self.group.newest_term > self.term:
            self.is_primary = False
        await self.start()
        self.group.replicate()

    async def restart_empty(self, as_primary: bool = False) -> None:
        """Restart under the same name with empty storage, as a new incarnation."""
        if self.serving:
            await self.crash()
        self.born += 1
        self.log = []
        self.term = 1
        self.held_term = 0
        self.paused = False
        self.is_primary = as_primary
        if as_primary:
            self.term = self.group.newest_term
        await self.start()
        self.group.replicate()

    def withhold_answers(self) -> None:
        """Run reads, writes and commits from now on, but send no answer to them."""
        self.withheld = []

    def release_answers(self) -> None:
        """Send the answers that were withheld, and all later ones."""
        withheld, self.withheld = self.withheld or [], None
        for session, line in withheld:
            session.send(line)

    @property
    def serving(self) -> bool:
        """Whether the member accepts connections."""
        return self._server is not None and self._server.is_serving()

    def receive(self, leader: LineDatabase) -> None:
        """Copy the leader's log and term."""
        self.log = list(leader.log)
        self.term = leader.term

    def can_receive_from(self, leader: LineDatabase) -> bool:
        """Whether the member can receive log entries from `leader`."""
        return self.serving and not self.replication_cut and self.partition == leader.partition

    @property
    def position(self) -> str:
        return f"{self.log[-1].term if self.log else 1}.{len(self.log)}"

    def lacks(self, position: str) -> bool:
        term, number = (int(part) for part in position.split("."))
        if number == 0:
            return False
        return len(self.log) < number or self.log[number - 1].term < term

    def read(self, key: str) -> str:
        for entry in reversed(self.log):
            for name, value in entry.values:
                if name == key:
                    return value
        return ""

    def commit(self, values: list[tuple[str, str]]) -> None:
        self.log.append(Entry(self.term, tuple(values)))
        is_newest = self.group.primary is self
        self.group.commits += [
            CommitRecord(self.name, key, value, is_newest, self.term, len(self.log))
            for key, value in values
        ]
        self.group.replicate()


class DatabaseSession(asyncio.Protocol):
    """Server side of one connection to a member."""

    def __init__(self, database: LineDatabase) -> None:
        self.database = database
        self.values: State = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.writes: list[tuple[str, str]] = []
        self.transaction = ""
        self.tenant = ""
        self._runs = False
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self._lines: deque[str] = deque()
        self._held: list[bytes] | None = None
        self._work: WorkRecord | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        database = self.database
        database.connections.add(self)
        database.most_connections = max(database.most_connections, len(database.connections))

    def connection_lost(self, exc: Exception | None) -> None:
        self.database.connections.discard(self)

    def abort(self) -> None:
        assert self._transport is not None
        if self._work is not None:
            self._work.broken_off = True
        self._transport.abort()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        *lines, self._buffer = self._buffer.split(b"\r\n")
        for line in lines:
            if not self.database.fault.unresponsive:
                self._lines.append(line.decode())
        self._run_lines()

    def _run_lines(self) -> None:
        """Run the received lines in order, until one holds its answer."""
        assert self._transport is not None
        while self._lines and self._held is None and not self._transport.is_closing():
            self._line(self._lines.popleft())

    def _line(self, line: str) -> None:
        word, _, rest = line.partition(" ")
        if word == "START":
            self._start(rest.split(" "))
        elif word == "QUERY":
            identifier, _, text = rest.partition(" ")
            self._query(identifier, text)

    def _start(self, fields: list[str]) -> None:
        database = self.database
        expected = fields[2] if len(fields) > 2 else database.name
        if fields[0] != database.group.name or expected != database.name:
            self.send("ERR MISROUTED no")
            return
        known = database.group.tenants
        if known is not None and fields[1] not in known | {"gateway"}:
            self.send("ERR MISROUTED no such tenant")
            return
        self.tenant = fields[1]
        if len(database.connections) > database.group.maximum_connections:
            self.send("ERR TOOMANY no")
            return
        self._ready()

    def _query(self, identifier: str, text: str) -> None:
        database = self.database
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            if database.lacks(position):
                self._error("LAGGING", "behind")
                return
        word, _, rest = text.partition(" ")
        self._runs = word in ("READ", "WRITE", "EXEC", "COMMIT")
        if self._runs and database.fault.busy > 0:
            database.fault.busy -= 1
            self._error("BUSY", "full")
            return
        if self._runs and identifier != "-":
            self._begin_work(identifier, text)
        handler = getattr(self, f"_do_{word.lower()}")
        handler(identifier, rest)

    def _begin_work(self, identifier: str, text: str) -> None:
        """Record a statement; hold its answer for as long as the group works on it.

        It takes effect at once, even if its connection ends meanwhile.
        """
        database = self.database
        seconds = database.group.work(text)
        now = time.monotonic()
        self._work = WorkRecord(identifier, database.name, now, now + seconds)
        database.group.works.append(self._work)
        if seconds:
            self._held = []
            asyncio.get_running_loop().call_later(seconds, self._end_work)

    def _end_work(self) -> None:
        held, self._held = self._held or [], None
        for data in held:
            self._write(data)
        self._run_lines()

    # Statements.

    def _do_begin(self, identifier: str, rest: str) -> None:
        if not rest and not self.database.is_primary:
            self._error("READONLY", self.database.name)
            return
        self.transaction = "read" if rest else "write"
        self.writes = []
        self._done("-")

    def _do_rollback(self, identifier: str, rest: str) -> None:
        self.transaction = ""
        self.writes = []
        self._done("-")

    def _do_commit(self, identifier: str, rest: str) -> None:
        writes, transaction = self.writes, self.transaction
        self.transaction = ""
        self.writes = []
        if transaction == "write" and writes and not self.database.is_primary:
            self._error("READONLY", self.database.name)
            return
        if writes:
            self.database.commit(writes)
        if self.database.fault.lose_commits > 0:
            self.database.fault.lose_commits -= 1
            self.abort()
            return
        self._ran(identifier, "COMMIT")
        self._committed(identifier, bool(writes))

    def _do_read(self, identifier: str, key: str) -> None:
        if self.transaction == "write" and not self.database.is_primary:
            self._fail("READONLY", self.database.name)
            return
        pending = dict(self.writes)
        value = pending.get(key, self.database.read(key))
        self._ran(identifier, "READ", key, value)
        if self.database.fault.unanswered_reads > 0:
            self.database.fault.unanswered_reads -= 1
            return
        self.send(f"ROW {value}")
        self._done(f"signed-{identifier}")

    def _do_write(self, identifier: str, rest: str) -> None:
        key, _, value = rest.partition(" ")
        if not self.database.is_primary:
            self._fail("READONLY", self.database.name)
            return
        self._ran(identifier, "WRITE", key, value)
        if self.transaction:
            self.writes.append((key, value))
        else:
            self.database.commit([(key, value)])
        if self.database.fault.lose_answers > 0:
            self.database.fault.lose_answers -= 1
            self.abort()
            return
        self._committed(identifier, not self.transaction)

    def _do_exec(self, identifier: str, rest: str) -> None:
        name, _, arguments = rest.partition(" ")
        if name not in self.prepared:
            self._error("NOSTMT", name)
            return
        kind, shape = self.prepared[name]
        if kind == "READ":
            self._do_read(identifier, f"{shape}/{arguments}")
        else:
            self._do_write(identifier, f"{shape}/{arguments}")

    def _do_set(self, identifier: str, rest: str) -> None:
        name, _, value = rest.partition(" ")
        self.values[name] = value
        self._done("-")

    def _do_prepare(self, identifier: str, rest: str) -> None:
        name, kind, shape = rest.split(" ", 2)
        self.prepared[name] = (kind, shape)
        self._done("-")

    def _do_reset(self, identifier: str, rest: str) -> None:
        self.values.clear()
        self.prepared.clear()
        self._done("-")

    # Administrative commands.

    def _do_status(self, identifier: str, rest: str) -> None:
        database = self.database
        role = "primary" if database.is_primary else "replica"
        row = f"{role} {database.term} {database.position} {database.held_term} 0 0 1"
        self.send(f"ROW {database.status_row or row}")
        self._done("-")

    def _do_demote(self, identifier: str, rest: str) -> None:
        if self.database.term < int(rest):
            self.database.is_primary = False
        self._do_status(identifier, "")

    def _do_pause(self, identifier: str, rest: str) -> None:
        self.database.paused = True
        self.database.held_term = int(rest)
        self._do_status(identifier, "")

    def _do_resume(self, identifier: str, rest: str) -> None:
        self.database.paused = False
        self.database.held_term = 0
        self.database.group.replicate()
        self._do_status(identifier, "")

    # Answers.

    def _ran(self, identifier: str, action: str, key: str = "", value: str = "") -> None:
        database = self.database
        database.runs[identifier] += 1
        database.session_values_of_run[identifier] = dict(self.values)
        values = frozenset(self.values.items())
        run = RunRecord(
            identifier,
            database.name,
            action,
            key,
            value,
            values,
            spans_of(database.log),
            self.tenant,
            time.monotonic(),
        )
        database.group.runs.append(run)

    def _committed(self, identifier: str, has_written: bool) -> None:
        """Answer a commit once `sync_replicas` of the group have received it."""
        answer = PendingAnswer(self, identifier, len(self.database.log))
        if has_written:
            self.database.group.answer_when_received(answer)
        else:
            answer.give()

    def done(self, identifier: str) -> None:
        """Send the answer to a commit."""
        self._done(f"signed-{identifier}")

    def _fail(self, code: str, text: str) -> None:
        if self.transaction:
            self.transaction = "failed"
        self._error(code, text)

    def _done(self, signature: str) -> None:
        self.send(f"DONE {signature}")
        self._ready()

    def _error(self, code: str, text: str) -> None:
        self.send(f"ERR {code} {text}")
        self._ready()

    def _ready(self) -> None:
        state = {"": "I", "failed": "E"}.get(self.transaction, "T")
        self.send(f"READY {state} {self.database.position}")

    def send(self, line: str) -> None:
        """Send a line of an answer, unless it is withheld."""
        withheld = self.database.withheld
        if self._runs and withheld is not None:
            withheld.append((self, line))
        elif self._held is not None:
            self._held.append(line.encode() + b"\r\n")
        else:
            self._write(line.encode() + b"\r\n")

    def _write(self, data: bytes) -> None:
        if data.startswith(b"READY"):
            self._work = None
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)


def no_work(text: str) -> float:
    """Return 0: a statement is answered at once."""
    return 0.0


@dataclass(frozen=True)
class PendingAnswer:
    """A commit's answer that waits for replication. `number`: number of the log entry."""

    session: DatabaseSession
    identifier: str
    number: int

    def give(self) -> None:
        """Send the answer."""
        self.session.done(self.identifier)


@dataclass
class LineGroup:
    """A primary and its replicas; the first member is the initial primary.

    `deposes`: a promotion demotes the former primary. Otherwise that one keeps leading, with its
    own log, until it is demoted explicitly. `sync_replicas`: number of replicas that must receive a
    commit before it is answered. `tenants`: tenants whose connections are accepted in addition to
    the gateway's own, None for all. `host`: address that members listen on. `work`: returns how
    long members hold the answer to a read, write or commit with a text (seconds).
    """

    name: str
    maximum_connections: int = 36
    deposes: bool = True
    sync_replicas: int = 0
    host: str = "127.0.0.1"
    members: dict[str, LineDatabase] = field(default_factory=dict)
    log_lengths_at_promotion: dict[str, int] = field(default_factory=dict)
    commits: list[CommitRecord] = field(default_factory=list)
    runs: list[RunRecord] = field(default_factory=list)
    promotions: list[PromotionRecord] = field(default_factory=list)
    held: list[PendingAnswer] = field(default_factory=list)
    tenants: set[str] | None = None
    works: list[WorkRecord] = field(default_factory=list)
    work: Callable[[str], float] = no_work

    async def start(self, names: list[str]) -> None:
        for name in names:
            self.members[name] = LineDatabase(self, name)
            await self.members[name].start()
        self.members[names[0]].is_primary = True

    @property
    def primary(self) -> LineDatabase:
        leading = [member for member in self.members.values() if member.is_primary]
        return max(leading, key=lambda member: member.term)

    @property
    def newest_term(self) -> int:
        """Return the newest term of all members."""
        return max(member.term for member in self.members.values())

    def replicate(self) -> None:
        """Send the primary's log to every replica that can receive it."""
        if not any(member.is_primary for member in self.members.values()):
            return
        primary = self.primary
        for member in self.members.values():
            if not member.can_receive_from(primary):
                continue
            if member.held_term <= primary.term and primary.term > member.term:
                member.paused = False
                member.held_term = 0
            if member.is_primary or member.paused:
                continue
            if member.lag:
                self._receive_later(member)
            else:
                member.receive(primary)
        self._answer_received()

    def _receive_later(self, member: LineDatabase) -> None:
        """Let a member receive, after its lag, the log that the primary has by then."""
        if member.receiving:
            return
        # The new term is known at once, without lag.
        member.term = max(member.term, self.primary.term)
        member.receiving = True
        asyncio.get_running_loop().call_later(member.lag, self._receive, member)

    def _receive(self, member: LineDatabase) -> None:
        member.receiving = False
        leading = any(found.is_primary for found in self.members.values())
        if (
            not leading
            or member.is_primary
            or member.paused
            or not member.can_receive_from(self.primary)
        ):
            return
        member.receive(self.primary)
        self._answer_received()

    def answer_when_received(self, answer: PendingAnswer) -> None:
        """Send a commit's answer once enough replicas have received the commit."""
        self.held.append(answer)
        self._answer_received()

    def _answer_received(self) -> None:
        held, self.held = self.held, []
        for answer in held:
            leader = answer.session.database
            if not leader.is_primary:
                # A demoted leader never answers its outstanding commits.
                answer.session.abort()
            elif self._copies(leader, answer.number) >= self.sync_replicas:
                answer.give()
            else:
                self.held.append(answer)

    def _copies(self, leader: LineDatabase, number: int) -> int:
        entry = leader.log[number - 1]
        others = [member.log for member in self.members.values() if member is not leader]
        return sum(len(log) >= number and log[number - 1] is entry for log in others)

    def promote(self, name: str) -> None:
        """Promote a member in the next term, with the log that it has received."""
        target = self.members[name]
        if target.is_primary and target is self.primary:
            return
        term = max(member.term for member in self.members.values()) + 1
        self.log_lengths_at_promotion = {
            member.name: len(member.log) for member in self.members.values()
        }
        for member in self.members.values():
            if self.deposes:
                member.is_primary = False
        target.is_primary = True
        target.paused = False
        target.held_term = 0
        target.term = term
        self.promotions.append(PromotionRecord(name, term, spans_of(target.log), next_sequence()))
        self.replicate()
