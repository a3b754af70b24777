"""Objects of the platform's store, as typed records."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from bramblebeam.platform.http import HttpAnswer


class StoreFormatError(ValueError):
    """An answer of the store that is not as its pages say."""


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One object: its name, the revision of its last change, and its content."""

    name: str
    revision: int
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
    revision: int


@dataclass(frozen=True, slots=True)
class ObjectChanges:
    """What a watch told, up to `revision`."""

    changes: tuple[ObjectChange, ...]
    revision: int


def parse_object(content: Any) -> StoredObject:
    """Return one object. Raises StoreFormatError."""
    try:
        meta = content["meta"]
        return StoredObject(
            str(meta["name"]), int(meta["revision"]), content.get("spec"), content.get("status")
        )
    except (KeyError, TypeError, ValueError) as error:
        raise StoreFormatError(f"no object: {error!r}") from error


def parse_page(answer: HttpAnswer) -> ObjectPage:
    """Return a part of a list. Raises StoreFormatError."""
    content = parse_body(answer)
    try:
        items = tuple(parse_object(item) for item in content["items"])
        return ObjectPage(items, bool(content.get("has_more")), int(content["timestamp"]))
    except (KeyError, TypeError, ValueError) as error:
        raise StoreFormatError(f"no list: {error!r}") from error


def parse_changes(answer: HttpAnswer) -> ObjectChanges:
    """Return what a watch told. Raises StoreFormatError."""
    content = parse_body(answer)
    try:
        changes = tuple(
            ObjectChange(parse_object(event["object"]), bool(event["deleted"]))
            for event in content["events"]
        )
        return ObjectChanges(changes, int(content["timestamp"]))
    except (KeyError, TypeError, ValueError) as error:
        raise StoreFormatError(f"no changes: {error!r}") from error


def parse_body(answer: HttpAnswer) -> Any:
    """Return the JSON value of an answer's body. Raises StoreFormatError."""
    try:
        return json.loads(answer.body)
    except ValueError as error:
        raise StoreFormatError(f"no JSON: {error}") from error
