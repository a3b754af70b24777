"""Small stand-ins of the users' platform for the review's scripts: store, promotions, databases, clients.

They follow PROTOCOL.md as far as the scripts need it, use nothing but Python's own library, and run in
the script's process. The nodes are the project's program, started as the deploy file says.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import secrets
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HEARTBEAT_SECONDS = 1.2
MISSED_HEARTBEATS = 3
REPLICA_LAG_SECONDS = 0.008


class Record:
    """Writes what was sent, answered and run, a JSON object a line (`t`: seconds from the start)."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def add(self, what: str, **fields: Any) -> None:
        self._file.write(json.dumps({"t": round(self.now(), 3), "what": what, **fields}) + "\n")
        self._file.flush()


# HTTP.

Answer = tuple[int, Any]
Handler = Callable[[str, str, dict[str, str], dict[str, str], Any], Awaitable[Answer]]


async def serve_http(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve HTTP/1.1 with JSON bodies."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                headers = {
                    name.strip().lower(): value.strip()
                    for name, _, value in (line.partition(":") for line in head[1:] if line)
                }
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                parts = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                content = json.loads(body) if body else None
                status, result = await handler(method, parts.path, query, headers, content)
                data = b"" if result is None else json.dumps(result).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(serve, host, port, backlog=256)


class Store:
    """The platform's store: objects by kind and name, one counter of revisions, watches."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._revision = 1
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        self._revision += 1
        meta = {
            "name": name,
            "revision": self._revision,
            "created": 0,
            "finalizers": [],
            "deletion_pending": False,
        }
        found = self._objects[kind, name] = {"meta": meta, "spec": spec, "status": None}
        self._tell(kind, found, False)
        return found

    def delete(self, kind: str, name: str) -> None:
        if (kind, name) in self._objects:
            self._revision += 1
            self._tell(kind, self._objects.pop((kind, name)), True)

    def get(self, kind: str, name: str) -> Any:
        found = self._objects.get((kind, name))
        return None if found is None else found["spec"]

    def _tell(self, kind: str, found: dict[str, Any], deleted: bool) -> None:
        self._events.append((self._revision, kind, found, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(
        self, method: str, path: str, query: dict[str, str], _: dict[str, str], content: Any
    ) -> Answer:
        parts = [unquote(part) for part in path.split("/")[3:]]
        if not path.startswith("/bramblebeam/objects/") or not parts:
            return 404, None
        await asyncio.sleep(0.004)
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if method == "GET" and name is None:
            if "watch" in query:
                return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
            after = query.get("after", "")
            items = [
                found
                for (one, key), found in sorted(self._objects.items())
                if one == kind and key > after
            ]
            return 200, {"items": items, "has_more": False, "timestamp": self._revision}
        if method == "POST" and name is None:
            name = content["meta"]["name"]
            if (kind, name) in self._objects:
                return 409, self._objects[kind, name]
            return 200, self.put(kind, name, content.get("spec"))
        if name is None or (kind, name) not in self._objects:
            return 404, None
        found = self._objects[kind, name]
        if method == "GET":
            return 200, found
        if method != "PUT":
            return 404, None
        wanted = content["meta"].get("revision")
        if wanted is not None and wanted != found["meta"]["revision"]:
            return 409, found
        if found["spec"] == content.get("spec"):
            return 200, found
        return 200, self.put(kind, name, content.get("spec"))

    async def _watch(self, kind: str, after: int, wait: float) -> Answer:
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            events = [
                {"object": found, "deleted": deleted}
                for revision, one, found, deleted in self._events
                if one == kind and revision > after
            ]
            left = deadline - asyncio.get_running_loop().time()
            if events or left <= 0:
                return 200, {"events": events, "timestamp": self._revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue


class Link:
    """The path from one node to one database; `cut` refuses and resets, `heal` ends that."""

    def __init__(self, host: str, port: int, target: tuple[str, int]) -> None:
        self.host, self.port = host, port
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def heal(self) -> None:
        self._server = await asyncio.start_server(self._pass, self.host, self.port, backlog=64)

    def cut(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _pass(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(_copy(reader, far_writer), _copy(far_reader, writer))
        except asyncio.CancelledError:
            pass
        finally:
            self._writers -= {writer, far_writer}


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.read(65_536):
            writer.write(data)
    except ConnectionError:
        pass
    writer.transport.abort()


# Databases.

Entry = tuple[int, str]
"""The term of a commit, and what it wrote."""


class Database:
    """One database; `deaf`: it receives nothing. Times are seconds."""

    def __init__(self, group: Group, name: str, zone: str, host: str, port: int) -> None:
        self.group, self.name, self.zone, self.host, self.port = group, name, zone, host, port
        self.log: list[Entry] = []
        self.term = 1
        self.held = 0
        self.is_primary = False
        self.deaf = False
        self.state = "ready"
        self.running = False
        self.sessions: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._sequence = 0
        self._beats: asyncio.Task[None] | None = None

    @property
    def position(self) -> str:
        return f"{self.log[-1][0]}.{len(self.log)}" if self.log else "-"

    def lacks(self, position: str) -> bool:
        term, number = (int(part) for part in position.split("."))
        return len(self.log) < number or self.log[number - 1][0] < term

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, self.port, backlog=64)
        self.running = True
        if self.is_primary and self.group.newest_term > self.term:
            self.is_primary = False
        self.held = 0
        self._beats = asyncio.ensure_future(self._keep_registered())
        self.group.record.add("database started", id=self.name, position=self.position)
        self.group.replicate_soon()

    async def stop(self, why: str) -> None:
        """End or crash: connections are reset, nothing listens any more."""
        self.running = False
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self.sessions):
            writer.transport.abort()
        self.group.record.add("database ended", id=self.name, why=why, position=self.position)

    def register(self) -> None:
        """Write the entry to the store if more than its sequence has changed."""
        self._sequence += 1
        entry = {
            "service": self.group.name,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self.group.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "db_role": "primary" if self.is_primary else "replica",
            "sequence": self._sequence,
        }
        known = self.group.store.get("servers", self.name)
        if known is None or {**known, "sequence": 0} != {**entry, "sequence": 0}:
            self.group.store.put("servers", self.name, entry)
            self.group.record.add(
                "registered", id=self.name, state=self.state, role=entry["db_role"]
            )

    async def _keep_registered(self) -> None:
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.sessions.add(writer)
        try:
            await Session(self, writer).serve(reader)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.sessions.discard(writer)
            writer.close()


class Session:
    """One connection to a database."""

    def __init__(self, database: Database, writer: asyncio.StreamWriter) -> None:
        self._database, self._writer = database, writer
        self._state = "I"
        self._plain = False
        self._writes: list[str] = []
        self._prepared: dict[str, tuple[str, str]] = {}

    async def serve(self, reader: asyncio.StreamReader) -> None:
        while True:
            line = (await reader.readuntil(b"\r\n")).decode()[:-2]
            word, _, rest = line.partition(" ")
            if word == "START":
                fields = rest.split(" ")
                group = self._database.group
                name = fields[2] if len(fields) > 2 else self._database.name
                if fields[0] != group.name or name != self._database.name:
                    self._send("ERR MISROUTED another database")
                    return
                if len(self._database.sessions) > group.max_conns:
                    self._send("ERR TOOMANY connections")
                    return
                self._ready()
            elif word == "QUERY":
                identifier, _, text = rest.partition(" ")
                await self._query(identifier, text)
            else:
                return

    async def _query(self, identifier: str, text: str) -> None:
        if text.startswith("AFTER "):
            _, position, text = text.split(" ", 2)
            if self._database.lacks(position):
                self._error("LAGGING", position)
                return
        word, _, rest = text.partition(" ")
        if self._state == "E" and word not in ("COMMIT", "ROLLBACK"):
            self._error("MALFORMED", "the transaction failed")
            return
        if word == "EXEC":
            name, _, arguments = rest.partition(" ")
            if name not in self._prepared:
                self._error("NOSTMT", name)
                return
            word, shape = self._prepared[name]
            rest = f"{shape}/{arguments}"
        handler = getattr(self, f"_{word.lower()}", None)
        if handler is None:
            self._error("MALFORMED", word)
            return
        await handler(identifier, rest)

    async def _begin(self, _: str, rest: str) -> None:
        if not rest and not self._database.is_primary:
            self._error("READONLY", self._database.name)
            return
        self._state, self._plain, self._writes = "T", not rest, []
        self._done("-")

    async def _rollback(self, *_: str) -> None:
        self._state, self._writes = "I", []
        self._done("-")

    async def _read(self, identifier: str, thing: str) -> None:
        database = self._database
        if self._state == "T" and self._plain and not database.is_primary:
            self._state = "E"
            self._error("READONLY", database.name)
            return
        database.group.run(database, identifier, f"READ {thing}")
        await asyncio.sleep(database.group.work(thing))
        if identifier != "-":
            database.group.reads[identifier] = (database, list(database.log))
        database.group.run_ended(database, identifier)
        self._send(f"ROW {len(database.log)}")
        self._done(f"signed-{identifier}")

    async def _write(self, identifier: str, rest: str) -> None:
        database = self._database
        if not database.is_primary or (self._state == "T" and not self._plain):
            self._state = "E" if self._state == "T" else "I"
            self._error("READONLY", database.name)
            return
        await asyncio.sleep(database.group.work(rest))
        database.group.run(database, identifier, f"WRITE {rest}")
        if self._state == "T":
            self._writes.append(rest)
            self._done(f"signed-{identifier}")
        else:
            await self._commit_now(identifier, rest)

    async def _commit(self, identifier: str, _: str) -> None:
        writes, state = self._writes, self._state
        self._state, self._writes = "I", []
        if state == "E":
            self._error("ABORTED", "rolled back")
        elif writes and not self._database.is_primary:
            self._error("READONLY", self._database.name)
        elif writes:
            await self._commit_now(identifier, ";".join(writes))
        else:
            self._done(f"signed-{identifier}")

    async def _commit_now(self, identifier: str, what: str) -> None:
        database = self._database
        if not database.is_primary:
            self._error("READONLY", database.name)
            return
        if not await database.group.commit(database, identifier, what):
            raise ConnectionResetError
        self._done(f"signed-{identifier}")

    async def _set(self, *_: str) -> None:
        self._done("-")

    async def _prepare(self, _: str, rest: str) -> None:
        name, kind, shape = rest.split(" ", 2)
        self._prepared[name] = (kind, shape)
        self._done("-")

    async def _dealloc(self, _: str, name: str) -> None:
        self._prepared.pop(name, None)
        self._done("-")

    async def _reset(self, *_: str) -> None:
        self._prepared.clear()
        self._done("-")

    async def _status(self, *_: str) -> None:
        database = self._database
        role = "primary" if database.is_primary else "replica"
        received = database.position if database.log else f"{database.term}.0"
        count = len(database.sessions)
        self._send(f"ROW {role} {database.term} {received} {database.held} 0 0 {count}")
        self._done("-")

    async def _pause(self, _: str, term: str) -> None:
        if not self._database.is_primary and int(term) > self._database.term:
            self._database.held = int(term)
            self._database.group.record.add("paused", id=self._database.name, term=int(term))
        await self._status()

    async def _resume(self, *_: str) -> None:
        self._database.held = 0
        self._database.group.replicate_soon()
        await self._status()

    async def _demote(self, _: str, term: str) -> None:
        if self._database.is_primary and self._database.term < int(term):
            self._database.is_primary = False
            self._database.group.record.add("demoted", id=self._database.name, term=int(term))
            self._database.register()
        await self._status()

    def _done(self, signature: str) -> None:
        self._send(f"DONE {signature}")
        self._ready()

    def _error(self, code: str, text: str) -> None:
        self._send(f"ERR {code} {text}")
        self._ready()

    def _ready(self) -> None:
        self._send(f"READY {self._state} {self._database.position}")

    def _send(self, line: str) -> None:
        self._writer.write(line.encode() + b"\r\n")


class Group:
    """A service: one primary and its replicas.

    `sync_replicas`: replicas that must have received a commit before it is answered.
    """

    def __init__(self, name: str, store: Store, record: Record, sync_replicas: int = 0) -> None:
        self.name, self.store, self.record = name, store, record
        self.sync_replicas = sync_replicas
        self.slots = 3
        self.max_conns = 36
        self.promote_seconds = 1.0
        self.deposes = True
        self.reads: dict[str, tuple[Database, list[Entry]]] = {}
        self.members: dict[str, Database] = {}
        self.work: Callable[[str], float] = lambda thing: 0.005
        self.promoted: list[tuple[Database, list[Entry]]] = []
        self._changed = asyncio.Event()
        self._fence = 0

    @property
    def newest_term(self) -> int:
        return max(member.term for member in self.members.values())

    def run(self, database: Database, identifier: str, text: str) -> None:
        if identifier != "-":
            self.record.add("runs", id=identifier, text=text, at=database.name)

    def run_ended(self, database: Database, identifier: str) -> None:
        if identifier != "-":
            self.record.add("run ended", id=identifier, at=database.name)

    async def commit(self, leader: Database, identifier: str, what: str) -> bool:
        """Append a commit; return once it may be answered, False if the database lost the lead."""
        entry = (leader.term, what)
        leader.log.append(entry)
        number = len(leader.log)
        self.record.add("committed", id=identifier, at=leader.name, position=leader.position)
        self.replicate_soon()
        while leader.running and leader.is_primary:
            copies = sum(
                len(member.log) >= number and member.log[number - 1] == entry
                for member in self.members.values()
                if member is not leader
            )
            if copies >= self.sync_replicas:
                return True
            await self._changed.wait()
        return False

    def replicate_soon(self) -> None:
        asyncio.get_running_loop().call_later(REPLICA_LAG_SECONDS, self._replicate)

    def _replicate(self) -> None:
        leading = [found for found in self.members.values() if found.is_primary and found.running]
        if leading:
            leader = max(leading, key=lambda found: found.term)
            for member in self.members.values():
                if member is leader or member.is_primary or not member.running or member.deaf:
                    continue
                if member.held > leader.term or member.term > leader.term:
                    continue
                if member.term < leader.term:
                    member.held = 0
                member.log, member.term = list(leader.log), leader.term
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(
        self, method: str, path: str, _: dict[str, str], headers: dict[str, str], content: Any
    ) -> Answer:
        """POST /promotions; fences are checked."""
        if method != "POST" or path != "/promotions":
            return 404, None
        fence = int(headers["x-bramblebeam-fence-token"])
        target = self.members.get(content["id"])
        status = 200
        if content["service"] != self.name or (self.deposes and fence < self._fence):
            status = 409
        elif target is None or not target.running:
            status = 409
        self.record.add(
            "promotion ordered",
            id=content["id"],
            holder=headers["x-bramblebeam-lease-holder"],
            fence=fence,
            status=status,
        )
        if status == 200 and target is not None:
            self._fence = fence
            if not (target.is_primary and target.term == self.newest_term):
                asyncio.get_running_loop().call_later(self.promote_seconds, self._promote, target)
        return status, None

    def _promote(self, target: Database) -> None:
        if not target.running:
            return
        term = self.newest_term + 1
        for member in self.members.values():
            if member.is_primary and self.deposes:
                self._step_down(member)
            elif member.is_primary:
                # It goes on until DEMOTE, or a second after it can reach the new one.
                asyncio.get_running_loop().call_later(1.0, self._step_down, member)
        target.is_primary, target.held, target.term = True, 0, term
        self.promoted.append((target, list(target.log)))
        self.record.add("promoted", id=target.name, term=term, position=target.position)
        target.register()
        self.replicate_soon()

    def _step_down(self, member: Database) -> None:
        if member.is_primary and member.term < self.newest_term:
            member.is_primary = False
            self.record.add("lost the lead", id=member.name)
            if member.running:
                member.register()
            self.replicate_soon()


# Clients.


class Client:
    """One session at a node's front address."""

    def __init__(self, record: Record, node: str, reader: Any, writer: Any) -> None:
        self._record, self._node = record, node
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, record: Record, node: Node, database: str) -> Client | None:
        """Return a session, or None if the node does not open one."""
        try:
            reader, writer = await asyncio.open_connection(*node.front)
            client = cls(record, node.name, reader, writer)
            writer.write(f"START {database} reviewer\r\n".encode())
            answer, _ = await client._answer()
        except (OSError, asyncio.IncompleteReadError):
            return None
        return client if answer.startswith("READY") else None

    async def run(self, text: str) -> tuple[str, bool]:
        """Return the answer ("DONE ...", "ERR ..." or "closed") and whether it was complete."""
        identifier = secrets.token_hex(8)
        self._record.add("sent", id=identifier, node=self._node, text=text)
        try:
            self._writer.write(f"QUERY {identifier} {text}\r\n".encode())
            answer, complete = await self._answer()
        except (OSError, asyncio.IncompleteReadError):
            answer, complete = "closed", False
        self._record.add("answered", id=identifier, answer=answer, complete=complete)
        return answer, complete

    def close(self) -> None:
        self._writer.transport.abort()

    async def _answer(self) -> tuple[str, bool]:
        answer = ""
        while True:
            line = (await self._reader.readuntil(b"\r\n")).decode()[:-2]
            word = line.partition(" ")[0]
            if word in ("DONE", "ERR"):
                answer = line
            elif word == "READY":
                return answer or line, True


# Nodes.


class Node:
    """One process of the deployed role."""

    def __init__(self, name: str, host: str, port: int, folder: Path, settings: dict[str, Any]):
        self.name = name
        self.front = (host, port)
        self._ready = (host, port + 1)
        self._folder = folder
        self._settings = settings
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        file = self._folder / f"{self.name}.json"
        file.write_text(json.dumps(self._settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["BRAMBLEBEAM_NODE_FILE"] = str(file)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def ready(self) -> bool:
        """Ask the ready probe once."""
        try:
            reader, writer = await asyncio.open_connection(*self._ready)
            writer.write(b"GET /bramblebeam/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200" in line

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


class System:
    """A small deployment on loopback: store, promotions, one group of three databases, nodes."""

    def __init__(self, record: Record, folder: Path, nodes: int, sync_replicas: int) -> None:
        self.record = record
        self._network = f"127.{random.randint(2, 250)}.{random.randint(2, 250)}"
        self._folder = folder
        self.store = Store(record)
        self.group = Group("rutas-db", self.store, record, sync_replicas)
        self.nodes: list[Node] = []
        self.links: dict[tuple[str, str], Link] = {}
        self.fence_required = True
        self.has_links = False
        self.without_store: set[str] = set()
        self._count = nodes
        self._port = 0
        self._servers: list[asyncio.Server] = []

    async def start(self, routes: list[dict[str, Any]]) -> None:
        """Start everything; raises TimeoutError if the nodes are not ready in time."""
        platform = f"{self._network}.201"
        port = _free_port([platform, *(f"{self._network}.{n}" for n in range(1, self._count + 1))])
        self._servers.append(await serve_http(platform, port, self.store.handle))
        self._servers.append(await serve_http(platform, port + 1, self.group.handle))
        content = {
            "version": 7,
            "routes": routes,
            "services": [
                {
                    "name": self.group.name,
                    "max_conns": self.group.max_conns,
                    "sync_replicas": self.group.sync_replicas,
                }
            ],
            "limits": {"tx_idle_ms": 3000},
        }
        self.store.put("config", "main", content)
        zones = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}
        for index, zone in enumerate(zones):
            name = f"i-{secrets.token_hex(5)}"
            host = f"{self._network}.{101 + index}"
            member = Database(self.group, name, zone, host, port)
            member.log = [(1, f"first-{number}") for number in range(20)]
            member.is_primary = index == 0
            self.group.members[name] = member
            await member.start()
        self._port = port
        hosts = [f"{self._network}.{number}" for number in range(1, self._count + 1)]
        for index in range(self._count):
            self.nodes.append(await self.add_node(index, hosts))
        async with asyncio.timeout(30):
            for node in self.nodes:
                while not await node.ready():
                    await asyncio.sleep(0.1)
        self.record.add("nodes ready", nodes=[node.name for node in self.nodes])

    async def add_node(self, index: int, seeds: list[str], bootstrap: bool = True) -> Node:
        """Start a machine. It reaches the databases by links of its own."""
        name, host = f"edge-{index + 1}", f"{self._network}.{index + 1}"
        zones = {"zone-a": "region-a", "zone-b": "region-b", "zone-c": "region-c"}
        zone = list(zones)[index % 3]
        settings = _settings(name, host, self._port, zone, zones, seeds)
        settings["bootstrap"] = bootstrap
        settings["bounds"]["fence_required"] = self.fence_required
        platform = f"{self._network}.201"
        settings["cloud_api"]["address"] = f"{platform}:{self._port + 1}"
        settings["platform"]["address"] = f"{platform}:{self._port}"
        if self.has_links:
            store = f"{self._network}.{202 + index}"
            for offset, member in enumerate(self.group.members.values()):
                link = Link(store, self._port + 1 + offset, (member.host, member.port))
                self.links[name, member.name] = link
                await link.heal()
            self._servers.append(await serve_http(store, self._port, self._store_of(name)))
            settings["platform"]["address"] = f"{store}:{self._port}"
        node = Node(name, host, self._port, self._folder, settings)
        await node.start()
        self.record.add("node started", node=name)
        return node

    def address(self, number: int) -> str:
        """Return a host of the network."""
        return f"{self._network}.{number}"

    def _store_of(self, name: str) -> Handler:
        """Return the store as a node sees it: the databases' addresses are those of its links."""

        def seen(found: dict[str, Any]) -> dict[str, Any]:
            link = self.links[name, found["meta"]["name"]]
            return {**found, "spec": {**found["spec"], "address": f"{link.host}:{link.port}"}}

        async def handle(
            method: str, path: str, query: dict[str, str], headers: dict[str, str], content: Any
        ) -> Answer:
            status, result = await self.store.handle(method, path, query, headers, content)
            if name in self.without_store:
                raise ConnectionResetError
            if not path.endswith("/servers") or result is None:
                return status, result
            if "items" in result:
                return status, {**result, "items": [seen(found) for found in result["items"]]}
            events = [{**event, "object": seen(event["object"])} for event in result["events"]]
            return status, {**result, "events": events}

        return handle

    async def stop(self) -> None:
        await asyncio.gather(*(node.kill() for node in self.nodes))
        for member in self.group.members.values():
            if member.running:
                await member.stop("end of the script")
        for server in self._servers:
            server.close()


def route(name: str, host: str, kind: str, timeout_ms: int, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": host,
        "service": "rutas-db",
        "route_type": kind,
        "timeout_ms": timeout_ms,
        "target_ms": 1000,
        "priority": 1,
        **more,
    }


def _settings(
    name: str, host: str, port: int, zone: str, zones: dict[str, str], hosts: list[str]
) -> dict[str, Any]:
    """Return settings like those of DEPLOY.md."""
    return {
        "node_name": name,
        "node_role": "gateway",
        "machine_class": "edge",
        "serves": ["edge", "control"],
        "ip_address": host,
        "zone": zone,
        "region": zones[zone],
        "zones": zones,
        "bind_addrs": {
            "front": f"{host}:{port}",
            "ready_addr": f"{host}:{port + 1}",
            "control": f"{host}:{port + 2}",
        },
        "inner_ports": [port + 3, port + 6],
        "seed_nodes": [f"{seed}:{port + 2}" for seed in hosts[:3]],
        "bootstrap": True,
        "loss_counted": False,
        "limits": {"cpu_share": 0.537, "cpu_cores": 2, "memory_mb": 300, "max_fds": 4300},
        "data_dir": None,
        "discovery_mode": "platform",
        "entry_mode": "vip",
        "heartbeat_ms": 1200,
        "policies": ["base", "drain", "config", "cost", "recover", "sql", "platform"],
        "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
        "bounds": {
            "contact_ms": 5000,
            "ack_timeout_ms": 6000,
            "drain_ms": 7000,
            "grace_period_s": 6,
            "loss_slack_ms": 200,
            "config_apply_ms": 4000,
            "recover_s": 12,
            "fence_required": True,
        },
        "platform": {"form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20},
        "cloud_api": {"rate_per_s": 50.0, "duty_set": ["failover"], "duty_per_s": 50.0},
    }


def _free_port(hosts: list[str]) -> int:
    """Return the first of eight ports that are free on all hosts."""
    for port in random.sample(range(20_000, 30_000, 8), 200):
        if all(_is_free(host, port + offset) for host in hosts for offset in range(8)):
            return port
    raise OSError("no free ports")


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


Case = Callable[[System, Record, bool], Awaitable[int]]


def main(case: Case, folder: Path, nodes: int, sync_replicas: int = 0, seconds: float = 105) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    if not (ROOT / "target/deps").is_dir():
        print("target/deps is missing: run the build command of the deploy file first")
        return 2
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.add("begins", trouble=trouble)

    async def run(temporary: Path) -> int:
        system = System(record, temporary, nodes, sync_replicas)
        try:
            async with asyncio.timeout(seconds):
                return await case(system, record, trouble)
        except TimeoutError:
            record.add("could not run", why="out of time")
            return 2
        finally:
            await system.stop()

    with tempfile.TemporaryDirectory() as temporary:
        try:
            code = asyncio.run(run(Path(temporary)))
        except Exception as error:
            record.add("could not run", why=repr(error))
            code = 2
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for log in Path(temporary).glob("*.log"):
                (Path(kept) / log.name).write_bytes(log.read_bytes())
    record.add("ends", code=code)
    print(f"{folder.name}: trouble={trouble} exit code {code}")
    return code
