"""HTTP control interface of a member: fault injection, statistics, and records for the judge."""

import json
from collections.abc import Awaitable, Callable, Iterable
from typing import Any

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from bramblebeam.core.identity import Address
from bramblebeam.lab.database.member import DatabaseMember
from bramblebeam.lab.database.messages import SetLag, SetLeaving

MILLISECONDS = 1_000

Records = Callable[[], Iterable[dict[str, Any]]]


class Faults(BaseModel):
    """A change to the injected faults; fields that are None leave their fault unchanged.

    `cut_peers`: members partitioned from this one in both directions (`*`: all of them).
    `cut_clients`: clients get no answers and their connections hang. `lag_ms`: delay before a
    replica applies a committed entry. `latency_ms`: one-way delay to the other members.
    `leaving`: whether the member reports that it is leaving. `pause_ms`: process no events for
    this long.
    """

    model_config = ConfigDict(extra="forbid")

    cut_peers: list[str] | None = None
    cut_clients: bool | None = None
    lag_ms: int | None = Field(default=None, ge=0)
    latency_ms: float | None = Field(default=None, ge=0)
    leaving: bool | None = None
    pause_ms: int | None = Field(default=None, ge=0)


class ControlServer:
    """HTTP server for the control interface of one member."""

    def __init__(self, member: DatabaseMember, listen: Address) -> None:
        self.member = member
        self.listen = listen
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start listening. Raises OSError."""
        app = web.Application()
        app.router.add_post("/faults", self._set_faults)
        app.router.add_get("/statistics", self._statistics)
        for path, records in self._records().items():
            app.router.add_get(path, _handler_of(records))
        self._runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self.listen.host, self.listen.port)
        await site.start()

    async def stop(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    @property
    def address(self) -> Address:
        """The bound address. Raises RuntimeError before `start`."""
        if self._runner is None:
            raise RuntimeError("control server is not started")
        return Address(*self._runner.addresses[0][:2])

    def apply(self, faults: Faults) -> None:
        """Apply a change to the injected faults."""
        member = self.member
        if faults.cut_peers is not None:
            member.peers.set_cut(faults.cut_peers)
        if faults.cut_clients is not None:
            if faults.cut_clients:
                member.reachable.clear()
            else:
                member.reachable.set()
        if faults.lag_ms is not None:
            member.submit(SetLag(faults.lag_ms / MILLISECONDS))
        if faults.latency_ms is not None:
            member.peers.latency = faults.latency_ms / MILLISECONDS
        if faults.leaving is not None:
            member.submit(SetLeaving(faults.leaving))
        if faults.pause_ms:
            member.pause(faults.pause_ms / MILLISECONDS)

    async def _set_faults(self, request: web.Request) -> web.Response:
        try:
            faults = Faults.model_validate_json(await request.read())
        except ValidationError as error:
            return web.json_response({"error": str(error)}, status=400)
        self.apply(faults)
        return web.json_response({})

    async def _statistics(self, request: web.Request) -> web.Response:
        return web.json_response(self.member.journal.statistics())

    def _records(self) -> dict[str, Records]:
        journal = self.member.journal
        return {
            "/applied": journal.applied_records,
            "/acknowledged": journal.acknowledged_records,
            "/statements": journal.statement_records,
            "/connections": journal.connection_records,
        }


def _handler_of(records: Records) -> Callable[[web.Request], Awaitable[web.Response]]:
    async def handle(request: web.Request) -> web.Response:
        return _json_lines(records())

    return handle


def _json_lines(records: Iterable[dict[str, Any]]) -> web.Response:
    text = "".join(json.dumps(record) + "\n" for record in records)
    return web.Response(text=text, content_type="application/jsonl")
