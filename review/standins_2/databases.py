"""Stand-ins of a service's databases: a primary and replicas on the line protocol of PROTOCOL.md."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

WORK_TEXTS = ("READ", "WRITE", "EXEC", "COMMIT")
ORDERS = ("PAUSE", "RESUME", "DEMOTE")


class Entry(NamedTuple):
    """One commit: its term, and what it wrote as (statement id, thing, data)."""

    term: int
    writes: tuple[tuple[str, str, str], ...]


class Run(NamedTuple):
    """One statement that a database ran."""

    time: float
    database: str
    connection: int
    identifier: str
    text: str
    values: dict[str, str]
    transaction: int
    """Number of the transaction that was open on the connection; 0: none."""
    log_length: int


class Commit(NamedTuple):
    """One write that took effect."""

    time: float
    database: str
    term: int
    number: int
    identifier: str


@dataclass
class Service:
    """A service: its databases, and what they ran. Times: monotonic clock, seconds.

    `demotes_at_once`: a promotion takes the lead from the former primary in the same moment.
    """

    name: str
    host: str
    nodes: int = 1
    slots: int = 3
    queue: int = 24
    max_conns: int = 36
    work: float = 0.006
    lag: float = 0.008
    handshake: float = 0.012
    busy_after_roll_back: float = 0.5
    demotes_at_once: bool = True
    databases: dict[str, Database] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    commits: list[Commit] = field(default_factory=list)
    notes: list[tuple[float, str]] = field(default_factory=list)
    transactions: int = 0
    connections: int = 0

    def note(self, text: str) -> None:
        """Record what happened, for record.txt."""
        self.notes.append((time.monotonic(), text))

    @property
    def newest_term(self) -> int:
        return max(database.term for database in self.databases.values())

    @property
    def primary(self) -> Database:
        leading = [found for found in self.databases.values() if found.is_primary]
        return max(leading, key=lambda found: found.term)

    def promote(self, name: str) -> None:
        """Let a database lead the next term with what it has received, and no more."""
        target = self.databases[name]
        if target.is_primary and target is self.primary:
            return
        term = self.newest_term + 1
        target.applied = len(target.log)
        target.term, target.is_primary, target.paused, target.held = term, True, False, 0
        self.note(f"{name} leads term {term} from {target.position}")
        if self.demotes_at_once:
            for other in self.databases.values():
                if other is not target:
                    other.is_primary = False
        self.replicate()

    def replicate(self) -> None:
        """Send the newest primary's log to the replicas that can receive it."""
        leading = [found for found in self.databases.values() if found.is_primary and found.serving]
        if not leading:
            return
        primary = max(leading, key=lambda found: found.term)
        for other in self.databases.values():
            if other is primary or not other.can_reach(primary):
                continue
            if other.is_primary:
                asyncio.get_running_loop().call_later(1.0, other.follow, primary)
            elif other.can_receive(primary):
                other.receive(primary)


class Database:
    """One database. `refuses` returns the error code for a text that it does not run, or None."""

    def __init__(self, service: Service, name: str, zone: str) -> None:
        self.service = service
        self.name = name
        self.zone = zone
        self.log: list[Entry] = []
        self.applied = 0
        self.term = 1
        self.held = 0
        self.paused = False
        self.is_primary = False
        self.state = "ready"
        self.busy_until = 0.0
        self.cut_from: set[str] = set()
        self.refuses: Callable[[str], str | None] = lambda text: None
        self.ports: list[int] = []
        self.sessions: set[Session] = set()
        self.dark_nodes: set[int] = set()
        self.running = 0
        self.waiting: deque[asyncio.Future[None]] = deque()
        self._servers: list[asyncio.Server] = []
        service.databases[name] = self

    @property
    def serving(self) -> bool:
        return bool(self._servers)

    @property
    def position(self) -> str:
        """The end of the log: what was received."""
        return f"{self.log[-1].term if self.log else 1}.{len(self.log)}"

    @property
    def applied_position(self) -> str:
        """The end of the log as far as it is applied."""
        last = self.log[self.applied - 1].term if self.applied else 1
        return f"{last}.{self.applied}"

    async def start(self) -> None:
        """Listen on one port a node; the ports stay the same over restarts."""
        ports = self.ports or [0] * self.service.nodes
        self._servers = [await self._listen(node, port) for node, port in enumerate(ports)]
        self.ports = [server.sockets[0].getsockname()[1] for server in self._servers]

    async def _listen(self, node: int, port: int) -> asyncio.Server:
        loop = asyncio.get_running_loop()
        return await loop.create_server(lambda: Session(self, node), self.service.host, port)

    def cut_nodes(self, nodes: set[int]) -> None:
        """Cut the links to some nodes: what is open says nothing more, new connections neither."""
        self.dark_nodes = set(nodes)
        for session in self.sessions:
            session.muted = session.muted or session.node in nodes

    def crash(self) -> None:
        """End at once: connections are reset, nothing listens."""
        for server in self._servers:
            server.close()
        self._servers = []
        for session in list(self.sessions):
            session.abort()
        self.service.note(f"{self.name} crashed at {self.position}")

    async def restart(self) -> None:
        """Come back with the log, as a replica if another database was promoted."""
        self.paused, self.held = False, 0
        if self.service.newest_term > self.term:
            self.is_primary = False
        await self.start()
        self.service.note(f"{self.name} is back at {self.position}")
        self.service.replicate()

    def can_reach(self, other: Database) -> bool:
        is_cut = other.name in self.cut_from or self.name in other.cut_from
        return self.serving and other.serving and not is_cut

    def follow(self, primary: Database) -> None:
        """Give up the lead for a newer primary that it can reach."""
        if self.is_primary and primary.term > self.term and self.can_reach(primary):
            self.is_primary = False
            self.service.note(f"{self.name} gives up its lead at {self.position}")
            self.service.replicate()

    def can_receive(self, primary: Database) -> bool:
        if primary.term > self.term and primary.term >= self.held:
            self.paused, self.held = False, 0
        return not self.paused and primary.term >= self.term

    def receive(self, primary: Database) -> None:
        """Receive the primary's log; entries that it lacks are rolled back."""
        common = 0
        for own, other in zip(self.log, primary.log, strict=False):
            if own is not other:
                break
            common += 1
        if common < len(self.log):
            self.service.note(f"{self.name} rolls back {len(self.log) - common} entries, busy")
            self.busy_until = time.monotonic() + self.service.busy_after_roll_back
        self.applied = min(self.applied, common)
        self.log = list(primary.log)
        self.term = primary.term
        length = len(self.log)
        lag = random.uniform(0.5, 1.5) * self.service.lag
        asyncio.get_running_loop().call_later(lag, self._apply, length)

    def _apply(self, length: int) -> None:
        self.applied = max(self.applied, min(length, len(self.log)))

    def lacks(self, position: str) -> bool:
        term, number = (int(part) for part in position.split("."))
        if not number:
            return False
        return self.applied < number or self.log[number - 1].term < term

    def lookup(self, thing: str) -> str:
        for entry in reversed(self.log[: self.applied]):
            for _, name, data in reversed(entry.writes):
                if name == thing:
                    return data
        return "none"

    def commit(self, writes: list[tuple[str, str, str]]) -> None:
        self.log.append(Entry(self.term, tuple(writes)))
        self.applied = len(self.log)
        now = time.monotonic()
        for identifier, _, _ in writes:
            self.service.commits.append(
                Commit(now, self.name, self.term, len(self.log), identifier)
            )
        self.service.replicate()

    async def slot(self) -> bool:
        """Wait for a slot; False: the queue is full."""
        if self.running < self.service.slots:
            self.running += 1
            return True
        if len(self.waiting) >= self.service.queue:
            return False
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await turn
        return True

    def release_slot(self) -> None:
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1


class Session(asyncio.Protocol):
    """The database's end of one connection; it runs its statements one after the other."""

    def __init__(self, database: Database, node: int) -> None:
        self.database = database
        self.node = node
        self.muted = node in database.dark_nodes
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self.writes: list[tuple[str, str, str]] = []
        self.kind = ""
        self.failed = False
        self.transaction = 0
        self.term = 0
        database.service.connections += 1
        self.number = database.service.connections
        self._buffer = b""
        self._lines: asyncio.Queue[str] = asyncio.Queue()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        self.database.sessions.add(self)
        self._task = asyncio.ensure_future(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        self.database.sessions.discard(self)
        if self._task is not None:
            self._task.cancel()

    def abort(self) -> None:
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.muted:
            return
        *lines, self._buffer = (self._buffer + data).split(b"\r\n")
        for line in lines:
            self._lines.put_nowait(line.decode())

    def _send(self, text: str) -> None:
        if self._transport is not None and not self._transport.is_closing() and not self.muted:
            self._transport.write(text.encode())

    async def _serve(self) -> None:
        while True:
            word, _, rest = (await self._lines.get()).partition(" ")
            if word == "START":
                await self._start(rest.split(" "))
            elif word == "QUERY":
                identifier, _, text = rest.partition(" ")
                await self._query(identifier, text)
            else:
                self.abort()

    async def _start(self, fields: list[str]) -> None:
        database, service = self.database, self.database.service
        expected = fields[2] if len(fields) > 2 else database.name
        error = ""
        if fields[0] != service.name or expected != database.name:
            error = "MISROUTED"
        elif len(database.sessions) > service.max_conns:
            error = "TOOMANY"
        if error:
            self._send(f"ERR {error} no\r\n")
            if self._transport is not None:
                self._transport.close()
            return
        await asyncio.sleep(service.handshake)
        self._ready()

    def _ready(self) -> None:
        state = "E" if self.failed else "T" if self.kind else "I"
        self._send(f"READY {state} {self.database.applied_position}\r\n")

    def _done(self, signature: str = "-", rows: tuple[str, ...] = ()) -> None:
        self._send("".join(f"ROW {row}\r\n" for row in rows) + f"DONE {signature}\r\n")
        self._ready()

    def _error(self, code: str, text: str = "no", fails: bool = False) -> None:
        if fails and self.kind:
            self.failed = True
        self._send(f"ERR {code} {text}\r\n")
        self._ready()

    async def _query(self, identifier: str, text: str) -> None:
        database = self.database
        floor = ""
        if text.startswith("AFTER "):
            _, floor, text = text.split(" ", 2)
        word, _, rest = text.partition(" ")
        if word not in ORDERS and word != "STATUS":
            code = database.refuses(text)
            if code is not None:
                self._error(code)
                return
        if word not in ORDERS and time.monotonic() < database.busy_until:
            database.service.note(f"{database.name} is busy: {identifier} {text} on {self.number}")
            self._error("BUSY", "rolled back a moment ago")
            return
        if self.failed and word not in ("COMMIT", "ROLLBACK"):
            self._error("MALFORMED")
            return
        if floor and database.lacks(floor):
            self._error("LAGGING", floor)
            return
        has_slot = False
        if word in WORK_TEXTS:
            has_slot = await database.slot()
            if not has_slot:
                self._error("BUSY", "queue")
                return
            await asyncio.sleep(random.uniform(0.5, 1.5) * database.service.work)
        try:
            getattr(self, f"_do_{word.lower()}")(identifier, rest)
        finally:
            if has_slot:
                database.release_slot()

    def _record(self, identifier: str, text: str) -> None:
        database = self.database
        database.service.runs.append(
            Run(
                time.monotonic(),
                database.name,
                self.number,
                identifier,
                text,
                dict(self.values),
                self.transaction,
                database.applied,
            )
        )

    # Statements.

    def _do_begin(self, identifier: str, rest: str) -> None:
        if self.kind:
            self._error("MALFORMED")
            return
        if not rest and not self.database.is_primary:
            self._error("READONLY", self.database.name)
            return
        self.database.service.transactions += 1
        self.transaction = self.database.service.transactions
        self.kind, self.writes, self.term = rest or "WRITE", [], self.database.term
        self._done()

    def _end(self) -> None:
        self.kind, self.writes, self.transaction, self.failed = "", [], 0, False

    def _do_rollback(self, identifier: str, rest: str) -> None:
        self._end()
        self._done()

    def _do_commit(self, identifier: str, rest: str) -> None:
        if self.failed:
            self._end()
            self._error("ABORTED")
            return
        if self.writes and self._has_lost_lead():
            self._end()
            self._error("READONLY", self.database.name)
            return
        self._record(identifier, "COMMIT")
        writes = self.writes
        self._end()
        if writes:
            self.database.commit(writes)
        self._done(f"sig.{identifier}.commit")

    def _has_lost_lead(self) -> bool:
        return not self.database.is_primary or self.database.term != self.term

    def _do_read(self, identifier: str, thing: str) -> None:
        if self.kind == "WRITE" and self._has_lost_lead():
            self._error("READONLY", self.database.name, fails=True)
            return
        self._record(identifier, f"READ {thing}")
        own = [data for _, name, data in self.writes if name == thing]
        row = own[-1] if own else self.database.lookup(thing)
        self._done(f"sig.{identifier}.{row}", (row,))

    def _do_write(self, identifier: str, rest: str) -> None:
        thing, _, data = rest.partition(" ")
        if self.kind == "READ" or not self.database.is_primary:
            self._error("READONLY", self.database.name, fails=True)
            return
        if self.kind and self._has_lost_lead():
            self._error("READONLY", self.database.name, fails=True)
            return
        self._record(identifier, f"WRITE {thing}")
        if self.kind:
            self.writes.append((identifier, thing, data))
        else:
            self.database.commit([(identifier, thing, data)])
        self._done(f"sig.{identifier}.write")

    def _do_exec(self, identifier: str, rest: str) -> None:
        name, _, arguments = rest.partition(" ")
        if name not in self.prepared:
            self._error("NOSTMT", name, fails=True)
            return
        kind, shape = self.prepared[name]
        run = self._do_read if kind == "READ" else self._do_write
        run(identifier, f"{shape}/{arguments}")

    def _do_set(self, identifier: str, rest: str) -> None:
        name, _, value = rest.partition(" ")
        self.values[name] = value
        self._done()

    def _do_prepare(self, identifier: str, rest: str) -> None:
        name, kind, shape = rest.split(" ", 2)
        self.prepared[name] = (kind, shape)
        self._done()

    def _do_dealloc(self, identifier: str, rest: str) -> None:
        if self.prepared.pop(rest, None) is None:
            self._error("NOSTMT", rest)
        else:
            self._done()

    def _do_reset(self, identifier: str, rest: str) -> None:
        self.values.clear()
        self.prepared.clear()
        self._done()

    # Orders.

    def _do_status(self, identifier: str, rest: str) -> None:
        found = self.database
        role = "primary" if found.is_primary else "replica"
        row = f"{role} {found.term} {found.position} {found.held} 0 {found.running}"
        self._done("-", (f"{row} {len(found.sessions)}",))

    def _do_pause(self, identifier: str, rest: str) -> None:
        found = self.database
        if int(rest) > found.service.newest_term or int(rest) > found.term:
            found.paused, found.held = True, max(found.held, int(rest))
        self._do_status(identifier, "")

    def _do_resume(self, identifier: str, rest: str) -> None:
        self.database.paused, self.database.held = False, 0
        self.database.service.replicate()
        self._do_status(identifier, "")

    def _do_demote(self, identifier: str, rest: str) -> None:
        found = self.database
        if found.is_primary and found.term < int(rest):
            found.is_primary = False
            found.service.note(f"{found.name} is demoted at {found.position}")
        self._do_status(identifier, "")
