"""Turns the platform's JSON objects into rows and back."""

import json
from typing import Any

from bramblebeam.core.configuration.edit import StoreRow
from bramblebeam.core.configuration.rows import Row, RowKey

CHANGE_ANNOTATION = "bramblebeam/change"
OPERATOR_ANNOTATION = "bramblebeam/operator"
DELETED_ANNOTATION = "bramblebeam/deleted"
"""On an object that stands for a deleted row; its spec is empty."""

PREVIOUS_ANNOTATION = "bramblebeam/previous-changes"


def canonical_json(spec: Any) -> str:
    """Return `spec` as JSON text with sorted keys and no spaces."""
    return json.dumps(spec, sort_keys=True, separators=(",", ":"))


def parse_store_row(body: dict[str, Any], deleted: bool = False) -> StoreRow:
    """Read one object. Raises KeyError, TypeError or ValueError for one that is malformed."""
    metadata = body["metadata"]
    annotations = metadata.get("annotations") or {}
    key = RowKey(body["kind"], metadata["name"])
    gone = deleted or annotations.get(DELETED_ANNOTATION) == "true"
    spec = "" if gone else canonical_json(body["spec"])
    change_id = "" if deleted else annotations.get(CHANGE_ANNOTATION, "")
    row = Row(key, int(metadata["resourceVersion"]), spec, change_id)
    previous = annotations.get(PREVIOUS_ANNOTATION, "")
    changes = tuple(part for part in previous.split(",") if part)
    return StoreRow(row, annotations.get(OPERATOR_ANNOTATION, ""), changes)


def object_body(written: StoreRow) -> dict[str, Any]:
    """Return the JSON object to write; version 0 is left out (a creation).

    A deleted row is written as an object without a spec, so that its change ids are kept.
    """
    row = written.row
    annotations = {
        CHANGE_ANNOTATION: row.change_id,
        OPERATOR_ANNOTATION: written.operator,
        PREVIOUS_ANNOTATION: ",".join(written.previous_changes),
    }
    if not row.spec:
        annotations[DELETED_ANNOTATION] = "true"
    metadata: dict[str, Any] = {"name": row.key.name, "annotations": annotations}
    if row.version:
        metadata["resourceVersion"] = str(row.version)
    return {"kind": row.key.kind, "metadata": metadata, "spec": json.loads(row.spec or "{}")}
