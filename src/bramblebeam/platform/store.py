"""Calls to the platform's store."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import quote, urlencode

from bramblebeam.core.identity import Address
from bramblebeam.core.revision import Revision
from bramblebeam.platform.eras import EraFormatError, StoreEras
from bramblebeam.platform.http import HttpAnswer, HttpClient, HttpError
from bramblebeam.platform.objects import (
    ObjectChanges,
    ObjectPage,
    StoredObject,
    parse_changes,
    parse_one,
    parse_page,
)
from bramblebeam.platform.store_calls import StoreCallCounter

_ROOT = "/bramblebeam/objects"
_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_TURNED_AWAY = (429, 503)
"""Too many calls from all nodes together; the store is out of order, or not for this node."""
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
    """One connection to the store. `calls`: where they are counted. `eras`: of its answers."""

    def __init__(self, address: Address, calls: StoreCallCounter, eras: StoreEras) -> None:
        self._http = HttpClient(address)
        self._calls = calls
        self._eras = eras

    def close(self) -> None:
        """Close the connection."""
        self._http.close()

    async def list(self, kind: str, cached: bool = False) -> tuple[list[StoredObject], Revision]:
        """Return all objects of a kind and the revision of the list's first part.

        `cached`: as the store knew them some seconds ago, which costs it less.
        Raises StoreUnavailableError, StoreFormatError.
        """
        found: list[StoredObject] = []
        first = await self._page(kind, cached, "")
        page = first
        while True:
            found.extend(page.items)
            if not page.has_more or not page.items:
                return found, first.revision
            page = await self._page(kind, cached, page.items[-1].name)
            if page.revision.era != first.revision.era:
                # The store came back from a copy between the parts: they are of two lists.
                raise StoreUnavailableError(False, "the store's era changed within a list")

    async def get(self, kind: str, name: str, timeout: float = CALL_SECONDS) -> StoredObject | None:
        """Return one object, or None. Raises StoreUnavailableError, StoreFormatError."""
        self._calls.made("get", kind)
        answer = await self._call("GET", f"{_ROOT}/{kind}/{quote(name)}", timeout=timeout)
        if answer.status == _NOT_FOUND:
            return None
        _require(answer, _OK)
        return parse_one(answer)

    async def watch(self, kind: str, revision: Revision, wait: float) -> ObjectChanges:
        """Return the changes after `revision`, waiting for one for up to `wait` seconds.

        Raises HistoryGoneError, StoreUnavailableError, StoreFormatError.
        """
        if revision.era != self._eras.newest:
            raise HistoryGoneError
        target = f"{_ROOT}/{kind}?watch={revision.number}&wait_ms={int(wait * 1_000)}"
        self._calls.made("watch", kind)
        answer = await self._call("GET", target, timeout=wait + WATCH_MARGIN_SECONDS)
        if answer.status == _GONE:
            raise HistoryGoneError
        _require(answer, _OK)
        told = parse_changes(answer)
        if told.revision.era != revision.era:
            # The new count may have overtaken the watched number: what lies before was never told.
            raise HistoryGoneError
        return told

    async def create(
        self, kind: str, name: str, spec: Any, timeout: float = CALL_SECONDS
    ) -> StoredObject | None:
        """Create an object; None: there is one already.

        Raises StoreUnavailableError, StoreFormatError.
        """
        body = {"meta": {"name": name}, "spec": spec}
        self._calls.made("create", kind)
        answer = await self._call("POST", f"{_ROOT}/{kind}", body, timeout)
        if answer.status == _CONFLICT:
            return None
        _require(answer, _OK, _CREATED)
        return parse_one(answer)

    async def replace(
        self, kind: str, name: str, revision: Revision, spec: Any, timeout: float = CALL_SECONDS
    ) -> StoredObject | None:
        """Replace an object that is at `revision`; None: it is not, or is gone.

        Raises StoreUnavailableError, StoreFormatError.
        """
        body = {"meta": {"name": name, "revision": revision.number}, "spec": spec}
        self._calls.made("replace", kind)
        answer = await self._call("PUT", f"{_ROOT}/{kind}/{quote(name)}", body, timeout)
        if answer.status in (_CONFLICT, _NOT_FOUND):
            return None
        _require(answer, _OK)
        return parse_one(answer)

    async def _page(self, kind: str, cached: bool, after: str) -> ObjectPage:
        self._calls.made("list cached" if cached else "list", kind)
        query = {"after": after} if after else {}
        if cached:
            # The wire's name for a read that may be old.
            query["stale"] = "1"
        target = f"{_ROOT}/{kind}?{urlencode(query)}" if query else f"{_ROOT}/{kind}"
        answer = await self._call("GET", target)
        _require(answer, _OK)
        return parse_page(answer)

    async def _call(
        self, method: str, target: str, content: Any = None, timeout: float = CALL_SECONDS
    ) -> HttpAnswer:
        body = json.dumps(content).encode() if content is not None else b""
        try:
            answer = await self._http.call(method, target, timeout, body)
        except HttpError as error:
            self._calls.failed()
            raise StoreUnavailableError(error.sent, str(error)) from error
        if answer.status in _TURNED_AWAY:
            self._calls.failed()
        try:
            self._eras.take(answer, f"{method} {target}")
        except EraFormatError as error:
            raise StoreUnavailableError(True, str(error)) from error
        return answer


def _require(answer: HttpAnswer, *expected: int) -> None:
    if answer.status not in expected:
        raise StoreUnavailableError(False, f"the store answered {answer.status}")
