"""Calls to the platform's store."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote

from bramblebeam.core.identity import Address
from bramblebeam.platform.http import HttpAnswer, HttpClient, HttpError
from bramblebeam.platform.objects import (
    ObjectChanges,
    ObjectPage,
    StoredObject,
    parse_body,
    parse_changes,
    parse_object,
    parse_page,
)

_ROOT = "/bramblebeam/objects"
_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
CALL_SECONDS = 1.0
WATCH_MARGIN_SECONDS = 1.0


class StoreUnavailableError(Exception):
    """The store did not do what was asked, or its answer is lost. `sent`: it may have been done."""

    def __init__(self, sent: bool, detail: str) -> None:
        super().__init__(detail)
        self.sent = sent


class HistoryGoneError(Exception):
    """The store has forgotten the changes after the watched revision: list again."""


class StoreClient:
    """One connection to the store."""

    def __init__(self, address: Address) -> None:
        self._http = HttpClient(address)

    def close(self) -> None:
        """Close the connection."""
        self._http.close()

    async def list(self, kind: str) -> tuple[list[StoredObject], int]:
        """Return all objects of a kind and the revision of the list's first part.

        Raises StoreUnavailableError, StoreFormatError.
        """
        found: list[StoredObject] = []
        first = await self._page(kind, "")
        page = first
        while True:
            found.extend(page.items)
            if not page.has_more or not page.items:
                return found, first.revision
            page = await self._page(kind, f"?after={quote(page.items[-1].name)}")

    async def get(self, kind: str, name: str, timeout: float = CALL_SECONDS) -> StoredObject | None:
        """Return one object, or None. Raises StoreUnavailableError, StoreFormatError."""
        answer = await self._call("GET", f"{_ROOT}/{kind}/{quote(name)}", timeout=timeout)
        if answer.status == _NOT_FOUND:
            return None
        _require(answer, _OK)
        return parse_object(parse_body(answer))

    async def watch(self, kind: str, revision: int, wait: float) -> ObjectChanges:
        """Return the changes after `revision`, waiting for one for up to `wait` seconds.

        Raises HistoryGoneError, StoreUnavailableError, StoreFormatError.
        """
        target = f"{_ROOT}/{kind}?watch={revision}&wait_ms={int(wait * 1_000)}"
        answer = await self._call("GET", target, timeout=wait + WATCH_MARGIN_SECONDS)
        if answer.status == _GONE:
            raise HistoryGoneError
        _require(answer, _OK)
        return parse_changes(answer)

    async def create(
        self, kind: str, name: str, spec: Any, timeout: float = CALL_SECONDS
    ) -> StoredObject | None:
        """Create an object; None: there is one already.

        Raises StoreUnavailableError, StoreFormatError.
        """
        body = {"meta": {"name": name}, "spec": spec}
        answer = await self._call("POST", f"{_ROOT}/{kind}", body, timeout)
        if answer.status == _CONFLICT:
            return None
        _require(answer, _OK, _CREATED)
        return parse_object(parse_body(answer))

    async def replace(
        self, kind: str, name: str, revision: int, spec: Any, timeout: float = CALL_SECONDS
    ) -> StoredObject | None:
        """Replace an object that is at `revision`; None: it is not, or is gone.

        Raises StoreUnavailableError, StoreFormatError.
        """
        body = {"meta": {"name": name, "revision": revision}, "spec": spec}
        answer = await self._call("PUT", f"{_ROOT}/{kind}/{quote(name)}", body, timeout)
        if answer.status in (_CONFLICT, _NOT_FOUND):
            return None
        _require(answer, _OK)
        return parse_object(parse_body(answer))

    async def _page(self, kind: str, query: str) -> ObjectPage:
        answer = await self._call("GET", f"{_ROOT}/{kind}{query}")
        _require(answer, _OK)
        return parse_page(answer)

    async def _call(
        self, method: str, target: str, content: Any = None, timeout: float = CALL_SECONDS
    ) -> HttpAnswer:
        body = json.dumps(content).encode() if content is not None else b""
        try:
            return await self._http.call(method, target, timeout, body)
        except HttpError as error:
            raise StoreUnavailableError(error.sent, str(error)) from error


def _require(answer: HttpAnswer, *expected: int) -> None:
    if answer.status not in expected:
        raise StoreUnavailableError(False, f"the store answered {answer.status}")
