"""Parses answers of the platform's store into typed records."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass
from typing import Any

from bramblebeam.core.revision import HIGHEST_NUMBER, Revision
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import STORE_OBJECT_UNREADABLE
from bramblebeam.platform.eras import parse_era
from bramblebeam.platform.http import HttpAnswer
from bramblebeam.platform.json_bodies import DecodedBody, decode_body, holds_excess

logger = logging.getLogger(__name__)

MAX_ERROR_CHARS = 200
"""Characters of an error that are logged: an unreadable value may be huge."""
MAX_NAME_CHARS = 1_024
"""Characters of an object's name; a database's name has about ten."""
MALFORMED_SPEC = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)
"""What a parser of an object's content may raise. LookupError and ValueError are expected. The
others would be faults of the parser, but the value of another writer that shows one ends no task.
"""
_MALFORMED = (AttributeError, KeyError, TypeError, ValueError)


class StoreFormatError(ValueError):
    """An answer of the store does not follow its documented format."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object; `revision` is that of its last change. `error`: why it can't be read, if so."""

    name: str
    revision: Revision
    spec: Any
    status: Any
    error: str = ""


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """An object after a change, or if `deleted` its last state before."""

    stored: StoredObject
    deleted: bool


@dataclass(frozen=True, slots=True)
class ObjectPage:
    """A page of a list. `revision`: the store's revision when the page was read."""

    items: tuple[StoredObject, ...]
    has_more: bool
    revision: Revision


@dataclass(frozen=True, slots=True)
class ObjectChanges:
    """Changes that a watch returned, up to `revision`."""

    changes: tuple[ObjectChange, ...]
    revision: Revision


def parse_one(answer: HttpAnswer) -> StoredObject:
    """Return the single object in an answer. Raises StoreFormatError, EraFormatError."""
    content, has_excess = _content_of(answer)
    return parse_object(content, has_excess, parse_era(answer))


def parse_object(content: Any, has_excess: bool, era: int) -> StoredObject:
    """Return an object from an answer of the given era. Raises StoreFormatError.

    `has_excess`: EXCESS replaces some values of the answer, perhaps of this object.
    """
    try:
        if has_excess and holds_excess(content):
            raise ValueError("a value is nested too deeply, has too many digits or isn't JSON")
        meta = content["meta"]
        revision = Revision(era, _revision_number(meta["revision"]))
        return StoredObject(_name(meta), revision, content.get("spec"), content.get("status"))
    except _MALFORMED as error:
        raise StoreFormatError(f"invalid object: {error!r}"[:MAX_ERROR_CHARS]) from error


def parse_page(answer: HttpAnswer) -> ObjectPage:
    """Return a page of a list. Raises StoreFormatError.

    An object that cannot be read does not affect the others.
    """
    content, has_excess = _content_of(answer)
    try:
        revision = Revision(parse_era(answer), _revision_number(content["timestamp"]))
        found = [_object_or_name(item, has_excess, revision) for item in content["items"]]
        items = tuple(item for item in found if item is not None)
        return ObjectPage(items, bool(content.get("has_more")), revision)
    except _MALFORMED as error:
        raise StoreFormatError(f"invalid list: {error!r}") from error


def parse_changes(answer: HttpAnswer) -> ObjectChanges:
    """Return the changes that a watch reported. Raises StoreFormatError.

    A change that cannot be read does not affect the others.
    """
    content, has_excess = _content_of(answer)
    try:
        revision = Revision(parse_era(answer), _revision_number(content["timestamp"]))
        found = [_change_or_name(event, has_excess, revision) for event in content["events"]]
        return ObjectChanges(tuple(change for change in found if change is not None), revision)
    except _MALFORMED as error:
        raise StoreFormatError(f"invalid list of changes: {error!r}") from error


def _content_of(answer: HttpAnswer) -> DecodedBody:
    """Return the JSON value of an answer's body. Raises StoreFormatError.

    Invalid UTF-8 is decoded to lone surrogates. They invalidate only the object that holds them
    (`require_valid_unicode`), not the whole answer. The same goes for excessive values.
    """
    try:
        return decode_body(answer.body.decode(errors="surrogateescape"))
    except (ValueError, RecursionError) as error:
        raise StoreFormatError(f"invalid JSON: {error}") from error


def require_valid_unicode(content: Any) -> None:
    """Raise ValueError if any string in a JSON value holds lone surrogates."""
    try:
        json.dumps(content, ensure_ascii=False).encode()
    except RecursionError as error:
        raise ValueError("a value is nested too deeply") from error


def _revision_number(value: Any) -> int:
    if type(value) is not int:
        raise TypeError("the revision is not an integer")
    if not 0 <= value <= HIGHEST_NUMBER:
        raise ValueError("the revision is out of range")
    return value


def _name(meta: Any) -> str:
    name = meta["name"]
    if not isinstance(name, str):
        raise TypeError("the name is not a string")
    if len(name) > MAX_NAME_CHARS:
        raise ValueError("the name is too long")
    if not name.isascii():
        # It is sent to the store and to other nodes. Raises ValueError for lone surrogates.
        name.encode()
    return name


def _object_or_name(content: Any, has_excess: bool, revision: Revision) -> StoredObject | None:
    """Return an object; one that cannot be read has no content and the list's `revision`.

    None: its name cannot be read either.
    """
    try:
        return parse_object(content, has_excess, revision.era)
    except StoreFormatError as error:
        return _name_only(content, revision, str(error))


def _change_or_name(event: Any, has_excess: bool, revision: Revision) -> ObjectChange | None:
    """Return a change; one that cannot be read is handled as in `_object_or_name`."""
    try:
        deleted, content = _is_deleted(event), event["object"]
    except _MALFORMED as error:
        content = event.get("object") if isinstance(event, dict) else None
        found = _name_only(content, revision, f"invalid change: {error!r}"[:MAX_ERROR_CHARS])
        return None if found is None else ObjectChange(found, deleted=False)
    stored = _object_or_name(content, has_excess, revision)
    return None if stored is None else ObjectChange(stored, deleted)


def _is_deleted(event: Any) -> bool:
    deleted = event["deleted"]
    if not isinstance(deleted, bool):
        raise TypeError("deleted is neither true nor false")
    return deleted


def _name_only(content: Any, revision: Revision, error: str) -> StoredObject | None:
    try:
        return StoredObject(_name(content["meta"]), revision, None, None, error)
    except _MALFORMED:
        log_event(
            logger,
            STORE_OBJECT_UNREADABLE,
            kind=None,
            object=None,
            revision=str(revision),
            error=error[:MAX_ERROR_CHARS],
        )
        return None
