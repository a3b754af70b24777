"""Objects of the platform's store, as typed records."""

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
"""Characters of an error that are logged: what can't be read may be huge."""
_MALFORMED = (AttributeError, KeyError, TypeError, ValueError)


class StoreFormatError(ValueError):
    """An answer of the store that is not as its pages say."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object: its name, the revision of its last change, and its content."""

    name: str
    revision: Revision
    spec: Any
    status: Any


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """An object after a change; `deleted`: as it was before it went."""

    found: StoredObject
    deleted: bool


@dataclass(frozen=True, slots=True)
class ObjectPage:
    """A part of a list. `revision`: of the store when it was read."""

    items: tuple[StoredObject, ...]
    has_more: bool
    revision: Revision


@dataclass(frozen=True, slots=True)
class ObjectChanges:
    """What a watch told, up to `revision`."""

    changes: tuple[ObjectChange, ...]
    revision: Revision


def parse_one(answer: HttpAnswer) -> StoredObject:
    """Return the object of an answer that holds one. Raises StoreFormatError, EraFormatError."""
    return parse_object(parse_body(answer), parse_era(answer))


def parse_object(content: Any, era: int) -> StoredObject:
    """Return one object as an answer of that era told it. Raises StoreFormatError."""
    try:
        meta = content["meta"]
        number = meta["revision"]
        if type(number) is not int:
            raise TypeError("the revision is no whole number")
        revision = Revision(era, number)
        return StoredObject(_name(meta), revision, content.get("spec"), content.get("status"))
    except _MALFORMED as error:
        raise StoreFormatError(f"no object: {error!r}") from error


def parse_page(answer: HttpAnswer) -> ObjectPage:
    """Return a part of a list. Raises StoreFormatError; one odd object does not cost the others."""
    content = parse_body(answer)
    try:
        revision = Revision(parse_era(answer), int(content["timestamp"]))
        found = [_object_or_name(item, revision) for item in content["items"]]
        items = tuple(item for item in found if item is not None)
        return ObjectPage(items, bool(content.get("has_more")), revision)
    except _MALFORMED as error:
        raise StoreFormatError(f"no list: {error!r}") from error


def parse_changes(answer: HttpAnswer) -> ObjectChanges:
    """Return what a watch told. Raises StoreFormatError; an odd change does not cost the others."""
    content = parse_body(answer)
    try:
        revision = Revision(parse_era(answer), int(content["timestamp"]))
        found = [_change_or_name(event, revision) for event in content["events"]]
        return ObjectChanges(tuple(change for change in found if change is not None), revision)
    except _MALFORMED as error:
        raise StoreFormatError(f"no changes: {error!r}") from error


def parse_body(answer: HttpAnswer) -> Any:
    """Return the JSON value of an answer's body. Raises StoreFormatError.

    Bytes that are no text stand for characters that are none (`require_text`), so that they cost
    the object that holds them and not all others.
    """
    try:
        return json.loads(answer.body.decode(errors="surrogateescape"))
    except (ValueError, RecursionError) as error:
        raise StoreFormatError(f"no JSON: {error}") from error


def require_valid_unicode(content: Any) -> None:
    """Raise ValueError where a text anywhere in a JSON value holds characters that are none."""
    json.dumps(content, ensure_ascii=False).encode()


def _name(meta: Any) -> str:
    name = meta["name"]
    if not isinstance(name, str):
        raise TypeError("the name is no text")
    return name


def _object_or_name(content: Any, revision: Revision) -> StoredObject | None:
    """Return an object; of one that can't be read its name, as of `revision`, with no content.

    None: not even its name can be read.
    """
    try:
        return parse_object(content, revision.era)
    except StoreFormatError as error:
        return _name_only(content, revision, error)


def _change_or_name(event: Any, revision: Revision) -> ObjectChange | None:
    """Return a change; of one that can't be read what `_object_or_name` returns."""
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
