"""HTTP server of the stand-in platform: objects, watches, machine list and fault control."""

import asyncio
import json
from typing import Any

from aiohttp import web
from pydantic import TypeAdapter, ValidationError

from bramblebeam.core.identity import Address
from bramblebeam.lab.platform.faults import Faults, Statistics
from bramblebeam.lab.platform.machines import Machine, MachineList
from bramblebeam.lab.platform.store import (
    Change,
    CompactedError,
    ConflictError,
    NotFoundError,
    ObjectName,
    ObjectStore,
    StoredObject,
)

BOOKMARK_SECONDS = 2.0
_MACHINES = TypeAdapter(list[Machine])
_API = "/apis/bramblebeam/v1"


def object_json(found: StoredObject) -> dict[str, Any]:
    """Return the API representation of an object."""
    metadata = {
        "name": found.name.name,
        "resourceVersion": str(found.version),
        "annotations": found.annotations,
    }
    return {"kind": found.name.kind, "metadata": metadata, "spec": found.spec}


class PlatformServer:
    """A stand-in platform on a loopback port."""

    def __init__(self, store: ObjectStore | None = None) -> None:
        self.store = store or ObjectStore()
        self.faults = Faults()
        self.statistics = Statistics()
        self.machines = MachineList()
        self._changed = asyncio.Event()
        self._cut = asyncio.Event()
        self._runner: web.AppRunner | None = None

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> Address:
        """Start listening and return the bound address."""
        application = web.Application(middlewares=[self._inject_faults])
        application.add_routes(self._routes())
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.5)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        bound = self._runner.addresses[0]
        return Address(bound[0], bound[1])

    async def stop(self) -> None:
        """Close every connection and stop listening."""
        self.cut_watches()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None

    def set_faults(self, faults: Faults) -> None:
        """Activate `faults`; `down` also closes the open watches."""
        self.faults = faults
        if faults.down:
            self.cut_watches()
        self._notify_watches()

    def cut_watches(self) -> None:
        """Abort every open watch."""
        self._cut.set()
        self._cut = asyncio.Event()
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _routes(self) -> list[web.RouteDef]:
        return [
            web.get(f"{_API}/rows", self._list),
            web.get(f"{_API}/rows/{{kind}}", self._list),
            web.post(f"{_API}/rows/{{kind}}", self._create),
            web.get(f"{_API}/rows/{{kind}}/{{name}}", self._get),
            web.put(f"{_API}/rows/{{kind}}/{{name}}", self._replace),
            web.delete(f"{_API}/rows/{{kind}}/{{name}}", self._delete),
            web.get(f"{_API}/machines", self._get_machines),
            web.put("/control/machines", self._set_machines),
            web.get("/control/faults", self._get_faults),
            web.put("/control/faults", self._set_faults),
            web.post("/control/cut-watches", self._cut_watches),
            web.post("/control/compact", self._compact),
            web.get("/control/statistics", self._get_statistics),
        ]

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        if request.path.startswith("/control/"):
            return await _translate_errors(request, handler)
        self.statistics.requests += 1
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
        if self.faults.down:
            return _abort(request)
        before = self.store.version
        response = await _translate_errors(request, handler)
        if self.store.version == before or request.method == "GET":
            return response
        self.statistics.writes += 1
        self._notify_watches()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            self.statistics.answers_lost += 1
            return _abort(request)
        return response

    async def _list(self, request: web.Request) -> web.StreamResponse:
        kind = request.match_info.get("kind")
        if request.query.get("watch") in ("1", "true"):
            return await self._watch(request, kind, int(request.query["resourceVersion"]))
        self.statistics.lists += 1
        items = [object_json(found) for found in self.store.list(kind)]
        metadata = {"resourceVersion": str(self.store.version)}
        return web.json_response({"metadata": metadata, "items": items})

    async def _watch(
        self, request: web.Request, kind: str | None, version: int
    ) -> web.StreamResponse:
        self.store.changes_after(version, kind)
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        self.statistics.watches_started += 1
        self.statistics.watches_open += 1
        peak = max(self.statistics.watches_open_peak, self.statistics.watches_open)
        self.statistics.watches_open_peak = peak
        try:
            await self._stream_changes(response, kind, version)
        except (ConnectionError, CompactedError):
            pass
        finally:
            self.statistics.watches_open -= 1
        return _abort(request)

    async def _stream_changes(
        self, response: web.StreamResponse, kind: str | None, version: int
    ) -> None:
        cut = self._cut
        while not cut.is_set():
            changed = self._changed
            if not self.faults.watch_silent:
                changes = list(self.store.changes_after(version, kind))
                version = max(version, self.store.version)
                lines = [_change_line(change) for change in changes] or [_bookmark_line(version)]
                await response.write(b"".join(lines))
            try:
                async with asyncio.timeout(BOOKMARK_SECONDS):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _get(self, request: web.Request) -> web.Response:
        return web.json_response(object_json(self.store.get(_name(request))))

    async def _create(self, request: web.Request) -> web.Response:
        body = await request.json()
        metadata = body["metadata"]
        name = ObjectName(request.match_info["kind"], metadata["name"])
        written = self.store.create(name, body["spec"], metadata.get("annotations", {}))
        return web.json_response(object_json(written), status=201)

    async def _replace(self, request: web.Request) -> web.Response:
        body = await request.json()
        metadata = body["metadata"]
        version = int(metadata["resourceVersion"])
        annotations = metadata.get("annotations", {})
        written = self.store.replace(_name(request), version, body["spec"], annotations)
        return web.json_response(object_json(written))

    async def _delete(self, request: web.Request) -> web.Response:
        version = int(request.query["resourceVersion"])
        return web.json_response(object_json(self.store.delete(_name(request), version)))

    async def _get_machines(self, request: web.Request) -> web.Response:
        moment = asyncio.get_running_loop().time() - self.faults.machine_lag_s
        return web.json_response({"items": self.machines.as_objects(moment)})

    async def _set_machines(self, request: web.Request) -> web.Response:
        machines = _MACHINES.validate_python(await request.json())
        self.machines.set(machines, asyncio.get_running_loop().time())
        return web.json_response({})

    async def _get_faults(self, request: web.Request) -> web.Response:
        return web.json_response(self.faults.model_dump())

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.set_faults(Faults.model_validate(await request.json()))
        return web.json_response(self.faults.model_dump())

    async def _cut_watches(self, request: web.Request) -> web.Response:
        self.cut_watches()
        return web.json_response({})

    async def _compact(self, request: web.Request) -> web.Response:
        self.store.compact()
        return web.json_response({})

    async def _get_statistics(self, request: web.Request) -> web.Response:
        self.statistics.version = self.store.version
        return web.json_response(self.statistics.model_dump())


def _name(request: web.Request) -> ObjectName:
    return ObjectName(request.match_info["kind"], request.match_info["name"])


def _abort(request: web.Request) -> web.StreamResponse:
    """Close the connection without a response."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


async def _translate_errors(request: web.Request, handler: Any) -> web.StreamResponse:
    """Translate the store's exceptions to HTTP errors."""
    try:
        response: web.StreamResponse = await handler(request)
    except NotFoundError:
        return _status(404, "NotFound")
    except ConflictError as error:
        return _status(409, "Conflict", error.current)
    except CompactedError:
        return _status(410, "Expired")
    except (KeyError, TypeError, ValueError, ValidationError) as error:
        return _status(400, f"BadRequest: {error}")
    return response


def _status(code: int, reason: str, current: StoredObject | None = None) -> web.Response:
    body: dict[str, Any] = {"kind": "Status", "code": code, "reason": reason}
    if current is not None:
        body["details"] = object_json(current)
    return web.json_response(body, status=code)


def _change_line(change: Change) -> bytes:
    return _line(change.type, object_json(change.object))


def _bookmark_line(version: int) -> bytes:
    return _line("BOOKMARK", {"metadata": {"resourceVersion": str(version)}})


def _line(type_: str, body: dict[str, Any]) -> bytes:
    return json.dumps({"type": type_, "object": body}).encode() + b"\n"
