"""The table of API operations, used by the server and for the OpenAPI document."""

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
DEFAULT_PAGE_SIZE = 100
MAX_PAGE_SIZE = 1_000
MAX_LIVE_PAGE_SIZE = 50
"""Limit for groups and pools. Each entry is queried from its owner, so pages are small."""


@dataclass(frozen=True, slots=True)
class RequestContext:
    """One request, as passed to a handler."""

    api: AdministrationApi
    operator: Operator
    request: web.Request

    def path_parameter(self, name: str) -> str:
        """Return a path parameter."""
        return self.request.match_info[name]

    def query_text(self, name: str) -> str:
        """Return a query parameter, or an empty string if it is missing."""
        return self.request.query.get(name, "")

    def query_integer(self, name: str, default: int, maximum: int) -> int:
        """Return an integer query parameter from 0 to `maximum`. Raises ApiError 400."""
        text = self.request.query.get(name, str(default))
        if not text.isascii() or not text.isdigit() or int(text) > maximum:
            raise refuse(400, "parameter", f"{name}: expected an integer from 0 to {maximum}")
        return int(text)


Handler = Callable[[RequestContext, Any], Awaitable[BaseModel]]


@dataclass(frozen=True, slots=True)
class Route:
    """One operation. `query`: name and description of each query parameter."""

    method: str
    path: str
    role: Role
    summary: str
    handler: Handler
    result: type[BaseModel]
    body: type[BaseModel] | None = None
    query: tuple[tuple[str, str], ...] = ()


async def read_body(request: web.Request, model: type[BaseModel]) -> BaseModel:
    """Return the validated body. Raises ApiError 400, which lists each invalid field."""
    try:
        return model.model_validate_json(await request.read())
    except ValidationError as error:
        invalid_fields = {
            ".".join(map(str, entry["loc"])): entry["msg"] for entry in error.errors()
        }
        raise refuse(400, "body", "the body is invalid", fields=invalid_fields) from error


async def _status(ctx: RequestContext, _: None) -> BaseModel:
    return await ctx.api.status()


async def _rows(ctx: RequestContext, _: None) -> BaseModel:
    limit = ctx.query_integer("limit", DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)
    return await ctx.api.rows(
        ctx.query_text("kind"), ctx.query_text("prefix"), ctx.query_text("after"), limit
    )


async def _row(ctx: RequestContext, _: None) -> BaseModel:
    return await ctx.api.row(ctx.path_parameter("kind"), ctx.path_parameter("name"))


async def _edit(ctx: RequestContext, body: schemas.EditBody) -> BaseModel:
    return await ctx.api.edit(
        ctx.operator, ctx.path_parameter("kind"), ctx.path_parameter("name"), body
    )


async def _delete(ctx: RequestContext, _: None) -> BaseModel:
    expected = ctx.query_integer("expected_version", 0, 2**63)
    change_id = ctx.query_text("change_id")
    kind, name = ctx.path_parameter("kind"), ctx.path_parameter("name")
    return await ctx.api.delete(ctx.operator, kind, name, expected, change_id)


async def _in_force(ctx: RequestContext, _: None) -> BaseModel:
    return await ctx.api.in_force(ctx.query_integer("version", 0, 2**63))


async def _versions(ctx: RequestContext, _: None) -> BaseModel:
    return await ctx.api.versions(ctx.query_integer("limit", DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE))


async def _members(ctx: RequestContext, _: None) -> BaseModel:
    limit = ctx.query_integer("limit", DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)
    return await ctx.api.members(ctx.query_text("zone"), ctx.query_text("after"), limit)


async def _groups(ctx: RequestContext, _: None) -> BaseModel:
    limit = ctx.query_integer("limit", MAX_LIVE_PAGE_SIZE, MAX_LIVE_PAGE_SIZE)
    return await ctx.api.groups(ctx.query_text("after"), limit)


async def _group(ctx: RequestContext, _: None) -> BaseModel:
    return await ctx.api.group(ctx.path_parameter("group"))


async def _pools(ctx: RequestContext, _: None) -> BaseModel:
    limit = ctx.query_integer("limit", MAX_LIVE_PAGE_SIZE, MAX_LIVE_PAGE_SIZE)
    return await ctx.api.pools(ctx.query_text("group"), ctx.query_text("after"), limit)


async def _change_primary(ctx: RequestContext, body: schemas.ChangePrimaryBody) -> BaseModel:
    return await ctx.api.change_primary(ctx.operator, ctx.path_parameter("group"), body.instance)


async def _drain_instance(ctx: RequestContext, body: schemas.DrainBody) -> BaseModel:
    return await ctx.api.drain_instance(ctx.operator, ctx.path_parameter("instance"), body)


async def _drain_node(ctx: RequestContext, _: None) -> BaseModel:
    return await ctx.api.drain_node(ctx.operator, ctx.path_parameter("node"))


_PAGE = (("after", "the `next` of the previous page"), ("limit", "maximum entries per page"))
_ROW = f"{PREFIX}/rows/{{kind}}/{{name}}"

ROUTES: tuple[Route, ...] = (
    Route(
        "GET", f"{PREFIX}/status", Role.READ, "Status of the system", _status, schemas.StatusBody
    ),
    Route(
        "GET",
        f"{PREFIX}/rows",
        Role.READ,
        "Rows in force at the node that answers",
        _rows,
        schemas.RowList,
        query=(("kind", "group, limit or weight"), ("prefix", "prefix of the name"), *_PAGE),
    ),
    Route("GET", _ROW, Role.READ, "One row in force", _row, schemas.RowBody),
    Route(
        "PUT",
        _ROW,
        Role.EDIT,
        "Write a row; 409 reports both versions",
        _edit,
        schemas.EditResult,
        schemas.EditBody,
    ),
    Route(
        "DELETE",
        _ROW,
        Role.EDIT,
        "Delete a row; 409 reports the current version",
        _delete,
        schemas.EditResult,
        query=(
            ("expected_version", "the version to delete"),
            ("change_id", "makes the edit idempotent"),
        ),
    ),
    Route(
        "GET",
        f"{PREFIX}/in-force",
        Role.READ,
        "Where a version is in force, by zone",
        _in_force,
        schemas.InForceBody,
        query=(("version", "the version that the store assigned to an edit"),),
    ),
    Route(
        "GET",
        f"{PREFIX}/versions",
        Role.READ,
        "Version in force at each node, the lowest first",
        _versions,
        schemas.VersionsBody,
        query=(("limit", "maximum number of nodes"),),
    ),
    Route(
        "GET",
        f"{PREFIX}/members",
        Role.READ,
        "Nodes",
        _members,
        schemas.MemberList,
        query=(("zone", "return only nodes of this zone"), *_PAGE),
    ),
    Route("GET", f"{PREFIX}/groups", Role.READ, "Groups", _groups, schemas.GroupList, query=_PAGE),
    Route("GET", f"{PREFIX}/groups/{{group}}", Role.READ, "One group", _group, schemas.GroupBody),
    Route(
        "GET",
        f"{PREFIX}/pools",
        Role.READ,
        "Slot usage of back ends",
        _pools,
        schemas.PoolList,
        query=(("group", "return only pools of this group"), *_PAGE),
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
        "Drain a back end, or return it to service",
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
