"""Validates the text of a row and reports which field is invalid."""

from expression import Error, Ok, Result
from pydantic import ValidationError
from pydantic_core import ErrorDetails

from bramblebeam.core.configuration.rows import (
    SPECS,
    GroupSpec,
    LimitSpec,
    RowKey,
    Spec,
    WeightSpec,
)

MAXIMUM_SPEC_BYTES = 64 * 1024
MAXIMUM_NAME_LENGTH = 200


def parse_spec(key: RowKey, text: str) -> Result[Spec, str]:
    """Return the validated spec, or the errors by field."""
    adapter = SPECS.get(key.kind)
    if adapter is None:
        return Error(f"kind: expected one of {', '.join(SPECS)}, got {key.kind!r}")
    if not 0 < len(key.name) <= MAXIMUM_NAME_LENGTH:
        return Error(f"name: expected 1 to {MAXIMUM_NAME_LENGTH} characters")
    if len(text) > MAXIMUM_SPEC_BYTES:
        return Error(f"spec: expected at most {MAXIMUM_SPEC_BYTES} bytes")
    try:
        spec: Spec = adapter.validate_json(text)
    except ValidationError as exc:
        return Error("; ".join(_describe(entry) for entry in exc.errors()))
    return _check_name(key, spec)


def _check_name(key: RowKey, spec: Spec) -> Result[Spec, str]:
    match spec:
        case LimitSpec():
            if "." in spec.group:
                return Error("spec.group: expected no dot")
            expected = f"{spec.service}.{spec.group}"
        case WeightSpec():
            expected = str(spec.instance)
        case GroupSpec():
            return _check_members(key, spec)
    if key.name != expected:
        return Error(f"name: expected {expected!r} to match the spec, got {key.name!r}")
    return Ok(spec)


def _check_members(key: RowKey, spec: GroupSpec) -> Result[Spec, str]:
    if "." in key.name:
        return Error("name: expected no dot in a group's name")
    names = [member.instance for member in spec.members]
    if len(set(names)) != len(names):
        return Error("spec.members: duplicate instance")
    return Ok(spec)


def _describe(entry: ErrorDetails) -> str:
    path = ".".join(str(part) for part in ("spec", *entry["loc"]))
    unknown = entry["type"] == "unexpected_keyword_argument"
    return f"{path}: {'there is no such field' if unknown else entry['msg']}"
