"""Parses answers of the platform's store into typed records."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass
from typing import Any

from bramblebeam.core.revision import Revision
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import STORE_OBJECT_UNREADABLE
from bramblebeam.platform.eras import parse_era
from bramblebeam.platform.http import HttpAnswer

logger = logging.getLogger(__name__)

MAX_ERROR_CHARS = 200
"""Characters of an error that are logged: an unreadable value may be huge."""
_MALFORMED = (AttributeError, KeyError, TypeError, ValueError)


class StoreFormatError(ValueError):
    """An answer of the store does not follow its documented format."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object; `revision` is that of its last change."""

    name: str
    revision: Revision
    spec: Any
    status: Any


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
    return parse_object(parse_body(answer), parse_era(answer))


def parse_object(content: Any, era: int) -> StoredObject:
    """Return an object from an answer of the given era. Raises StoreFormatError."""
    try:
        meta = content["meta"]
        number = meta["revision"]
        if type(number) is not int:
            raise TypeError("the revision is not an integer")
        revision = Revision(era, number)
        return StoredObject(_name(meta), revision, content.get("spec"), content.get("status"))
    except _MALFORMED as error:
        raise StoreFormatError(f"invalid object: {error!r}") from error


def parse_page(answer: HttpAnswer) -> ObjectPage:
    """Return a page of a list. Raises StoreFormatError.

    An object that cannot be read does not affect the others.
    """
    content = parse_body(answer)
    try:
        revision = Revision(parse_era(answer), int(content["timestamp"]))
        found = [_object_or_name(item, revision) for item in content["items"]]
        items = tuple(item for item in found if item is not None)
        return ObjectPage(items, bool(content.get("has_more")), revision)
    except _MALFORMED as error:
        raise StoreFormatError(f"invalid list: {error!r}") from error


def parse_changes(answer: HttpAnswer) -> ObjectChanges:
    """Return the changes that a watch reported. Raises StoreFormatError.

    A change that cannot be read does not affect the others.
    """
    content = parse_body(answer)
    try:
        revision = Revision(parse_era(answer), int(content["timestamp"]))
        found = [_change_or_name(event, revision) for event in content["events"]]
        return ObjectChanges(tuple(change for change in found if change is not None), revision)
    except _MALFORMED as error:
        raise StoreFormatError(f"invalid list of changes: {error!r}") from error


def parse_body(answer: HttpAnswer) -> Any:
    """Return the JSON value of an answer's body. Raises StoreFormatError.

    Invalid UTF-8 is decoded to lone surrogates. They invalidate only the object that holds them
    (`require_valid_unicode`), not the whole answer.
    """
    try:
        return json.loads(answer.body.decode(errors="surrogateescape"))
    except (ValueError, RecursionError) as error:
        raise StoreFormatError(f"invalid JSON: {error}") from error


def require_valid_unicode(content: Any) -> None:
    """Raise ValueError if any string in a JSON value holds lone surrogates."""
    json.dumps(content, ensure_ascii=False).encode()


def _name(meta: Any) -> str:
    name = meta["name"]
    if not isinstance(name, str):
        raise TypeError("the name is not a string")
    return name


def _object_or_name(content: Any, revision: Revision) -> StoredObject | None:
    """Return an object; one that cannot be read has no content and the list's `revision`.

    None: its name cannot be read either.
    """
    try:
        return parse_object(content, revision.era)
    except StoreFormatError as error:
        return _name_only(content, revision, error)


def _change_or_name(event: Any, revision: Revision) -> ObjectChange | None:
    """Return a change; one that cannot be read is handled as in `_object_or_name`."""
    try:
        return ObjectChange(parse_object(event["object"], revision.era), bool(event["deleted"]))
    except (*_MALFORMED, StoreFormatError) as error:
        content = event.get("object") if isinstance(event, dict) else None
        found = _name_only(content, revision, error)
        return None if found is None else ObjectChange(found, deleted=False)


def _name_only(content: Any, revision: Revision, error: Exception) -> StoredObject | None:
    try:
        return StoredObject(_name(content["meta"]), revision, None, None)
    except _MALFORMED:
        log_event(
            logger,
            STORE_OBJECT_UNREADABLE,
            kind=None,
            object=None,
            revision=str(revision),
            error=str(error)[:MAX_ERROR_CHARS],
        )
        return None
