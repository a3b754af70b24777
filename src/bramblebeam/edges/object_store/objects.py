"""Converts the platform's JSON objects to rows and back."""

import json
from typing import Any

from bramblebeam.core.configuration.edit import StoreRow
from bramblebeam.core.configuration.rows import Row, RowKey

CHANGE_ANNOTATION = "bramblebeam/change"
OPERATOR_ANNOTATION = "bramblebeam/operator"
DELETED_ANNOTATION = "bramblebeam/deleted"
"""Marks the tombstone of a deleted row. Its spec is empty."""

PREVIOUS_ANNOTATION = "bramblebeam/previous-changes"


def canonical_json(spec: Any) -> str:
    """Return `spec` as JSON text with sorted keys and no spaces."""
    return json.dumps(spec, sort_keys=True, separators=(",", ":"))


def parse_store_row(body: dict[str, Any], deleted: bool = False) -> StoreRow:
    """Parse one object. Raises KeyError, TypeError or ValueError if it is malformed."""
    metadata = body["metadata"]
    annotations = metadata.get("annotations") or {}
    key = RowKey(body["kind"], metadata["name"])
    is_deleted = deleted or annotations.get(DELETED_ANNOTATION) == "true"
    spec = "" if is_deleted else canonical_json(body["spec"])
    change_id = "" if deleted else annotations.get(CHANGE_ANNOTATION, "")
    row = Row(key, int(metadata["resourceVersion"]), spec, change_id)
    previous = annotations.get(PREVIOUS_ANNOTATION, "")
    changes = tuple(part for part in previous.split(",") if part)
    return StoreRow(row, annotations.get(OPERATOR_ANNOTATION, ""), changes)


def object_body(store_row: StoreRow) -> dict[str, Any]:
    """Return the JSON object to write. Version 0 is omitted, which creates the object.

    A deleted row is written as a tombstone with an empty spec, which keeps its change ids.
    """
    row = store_row.row
    annotations = {
        CHANGE_ANNOTATION: row.change_id,
        OPERATOR_ANNOTATION: store_row.operator,
        PREVIOUS_ANNOTATION: ",".join(store_row.previous_changes),
    }
    if not row.spec:
        annotations[DELETED_ANNOTATION] = "true"
    metadata: dict[str, Any] = {"name": row.key.name, "annotations": annotations}
    if row.version:
        metadata["resourceVersion"] = str(row.version)
    return {"kind": row.key.kind, "metadata": metadata, "spec": json.loads(row.spec or "{}")}
