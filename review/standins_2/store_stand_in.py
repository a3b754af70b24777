"""Stand-in of the platform's store and of the promotions, over HTTP/1.1."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import re
import time
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from databases import Database, Service

Json = dict[str, Any]
ROOT = "/bramblebeam/objects/"


class Platform:
    """Objects by kind and name with one counter of revisions, watches, and promotions.

    `silent`: calls get no answer and nothing is done. `promotions_silent`: the same for promotions.
    """

    def __init__(self, service: Service, host: str, promote_seconds: float, fenced: bool) -> None:
        self.service = service
        self.host = host
        self.promote_seconds = promote_seconds
        self.fenced = fenced
        self.revision = 1
        self.objects: dict[tuple[str, str], Json] = {}
        self.events: list[tuple[int, str, Json, bool]] = []
        self.orders: list[tuple[float, str, int, str, int]] = []
        self.status = 0
        self.silent = False
        self.promotions_silent = False
        self.fence = 0
        self.ports: list[int] = []
        self.silent_nodes: set[int] = set()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        for node in range(self.service.nodes):
            serve = functools.partial(self._serve, node)
            server = await asyncio.start_server(serve, self.host, 0)
            self.ports.append(server.sockets[0].getsockname()[1])

    # Writes by the operator and the databases.

    def put(self, kind: str, name: str, spec: Json) -> None:
        """Write an object; one that does not change gets no new revision."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "created": 1, "finalizers": []}
        stored = {"meta": {**meta, "deletion_pending": False}, "spec": spec, "status": None}
        self.objects[kind, name] = stored
        self._tell(kind, stored, False)

    def delete(self, kind: str, name: str) -> None:
        self.revision += 1
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self._tell(kind, stored, True)

    def _tell(self, kind: str, stored: Json, deleted: bool) -> None:
        self.events.append((self.revision, kind, stored, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    def register(self, database: Database) -> None:
        """Write a database's entry, as it sees itself."""
        spec = {
            "service": database.service.name,
            "address": f"{database.service.host}:<{'/'.join(map(str, database.ports))}>",
            "zone": database.zone,
            "version": "v1",
            "capacity": database.service.slots,
            "state": database.state,
            "cold_left_ms": 0,
            "sequence": 1,
            "db_role": "primary" if database.is_primary else "replica",
        }
        self.put("servers", database.name, spec)

    async def keep_registered(self) -> None:
        """Keep the entries up to date; one goes after 3.6 s without a heartbeat."""
        seen: dict[str, float] = {}
        while True:
            now = time.monotonic()
            for name, database in self.service.databases.items():
                if database.serving:
                    seen[name] = now
                    self.register(database)
                elif now - seen.get(name, now) > 3.6 and ("servers", name) in self.objects:
                    self.delete("servers", name)
            await asyncio.sleep(0.05)

    # HTTP.

    async def _serve(
        self, node: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
                while True:
                    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                    method, target, _ = head[0].split(" ")
                    pairs = (line.split(":", 1) for line in head[1:] if ":" in line)
                    headers = {name.lower(): value.strip() for name, value in pairs}
                    body = await reader.readexactly(int(headers.get("content-length", "0")))
                    is_order = target == "/promotions"
                    is_silent = self.promotions_silent if is_order else self.silent
                    if is_silent or node in self.silent_nodes:
                        await asyncio.sleep(60.0)
                        return
                    content = json.loads(body) if body else None
                    status, answer = await self._answer(method, target, headers, content)
                    data = _as_seen_by(node, json.dumps(answer)).encode()
                    lines = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    writer.write(f"{lines}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                    await writer.drain()
        finally:
            writer.close()

    async def _answer(
        self, method: str, target: str, headers: dict[str, str], content: Any
    ) -> tuple[int, Any]:
        if target == "/promotions":
            return await self._promote(headers, content)
        if self.status:
            return self.status, {}
        await asyncio.sleep(0.004)
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        path = [unquote(part) for part in parts.path.removeprefix(ROOT).split("/")]
        if method == "GET" and len(path) == 1:
            return await self._watch(path[0], query) if "watch" in query else self._list(path[0])
        if method == "GET":
            found = self.objects.get((path[0], path[1]))
            return (404, {}) if found is None else (200, found)
        name = content["meta"]["name"]
        found = self.objects.get((path[0], name))
        if method == "POST":
            if found is not None:
                return 409, found
        elif found is None:
            return 404, {}
        elif (
            content["meta"].get("revision", found["meta"]["revision"]) != found["meta"]["revision"]
        ):
            return 409, found
        self.put(path[0], name, content["spec"])
        return 200, self.objects[path[0], name]

    def _list(self, kind: str) -> tuple[int, Json]:
        items = [self.objects[key] for key in sorted(self.objects) if key[0] == kind]
        return 200, {"items": items, "has_more": False, "timestamp": self.revision}

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Json]:
        after, wait = int(query["watch"]), int(query["wait_ms"]) / 1000
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            events = [
                {"object": stored, "deleted": deleted}
                for revision, found, stored, deleted in self.events
                if found == kind and revision > after
            ]
            if events or asyncio.get_running_loop().time() >= deadline:
                return 200, {"events": events, "timestamp": self.revision}
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(deadline):
                    await changed.wait()

    async def _promote(self, headers: dict[str, str], content: Json) -> tuple[int, Json]:
        token = int(headers["x-bramblebeam-fence-token"])
        holder, target = headers["x-bramblebeam-lease-holder"], content["id"]
        status = self._checked(target, token)
        self.orders.append((time.monotonic(), holder, token, target, status))
        self.service.note(f"order by {holder} with token {token}: {target}, answered {status}")
        if status == 200:
            loop = asyncio.get_running_loop()
            loop.call_later(self.promote_seconds, self._carry_out, target)
        return status, {}

    def _checked(self, target: str, token: int) -> int:
        if self.fenced and token < self.fence:
            return 409
        self.fence = max(self.fence, token)
        database = self.service.databases.get(target)
        return 200 if database is not None and database.serving else 409

    def _carry_out(self, target: str) -> None:
        if self.service.databases[target].serving:
            self.service.promote(target)


def _as_seen_by(node: int, text: str) -> str:
    """Return an answer with the ports of the databases that one node is to use."""
    return re.sub("<([0-9/]+)>", lambda found: found[1].split("/")[node], text)
