"""The operations of the API: path, role, bodies. Both the server and OpenAPI read this table."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web
from pydantic import BaseModel, ValidationError

from bramblebeam.edges.admin import schemas
from bramblebeam.edges.admin.api import AdministrationApi
from bramblebeam.edges.admin.authentication import Operator, Role
from bramblebeam.edges.admin.errors import refuse

PREFIX = "/api/v1"
DEFAULT_PAGE = 100
LARGEST_PAGE = 1_000
LARGEST_LIVE_PAGE = 50
"""Groups and pools are asked of their owners live: a page of them is small."""


@dataclass(frozen=True, slots=True)
class RequestContext:
    """One request as a handler sees it."""

    api: AdministrationApi
    operator: Operator
    request: web.Request

    def path(self, name: str) -> str:
        """Return a part of the path."""
        return self.request.match_info[name]

    def text(self, name: str) -> str:
        """Return a query parameter; empty if it is missing."""
        return self.request.query.get(name, "")

    def number(self, name: str, default: int, largest: int) -> int:
        """Return a whole query parameter from 0 to `largest`. Raises ApiError 400."""
        text = self.request.query.get(name, str(default))
        if not text.isascii() or not text.isdigit() or int(text) > largest:
            raise refuse(400, "parameter", f"{name}: expected a whole number up to {largest}")
        return int(text)


Handler = Callable[[RequestContext, Any], Awaitable[BaseModel]]


@dataclass(frozen=True, slots=True)
class Route:
    """One operation. `query`: its query parameters, each with its meaning."""

    method: str
    path: str
    role: Role
    summary: str
    handler: Handler
    result: type[BaseModel]
    body: type[BaseModel] | None = None
    query: tuple[tuple[str, str], ...] = ()


async def read_body(request: web.Request, model: type[BaseModel]) -> BaseModel:
    """Return the checked body. Raises ApiError 400 that names each wrong field."""
    try:
        return model.model_validate_json(await request.read())
    except ValidationError as error:
        found = {".".join(map(str, entry["loc"])): entry["msg"] for entry in error.errors()}
        raise refuse(400, "body", "the body is wrong", fields=found) from error


async def _status(call: RequestContext, _: None) -> BaseModel:
    return await call.api.status()


async def _rows(call: RequestContext, _: None) -> BaseModel:
    limit = call.number("limit", DEFAULT_PAGE, LARGEST_PAGE)
    return await call.api.rows(call.text("kind"), call.text("prefix"), call.text("after"), limit)


async def _row(call: RequestContext, _: None) -> BaseModel:
    return await call.api.row(call.path("kind"), call.path("name"))


async def _edit(call: RequestContext, body: schemas.EditBody) -> BaseModel:
    return await call.api.edit(call.operator, call.path("kind"), call.path("name"), body)


async def _delete(call: RequestContext, _: None) -> BaseModel:
    expected = call.number("expected_version", 0, 2**63)
    change_id = call.text("change_id")
    kind, name = call.path("kind"), call.path("name")
    return await call.api.delete(call.operator, kind, name, expected, change_id)


async def _in_force(call: RequestContext, _: None) -> BaseModel:
    return await call.api.in_force(call.number("version", 0, 2**63))


async def _versions(call: RequestContext, _: None) -> BaseModel:
    return await call.api.versions(call.number("limit", DEFAULT_PAGE, LARGEST_PAGE))


async def _members(call: RequestContext, _: None) -> BaseModel:
    limit = call.number("limit", DEFAULT_PAGE, LARGEST_PAGE)
    return await call.api.members(call.text("zone"), call.text("after"), limit)


async def _groups(call: RequestContext, _: None) -> BaseModel:
    limit = call.number("limit", LARGEST_LIVE_PAGE, LARGEST_LIVE_PAGE)
    return await call.api.groups(call.text("after"), limit)


async def _group(call: RequestContext, _: None) -> BaseModel:
    return await call.api.group(call.path("group"))


async def _pools(call: RequestContext, _: None) -> BaseModel:
    limit = call.number("limit", LARGEST_LIVE_PAGE, LARGEST_LIVE_PAGE)
    return await call.api.pools(call.text("group"), call.text("after"), limit)


async def _change_primary(call: RequestContext, body: schemas.ChangePrimaryBody) -> BaseModel:
    return await call.api.change_primary(call.operator, call.path("group"), body.instance)


async def _drain_instance(call: RequestContext, body: schemas.DrainBody) -> BaseModel:
    return await call.api.drain_instance(call.operator, call.path("instance"), body)


async def _drain_node(call: RequestContext, _: None) -> BaseModel:
    return await call.api.drain_node(call.operator, call.path("node"))


_PAGE = (("after", "the `next` of the page before"), ("limit", "rows a page"))
_ROW = f"{PREFIX}/rows/{{kind}}/{{name}}"

ROUTES: tuple[Route, ...] = (
    Route("GET", f"{PREFIX}/status", Role.READ, "The system", _status, schemas.StatusBody),
    Route(
        "GET",
        f"{PREFIX}/rows",
        Role.READ,
        "Rows in force at the asked node",
        _rows,
        schemas.RowList,
        query=(("kind", "group, limit or weight"), ("prefix", "beginning of the name"), *_PAGE),
    ),
    Route("GET", _ROW, Role.READ, "One row in force", _row, schemas.RowBody),
    Route(
        "PUT",
        _ROW,
        Role.EDIT,
        "Write a row; 409 shows both versions",
        _edit,
        schemas.EditResult,
        schemas.EditBody,
    ),
    Route(
        "DELETE",
        _ROW,
        Role.EDIT,
        "Delete a row; 409 shows the version that is there",
        _delete,
        schemas.EditResult,
        query=(
            ("expected_version", "the version that is to be deleted"),
            ("change_id", "makes the edit safe to send again"),
        ),
    ),
    Route(
        "GET",
        f"{PREFIX}/in-force",
        Role.READ,
        "Where a version is in force, by zone",
        _in_force,
        schemas.InForceBody,
        query=(("version", "the store version of an edit"),),
    ),
    Route(
        "GET",
        f"{PREFIX}/versions",
        Role.READ,
        "What each node has in force, the slowest first",
        _versions,
        schemas.VersionsBody,
        query=(("limit", "nodes to show"),),
    ),
    Route(
        "GET",
        f"{PREFIX}/members",
        Role.READ,
        "Nodes",
        _members,
        schemas.MemberList,
        query=(("zone", "only this zone's"), *_PAGE),
    ),
    Route("GET", f"{PREFIX}/groups", Role.READ, "Groups", _groups, schemas.GroupList, query=_PAGE),
    Route("GET", f"{PREFIX}/groups/{{group}}", Role.READ, "One group", _group, schemas.GroupBody),
    Route(
        "GET",
        f"{PREFIX}/pools",
        Role.READ,
        "Slots of back ends",
        _pools,
        schemas.PoolList,
        query=(("group", "only this group's"), *_PAGE),
    ),
    Route(
        "POST",
        f"{PREFIX}/groups/{{group}}/primary",
        Role.OPERATE,
        "Planned change of primary",
        _change_primary,
        schemas.ChangePrimaryResult,
        schemas.ChangePrimaryBody,
    ),
    Route(
        "POST",
        f"{PREFIX}/instances/{{instance}}/drain",
        Role.OPERATE,
        "Take a back end out of use, or into it again",
        _drain_instance,
        schemas.EditResult,
        schemas.DrainBody,
    ),
    Route(
        "POST",
        f"{PREFIX}/nodes/{{node}}/drain",
        Role.OPERATE,
        "Planned stop of a node",
        _drain_node,
        schemas.NodeDrainResult,
    ),
)
