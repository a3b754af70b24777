"""The administration API's operations on rows."""

import json
import logging
import uuid
from typing import Any, TypeVar

from bramblebeam.core.configuration.messages import EditReply, EditRow, EditStatus, InForceReply
from bramblebeam.core.configuration.rows import Row, RowKey
from bramblebeam.edges.admin.authentication import Operator
from bramblebeam.edges.admin.errors import ApiError, Problem, refuse
from bramblebeam.edges.admin.schemas import (
    EditBody,
    EditResult,
    InForceBody,
    NodeVersion,
    RowBody,
    RowList,
    VersionsBody,
    ZoneInForce,
)
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import ADMIN_ROW_EDITED
from bramblebeam.kernel import Kernel
from bramblebeam.metrics import ROW_EDITS
from bramblebeam.services.admin.peers import ask_service
from bramblebeam.services.configuration.messages import (
    ConfigurationStatus,
    ConfigurationStatusQuery,
    InForceQuery,
    InForceStatus,
    RowAnswer,
    RowQuery,
    RowsPage,
    RowsQuery,
    VersionsQuery,
    VersionsStatus,
)

logger = logging.getLogger(__name__)

Answer = TypeVar("Answer")

EDIT_SECONDS = 10.0
RETRY_AFTER_MS = 2_000


class RowOperations:
    """Reads and edits the shared table at one node."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    async def status_here(self) -> ConfigurationStatus:
        """Return the state of this node's rows. Raises ApiError 503."""
        return await self._ask(ConfigurationStatusQuery(), ConfigurationStatus)

    async def page(self, kind: str, prefix: str, after: str, limit: int) -> RowList:
        """Return up to `limit` rows whose `kind/name` is after `after`. Raises ApiError 503."""
        after_kind, _, after_name = after.partition("/")
        query = RowsQuery(kind, prefix, RowKey(after_kind, after_name), max(limit, 1))
        found = await self._ask(query, RowsPage)
        following = _identifier(found.rows[-1].key) if found.more else None
        rows = [row_body(row) for row in found.rows]
        return RowList(rows=rows, complete=found.complete, next=following)

    async def one(self, key: RowKey) -> RowBody:
        """Return one row. Raises ApiError 404, 503."""
        row = await self.find(key)
        if row is None or not row.spec:
            raise refuse(404, "row", f"there is no row {_identifier(key)} in force")
        return row_body(row)

    async def find(self, key: RowKey) -> Row | None:
        """Return one row, which may be a deletion, or None. Raises ApiError 503."""
        return (await self._ask(RowQuery(key), RowAnswer)).row

    async def _ask(self, query: Any, reply_type: type[Answer]) -> Answer:
        found = await ask_service(self._kernel, "configuration", query, reply_type)
        if found is None:
            raise _unavailable("the configuration service does not answer")
        return found

    async def write(self, operator: Operator, key: RowKey, body: EditBody) -> EditResult:
        """Write a row. Raises ApiError 403, 409, 422, 503, 504."""
        spec = json.dumps(body.spec, sort_keys=True, separators=(",", ":"))
        edit = EditRow(key, body.expected_version, spec, body.change_id or _new_id(), operator.name)
        return await self._edit(operator, edit)

    async def remove(
        self, operator: Operator, key: RowKey, expected: int, change_id: str
    ) -> EditResult:
        """Delete a row. Raises ApiError 403, 409, 503, 504."""
        edit = EditRow(key, expected, "", change_id or _new_id(), operator.name)
        return await self._edit(operator, edit)

    async def in_force(self, version: int) -> InForceBody:
        """Return each zone's progress on a version."""
        query = InForceQuery(version)
        found = await ask_service(
            self._kernel, "configuration", query, InForceStatus, query.timeout + 1.0
        )
        if found is None:
            raise _unavailable("the configuration service does not answer")
        zones = [zone_body(zone) for zone in found.zones]
        everywhere = not found.unreachable and not any(zone.behind for zone in zones)
        return InForceBody(
            version=version,
            everywhere=everywhere and bool(zones),
            zones=zones,
            unreachable=list(found.unreachable),
        )

    async def versions(self, limit: int) -> VersionsBody:
        """Return the versions in force at up to `limit` nodes, lowest first."""
        query = VersionsQuery()
        found = await ask_service(
            self._kernel, "configuration", query, VersionsStatus, query.timeout + 1.0
        )
        if found is None:
            raise _unavailable("the configuration service does not answer")
        nodes = [
            NodeVersion(node=node, zone=zone.zone, version=version)
            for zone in found.zones
            for node, version in zone.versions
        ]
        nodes.sort(key=lambda entry: (entry.version, entry.node))
        return VersionsBody(
            nodes=nodes[: max(limit, 1)], total=len(nodes), unreachable=list(found.unreachable)
        )

    async def _edit(self, operator: Operator, edit: EditRow) -> EditResult:
        operator.require_row(edit.key.name)
        reply = await ask_service(
            self._kernel, "configuration", edit, EditReply, timeout=EDIT_SECONDS
        )
        if reply is None:
            reply = EditReply(EditStatus.UNKNOWN, None, "no answer within the node")
        ROW_EDITS.labels(reply.status.name.lower()).inc()
        log_event(
            logger,
            ADMIN_ROW_EDITED,
            operator=operator.name,
            kind=edit.key.kind,
            name=edit.key.name,
            expected=edit.expected,
            change_id=edit.change_id,
            outcome=reply.status.name.lower(),
            version=reply.current.version if reply.current else 0,
        )
        return _edit_result(edit, reply)


def row_body(row: Row) -> RowBody:
    """Return a row in the API's format; a deleted row has no spec."""
    return RowBody(
        kind=row.key.kind,
        name=row.key.name,
        version=row.version,
        spec=json.loads(row.spec) if row.spec else None,
        change_id=row.change_id,
    )


def zone_body(zone: InForceReply) -> ZoneInForce:
    """Return a zone's progress in the API's format."""
    return ZoneInForce(
        zone=zone.zone,
        lowest=zone.lowest,
        slowest=zone.slowest,
        nodes=zone.nodes,
        behind=zone.behind,
    )


def _edit_result(edit: EditRow, reply: EditReply) -> EditResult:
    """Return the result of a written edit. Raises ApiError for any other outcome."""
    current = row_body(reply.current) if reply.current is not None else None
    match reply.status:
        case EditStatus.WRITTEN:
            return EditResult(
                change_id=edit.change_id,
                version=current.version if current else 0,
                row=current,
                overwritten=reply.overwritten,
            )
        case EditStatus.CONFLICT:
            yours = {"expected_version": edit.expected, "spec": json.loads(edit.spec or "null")}
            shown = current.model_dump() if current else None
            message = "the row is at another version: your edit was not written"
            raise refuse(409, "conflict", message, current=shown, yours=yours)
        case EditStatus.INVALID:
            raise refuse(422, "row", reply.detail)
        case EditStatus.UNAVAILABLE:
            raise _unavailable(f"not written: {reply.detail}")
    raise ApiError(
        504,
        Problem(
            code="unknown",
            message=f"the edit may have been written: {reply.detail}",
            not_run=False,
            retry_after_ms=RETRY_AFTER_MS,
            details={"change_id": edit.change_id},
        ),
    )


def _unavailable(detail: str) -> ApiError:
    problem = Problem(code="unavailable", message=detail, retry_after_ms=RETRY_AFTER_MS)
    return ApiError(503, problem)


def _identifier(key: RowKey) -> str:
    return f"{key.kind}/{key.name}"


def _new_id() -> str:
    return uuid.uuid4().hex
