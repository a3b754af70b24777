"""Requests to the platform's object API. Every outcome is a value; nothing raises."""

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

WATCH_SILENCE_SECONDS = 10.0
"""A watch that tells nothing, not even a bookmark, for this long counts as lost."""

Parsed = TypeVar("Parsed")

_API = "/apis/bramblebeam/v1"
_MAXIMUM_LINE_BYTES = 4 * 1024 * 1024
_MALFORMED = (KeyError, TypeError, ValueError)


class PlatformClient:
    """A client of one platform at `url`; `timeout` (seconds) bounds each request but a watch."""

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
        """Return every row, of all kinds, at one version."""
        answer = await self._request("GET", f"{_API}/rows")
        return answer.bind(lambda body: _parsed(body, _listing))

    async def get_row(self, key: RowKey) -> Result[StoreRow, PlatformError]:
        """Return one row."""
        answer = await self._request("GET", _row_path(key))
        return answer.bind(lambda body: _parsed(body, parse_store_row))

    async def write_row(self, written: StoreRow) -> Result[StoreRow, PlatformError]:
        """Create the row (its version 0) or replace it at its version; return the new version."""
        body = object_body(written)
        key = written.row.key
        if written.row.version:
            answer = await self._request("PUT", _row_path(key), body)
        else:
            answer = await self._request("POST", f"{_API}/rows/{quote(key.kind)}", body)
        return answer.bind(lambda found: _parsed(found, parse_store_row))

    async def machines(self) -> Result[tuple[MachineEntry, ...], PlatformError]:
        """Return the platform's list of machines, which lags."""
        answer = await self._request("GET", f"{_API}/machines")
        return answer.bind(lambda body: _parsed(body, _machines))

    async def watch_rows(self, version: int) -> AsyncIterator[Result[RowChanges, PlatformError]]:
        """Yield the changes after `version` as they come; the last item is an error."""
        path = f"{_API}/rows?watch=1&resourceVersion={version}"
        timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=self._timeout, sock_read=WATCH_SILENCE_SECONDS
        )
        try:
            async with self._opened().get(self._url + path, timeout=timeout) as response:
                if response.status != 200:
                    yield Error(await _status_error(response))
                    return
                async for changes in _watch_lines(response.content):
                    yield Ok(changes)
        except _MALFORMED as error:
            yield Error(Rejected(200, f"malformed watch line: {error!r}"))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            yield Error(Unavailable(True, repr(error)))
        else:
            yield Error(Unavailable(True, "the watch was closed"))

    def _opened(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(read_bufsize=_MAXIMUM_LINE_BYTES)
        return self._session

    async def _request(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Result[dict[str, Any], PlatformError]:
        timeout = aiohttp.ClientTimeout(total=self._timeout)
        try:
            request = self._opened().request(method, self._url + path, json=body, timeout=timeout)
            async with request as response:
                if response.status >= 400:
                    return Error(await _status_error(response))
                return Ok(await response.json())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Error(Unavailable(False, repr(error)))
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return Error(Unavailable(True, repr(error)))


def _row_path(key: RowKey) -> str:
    return f"{_API}/rows/{quote(key.kind, safe='')}/{quote(key.name, safe='')}"


def _parsed(
    body: dict[str, Any], parse: Callable[[dict[str, Any]], Parsed]
) -> Result[Parsed, PlatformError]:
    """Read an answer's body; one that is malformed says nothing on whether the request ran."""
    try:
        return Ok(parse(body))
    except _MALFORMED as error:
        return Error(Unavailable(True, f"malformed answer: {error!r}"))


def _listing(body: dict[str, Any]) -> RowListing:
    rows = tuple(parse_store_row(item).row for item in body["items"])
    return RowListing(int(body["metadata"]["resourceVersion"]), rows)


def _machines(body: dict[str, Any]) -> tuple[MachineEntry, ...]:
    return tuple(
        MachineEntry(
            item["node"], item["zone"], item["host"], int(item["port"]), item["state"] == "leaving"
        )
        for item in body["items"]
    )


async def _status_error(response: aiohttp.ClientResponse) -> PlatformError:
    """Read an HTTP error. A 5xx answer may come from a proxy: the request may have run."""
    text = await response.text()
    if response.status == 404:
        return NotFound()
    if response.status == 410:
        return Expired()
    if response.status == 409:
        return _conflict(text)
    if response.status >= 500:
        return Unavailable(True, f"status {response.status}")
    return Rejected(response.status, text[:200])


def _conflict(text: str) -> PlatformError:
    try:
        details = json.loads(text).get("details")
        return Conflict(parse_store_row(details) if details else None)
    except _MALFORMED:
        return Conflict(None)


async def _watch_lines(content: aiohttp.StreamReader) -> AsyncIterator[RowChanges]:
    """Yield one batch for all the lines that have come."""
    pending = b""
    while chunk := await content.readany():
        lines, _, pending = (pending + chunk).rpartition(b"\n")
        if len(pending) > _MAXIMUM_LINE_BYTES:
            raise ValueError("watch line too long")
        if lines:
            yield _changes(lines.split(b"\n"))


def _changes(lines: list[bytes]) -> RowChanges:
    rows: list[Row] = []
    version = 0
    for line in lines:
        event = json.loads(line)
        body = event["object"]
        version = int(body["metadata"]["resourceVersion"])
        if event["type"] != "BOOKMARK":
            rows.append(parse_store_row(body, deleted=event["type"] == "DELETED").row)
    return RowChanges(tuple(rows), version)
