"""Client of the platform's store."""

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
    StoreFormatError,
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
_REJECTED_STATUSES = (429, 503)
"""429: too many calls from all nodes together. 503: the store is down, or only for this node."""
CALL_TIMEOUT_SECONDS = 1.0
PART_TIMEOUT_SECONDS = 1.0
"""How long each further part of a list may take: it may be large, and the link slow."""
WATCH_MARGIN_SECONDS = 1.0
"""Time for a watch's answer, in addition to the time that the store may wait for a change."""


class StoreUnavailableError(Exception):
    """The call failed, or its answer is lost or unusable. `sent`: it may have been executed."""

    def __init__(self, sent: bool, detail: str) -> None:
        super().__init__(detail)
        self.sent = sent


class HistoryGoneError(Exception):
    """The store no longer has the changes after the watched revision: list again."""


class StoreClient:
    """One connection to the store; records its calls in `calls` and the answers' eras in `eras`."""

    def __init__(self, address: Address, calls: StoreCallCounter, eras: StoreEras) -> None:
        self._http = HttpClient(address)
        self._calls = calls
        self._eras = eras

    def close(self) -> None:
        """Close the connection."""
        self._http.close()

    async def list(self, kind: str, cached: bool = False) -> tuple[list[StoredObject], Revision]:
        """Return all objects of a kind and the revision of the list's first page.

        `cached`: return the state of some seconds ago, which costs the store less.
        Raises StoreUnavailableError, StoreFormatError.
        """
        found: list[StoredObject] = []
        after = ""
        first = await self._list_page(kind, cached, after)
        page = first
        while True:
            found.extend(page.items)
            if not page.has_more:
                return found, first.revision
            if not page.items or page.items[-1].name == after:
                # Without the rest, databases that are registered would seem to be gone.
                raise StoreFormatError("a page has no readable name after which the list goes on")
            after = page.items[-1].name
            page = await self._list_page(kind, cached, after)
            if page.revision.era != first.revision.era:
                # The store was restored between the pages, so they belong to different lists.
                raise StoreUnavailableError(False, "the store's era changed within a list")

    async def get(
        self, kind: str, name: str, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> StoredObject | None:
        """Return one object, or None. Raises StoreUnavailableError, StoreFormatError."""
        self._calls.record_call("get", kind)
        answer = await self._call("GET", f"{_ROOT}/{kind}/{quote(name)}", timeout=timeout)
        if answer.status == _NOT_FOUND:
            return None
        _require_status(answer, _OK)
        return parse_one(answer)

    async def watch(self, kind: str, revision: Revision, wait: float) -> ObjectChanges:
        """Return the changes after `revision`, waiting for one for up to `wait` seconds.

        Raises HistoryGoneError, StoreUnavailableError, StoreFormatError.
        """
        if revision.era != self._eras.newest:
            raise HistoryGoneError
        target = f"{_ROOT}/{kind}?watch={revision.number}&wait_ms={int(wait * 1_000)}"
        self._calls.record_call("watch", kind)
        timeout = wait + WATCH_MARGIN_SECONDS
        answer = await self._call("GET", target, None, timeout, PART_TIMEOUT_SECONDS)
        if answer.status == _GONE:
            raise HistoryGoneError
        _require_status(answer, _OK)
        changes = parse_changes(answer)
        if changes.revision.era != revision.era:
            # The restored store's revisions may have passed the watched number already, and the
            # changes of the new era up to that number are not in this answer.
            raise HistoryGoneError
        return changes

    async def create(
        self, kind: str, name: str, spec: Any, timeout: float = CALL_TIMEOUT_SECONDS
    ) -> StoredObject | None:
        """Create an object; None: it already exists.

        Raises StoreUnavailableError, StoreFormatError.
        """
        body = {"meta": {"name": name}, "spec": spec}
        self._calls.record_call("create", kind)
        answer = await self._call("POST", f"{_ROOT}/{kind}", body, timeout)
        if answer.status == _CONFLICT:
            return None
        _require_status(answer, _OK, _CREATED)
        return parse_one(answer)

    async def replace(
        self,
        kind: str,
        name: str,
        revision: Revision,
        spec: Any,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> StoredObject | None:
        """Replace an object if it is still at `revision`; None: it has changed or was deleted.

        Raises StoreUnavailableError, StoreFormatError.
        """
        body = {"meta": {"name": name, "revision": revision.number}, "spec": spec}
        self._calls.record_call("replace", kind)
        answer = await self._call("PUT", f"{_ROOT}/{kind}/{quote(name)}", body, timeout)
        if answer.status in (_CONFLICT, _NOT_FOUND):
            return None
        _require_status(answer, _OK)
        return parse_one(answer)

    async def _list_page(self, kind: str, cached: bool, after: str) -> ObjectPage:
        self._calls.record_call("list cached" if cached else "list", kind)
        query = {"after": after} if after else {}
        if cached:
            # The store's parameter for a read that may return an older state.
            query["stale"] = "1"
        target = f"{_ROOT}/{kind}?{urlencode(query)}" if query else f"{_ROOT}/{kind}"
        answer = await self._call("GET", target, part_timeout=PART_TIMEOUT_SECONDS)
        _require_status(answer, _OK)
        return parse_page(answer)

    async def _call(
        self,
        method: str,
        target: str,
        content: Any = None,
        timeout: float = CALL_TIMEOUT_SECONDS,
        part_timeout: float | None = None,
    ) -> HttpAnswer:
        body = json.dumps(content).encode() if content is not None else b""
        try:
            answer = await self._http.call(method, target, timeout, body, (), part_timeout)
        except HttpError as error:
            self._calls.record_failure()
            raise StoreUnavailableError(error.sent, str(error)) from error
        if answer.status in _REJECTED_STATUSES:
            self._calls.record_failure()
        try:
            self._eras.observe(answer, f"{method} {target}")
        except EraFormatError as error:
            raise StoreUnavailableError(True, str(error)) from error
        return answer


def _require_status(answer: HttpAnswer, *expected: int) -> None:
    if answer.status not in expected:
        raise StoreUnavailableError(False, f"the store answered {answer.status}")
