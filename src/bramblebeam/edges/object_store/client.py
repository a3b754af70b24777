"""Requests to the platform's object API. Errors are returned as values, not raised."""

import json
from collections.abc import AsyncIterator, Callable
from typing import Any, TypeVar
from urllib.parse import quote

import aiohttp
from expression import Error, Ok, Result

from bramblebeam.core.configuration.edit import StoreRow
from bramblebeam.core.configuration.rows import Row, RowKey
from bramblebeam.edges.object_store.objects import object_body, parse_store_row
from bramblebeam.edges.object_store.results import (
    Conflict,
    Expired,
    MachineEntry,
    NotFound,
    PlatformError,
    Rejected,
    RowChanges,
    RowListing,
    Unavailable,
)

WATCH_IDLE_TIMEOUT_SECONDS = 10.0
"""A watch that sends nothing, not even a bookmark, for this long is treated as lost."""

Parsed = TypeVar("Parsed")

_API = "/apis/bramblebeam/v1"
_MAXIMUM_LINE_BYTES = 4 * 1024 * 1024
_PARSE_ERRORS = (KeyError, TypeError, ValueError)


class PlatformClient:
    """A client of the platform at `url`. `timeout` (seconds) bounds each request except watches."""

    def __init__(self, url: str, timeout: float) -> None:
        self._url = url.rstrip("/")
        self._timeout = timeout
        self._session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    async def list_rows(self) -> Result[RowListing, PlatformError]:
        """Return the rows of all kinds at one version of the store."""
        result = await self._request("GET", f"{_API}/rows")
        return result.bind(lambda body: _parse_body(body, _parse_listing))

    async def get_row(self, key: RowKey) -> Result[StoreRow, PlatformError]:
        """Return one row."""
        result = await self._request("GET", _row_path(key))
        return result.bind(lambda body: _parse_body(body, parse_store_row))

    async def write_row(self, store_row: StoreRow) -> Result[StoreRow, PlatformError]:
        """Create the row if its version is 0, else replace that version. Return the stored row."""
        body = object_body(store_row)
        key = store_row.row.key
        if store_row.row.version:
            result = await self._request("PUT", _row_path(key), body)
        else:
            result = await self._request("POST", f"{_API}/rows/{quote(key.kind)}", body)
        return result.bind(lambda stored: _parse_body(stored, parse_store_row))

    async def machines(self) -> Result[tuple[MachineEntry, ...], PlatformError]:
        """Return the platform's list of machines, which may be stale."""
        result = await self._request("GET", f"{_API}/machines")
        return result.bind(lambda body: _parse_body(body, _parse_machines))

    async def watch_rows(self, version: int) -> AsyncIterator[Result[RowChanges, PlatformError]]:
        """Yield the changes after `version` as they arrive. The last item is an error."""
        path = f"{_API}/rows?watch=1&resourceVersion={version}"
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._timeout, sock_read=WATCH_IDLE_TIMEOUT_SECONDS
        )
        try:
            async with self._open_session().get(self._url + path, timeout=timeout) as response:
                if response.status != 200:
                    yield Error(await _parse_error(response))
                    return
                async for changes in _watch_lines(response.content):
                    yield Ok(changes)
        except _PARSE_ERRORS as error:
            yield Error(Rejected(200, f"malformed watch line: {error!r}"))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            yield Error(Unavailable(True, repr(error)))
        else:
            yield Error(Unavailable(True, "the server closed the watch"))

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(read_bufsize=_MAXIMUM_LINE_BYTES)
        return self._session

    async def _request(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Result[dict[str, Any], PlatformError]:
        timeout = aiohttp.ClientTimeout(total=self._timeout)
        try:
            request = self._open_session().request(
                method, self._url + path, json=body, timeout=timeout
            )
            async with request as response:
                if response.status >= 400:
                    return Error(await _parse_error(response))
                return Ok(await response.json())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Error(Unavailable(False, repr(error)))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Error(Unavailable(True, repr(error)))


def _row_path(key: RowKey) -> str:
    return f"{_API}/rows/{quote(key.kind, safe='')}/{quote(key.name, safe='')}"


def _parse_body(
    body: dict[str, Any], parse: Callable[[dict[str, Any]], Parsed]
) -> Result[Parsed, PlatformError]:
    """Parse a response body. If it is malformed, it is unknown whether the request ran."""
    try:
        return Ok(parse(body))
    except _PARSE_ERRORS as error:
        return Error(Unavailable(True, f"malformed response: {error!r}"))


def _parse_listing(body: dict[str, Any]) -> RowListing:
    rows = tuple(parse_store_row(item).row for item in body["items"])
    return RowListing(int(body["metadata"]["resourceVersion"]), rows)


def _parse_machines(body: dict[str, Any]) -> tuple[MachineEntry, ...]:
    return tuple(
        MachineEntry(
            item["node"], item["zone"], item["host"], int(item["port"]), item["state"] == "leaving"
        )
        for item in body["items"]
    )


async def _parse_error(response: aiohttp.ClientResponse) -> PlatformError:
    """Convert an HTTP error. A 5xx response may come from a proxy, so the request may have run."""
    text = await response.text()
    if response.status == 404:
        return NotFound()
    if response.status == 410:
        return Expired()
    if response.status == 409:
        return _parse_conflict(text)
    if response.status >= 500:
        return Unavailable(True, f"status {response.status}")
    return Rejected(response.status, text[:200])


def _parse_conflict(text: str) -> PlatformError:
    try:
        details = json.loads(text).get("details")
        return Conflict(parse_store_row(details) if details else None)
    except _PARSE_ERRORS:
        return Conflict(None)


async def _watch_lines(content: aiohttp.StreamReader) -> AsyncIterator[RowChanges]:
    """Yield the changes of all complete lines received so far as one batch."""
    pending = b""
    while chunk := await content.readany():
        lines, _, pending = (pending + chunk).rpartition(b"\n")
        if len(pending) > _MAXIMUM_LINE_BYTES:
            raise ValueError("watch line too long")
        if lines:
            yield _parse_changes(lines.split(b"\n"))


def _parse_changes(lines: list[bytes]) -> RowChanges:
    rows: list[Row] = []
    version = 0
    for line in lines:
        event = json.loads(line)
        body = event["object"]
        version = int(body["metadata"]["resourceVersion"])
        if event["type"] != "BOOKMARK":
            rows.append(parse_store_row(body, deleted=event["type"] == "DELETED").row)
    return RowChanges(tuple(rows), version)
