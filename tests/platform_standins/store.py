"""Stand-in for the platform's object store and promotion service over HTTP."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from platform_standins.group import LineGroup

Content = dict[str, Any]
REWRITTEN_KINDS = ("config", "servers")
"""Kinds of objects that are not written by nodes; their owners rewrite them after a restore."""

RAW_TEXTS = {
    "<deep lists>": "[" * 3_000 + "]" * 3_000,
    "<deep objects>": '{"a":' * 3_000 + "0" + "}" * 3_000,
    "<long integer>": "9" * 5_000,
    "<400 digits>": "9" * 400,
    "<not a number>": "NaN",
    "<infinite>": "1e999",
    "<lone surrogate>": '"\\ud800"',
}
"""JSON texts that Python does not write; in an answer they replace strings in objects."""


@dataclass
class StoreFault:
    """Faults to inject into the store.

    `status`: status code of every answer, 0 for no fault. `unanswered_writes`: number of writes to
    execute and not answer. `unanswered_promotions`: number of promotions to leave unanswered and
    execute with the next one. `delay`: delay of requests (seconds); a write is executed after it
    even if its client is gone.
    """

    status: int = 0
    unanswered_writes: int = 0
    unanswered_promotions: int = 0
    delay: float = 0.0


@dataclass
class Promotion:
    """A promotion request as received."""

    group: str
    target: str
    holder: str
    token: int


@dataclass(frozen=True)
class StoreSnapshot:
    """Snapshot of the store at one revision."""

    objects: dict[tuple[str, str], Content]
    revision: int
    era: int


@dataclass
class PlatformStandIn:
    """Objects with revisions and watches, and promotions of the groups.

    `checks_fences`: refuse promotions with a fencing token lower than an earlier one.
    `promotion_seconds`: time until a promotion takes effect after its answer. `era`: number of
    restores from a snapshot. `reported_era`: overrides the era in the response header.
    """

    groups: dict[str, LineGroup] = field(default_factory=dict)
    fault: StoreFault = field(default_factory=StoreFault)
    promotions: list[Promotion] = field(default_factory=list)
    calls: int = 0
    checks_fences: bool = True
    promotion_seconds: float = 0.0
    era: int = 0
    reported_era: str | None = None

    def __post_init__(self) -> None:
        self.page_size = 1_000
        self.before_page: Callable[[], None] = lambda: None
        self._objects: dict[tuple[str, str], Content] = {}
        self._events: list[tuple[int, str, Content, bool]] = []
        self._revision = 1
        self._copied = 0
        self._oldest = 0
        self._changed = asyncio.Event()
        self._fences: dict[str, int] = {}
        self._unanswered: list[Promotion] = []
        self._runner: web.AppRunner | None = None
        self.port = 0

    async def start(self) -> None:
        application = web.Application()
        application.on_response_prepare.append(self._tell_era)
        objects = "/bramblebeam/objects/{kind}"
        application.router.add_get(objects, self._list)
        application.router.add_post(objects, self._create)
        application.router.add_get(objects + "/{name}", self._get)
        application.router.add_put(objects + "/{name}", self._replace)
        application.router.add_post("/promotions", self._promote)
        self._runner = web.AppRunner(application)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0, shutdown_timeout=0.1)
        await site.start()
        self.port = site._server.sockets[0].getsockname()[1]  # type: ignore[union-attr]

    async def stop(self) -> None:
        assert self._runner is not None
        await self._runner.cleanup()

    # Writes by the operator and the databases.

    def put(self, kind: str, name: str, spec: Any) -> None:
        self._revision += 1
        meta = {"name": name, "revision": self._revision}
        self._objects[kind, name] = {"meta": meta, "spec": spec, "status": None}
        self._tell(kind, self._objects[kind, name], False)

    def delete(self, kind: str, name: str) -> None:
        self._revision += 1
        self._tell(kind, self._objects.pop((kind, name)), True)

    def has(self, kind: str, name: str) -> bool:
        return (kind, name) in self._objects

    def found(self, kind: str, name: str) -> Content:
        return self._objects[kind, name]

    def forget_history(self) -> None:
        self._oldest = self._revision

    # Snapshots and restores.

    def copy(self) -> StoreSnapshot:
        return StoreSnapshot(dict(self._objects), self._revision, self.era)

    def restore(self, copy: StoreSnapshot) -> None:
        """Restore a snapshot: later writes are lost and their revisions are assigned again."""
        self._objects = dict(copy.objects)
        self._revision = self._copied = copy.revision
        self._events = [event for event in self._events if event[0] <= copy.revision]
        self.era += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def rewrite_lost(self, lost: StoreSnapshot) -> None:
        """Rewrite the lost objects of operator and databases, unless they wrote them since."""
        for (kind, name), content in lost.objects.items():
            if kind in REWRITTEN_KINDS and self._is_older((kind, name), content):
                self.put(kind, name, content["spec"])
        for kind, name in [*self._objects]:
            if kind == "servers" and (kind, name) not in lost.objects:
                self.delete(kind, name)

    def _is_older(self, key: tuple[str, str], lost: Content) -> bool:
        found = self._objects.get(key)
        if found is None:
            return True
        if key[0] == "config":
            return bool(found["spec"]["version"] < lost["spec"]["version"])
        return bool(found["meta"]["revision"] <= self._copied and found["spec"] != lost["spec"])

    async def _tell_era(self, request: web.Request, response: web.StreamResponse) -> None:
        response.headers["Store-Era"] = (
            str(self.era) if self.reported_era is None else self.reported_era
        )

    def _tell(self, kind: str, content: Content, deleted: bool) -> None:
        self._events.append((self._revision, kind, content, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    # Request handlers.

    async def _refuse(self) -> web.Response | None:
        self.calls += 1
        if self.fault.delay:
            await asyncio.sleep(self.fault.delay)
        return web.Response(status=self.fault.status) if self.fault.status else None

    async def _list(self, request: web.Request) -> web.Response:
        if (refused := await self._refuse()) is not None:
            return refused
        kind = request.match_info["kind"]
        if "watch" in request.query:
            wait = int(request.query["wait_ms"]) / 1000
            return await self._watch(kind, int(request.query["watch"]), wait, request)
        self.before_page()
        after = request.query.get("after", "")
        names = sorted(name for found, name in self._objects if found == kind and name > after)
        items = [self._objects[kind, name] for name in names[: self.page_size]]
        has_more = len(names) > self.page_size
        return _json({"items": items, "has_more": has_more, "timestamp": self._revision})

    async def _watch(
        self, kind: str, after: int, wait: float, request: web.Request
    ) -> web.Response:
        if after < self._oldest or after > self._revision:
            return web.Response(status=410)
        era = self.era
        deadline = asyncio.get_running_loop().time() + wait
        while True:
            if era != self.era:
                if request.transport is not None:
                    request.transport.abort()
                return web.Response(status=503)
            events = [
                {"object": content, "deleted": deleted}
                for revision, found, content, deleted in self._events
                if found == kind and revision > after
            ]
            if events or asyncio.get_running_loop().time() >= deadline:
                return _json({"events": events, "timestamp": self._revision})
            changed = self._changed
            try:
                async with asyncio.timeout_at(deadline):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _get(self, request: web.Request) -> web.Response:
        if (refused := await self._refuse()) is not None:
            return refused
        found = self._objects.get((request.match_info["kind"], request.match_info["name"]))
        return web.Response(status=404) if found is None else _json(found)

    async def _create(self, request: web.Request) -> web.Response:
        kind, content = request.match_info["kind"], await request.json()
        if (refused := await self._refuse()) is not None:
            return refused
        name = content["meta"]["name"]
        if (kind, name) in self._objects:
            return _json(self._objects[kind, name], 409)
        self.put(kind, name, content["spec"])
        return self._written(kind, name, request)

    async def _replace(self, request: web.Request) -> web.Response:
        kind, name = request.match_info["kind"], request.match_info["name"]
        content = await request.json()
        if (refused := await self._refuse()) is not None:
            return refused
        found = self._objects.get((kind, name))
        if found is None:
            return web.Response(status=404)
        if content["meta"].get("revision") != found["meta"]["revision"]:
            return _json(found, 409)
        self.put(kind, name, content["spec"])
        return self._written(kind, name, request)

    def _written(self, kind: str, name: str, request: web.Request) -> web.Response:
        if self.fault.unanswered_writes > 0:
            self.fault.unanswered_writes -= 1
            assert request.transport is not None
            request.transport.abort()
        return _json(self._objects[kind, name])

    async def _promote(self, request: web.Request) -> web.Response:
        content = await request.json()
        order = Promotion(
            content["service"],
            content["id"],
            request.headers["X-Bramblebeam-Lease-Holder"],
            int(request.headers["X-Bramblebeam-Fence-Token"]),
        )
        self.promotions.append(order)
        if self.fault.unanswered_promotions > 0:
            self.fault.unanswered_promotions -= 1
            self._unanswered.append(order)
            assert request.transport is not None
            request.transport.abort()
            return web.Response(status=200)
        status = self._carry_out(order)
        while self._unanswered:
            self._carry_out(self._unanswered.pop())
        return web.Response(status=status)

    def _carry_out(self, order: Promotion) -> int:
        if self.checks_fences and order.token < self._fences.get(order.group, 0):
            return 409
        self._fences[order.group] = order.token
        group = self.groups[order.group]
        if not group.members[order.target].serving:
            return 409
        if self.promotion_seconds:
            loop = asyncio.get_running_loop()
            loop.call_later(self.promotion_seconds, _promote_running, group, order.target)
        else:
            group.promote(order.target)
        return 200


def _promote_running(group: LineGroup, target: str) -> None:
    if group.members[target].serving:
        group.promote(target)


def _json(content: Any, status: int = 200) -> web.Response:
    return web.Response(
        status=status, body=as_json(content).encode(), content_type="application/json"
    )


def as_json(content: Any) -> str:
    """Return the JSON text of a value, with RAW_TEXTS in place of their names."""
    text = json.dumps(content)
    for name, raw in RAW_TEXTS.items():
        text = text.replace(f'"{name}"', raw)
    return text
