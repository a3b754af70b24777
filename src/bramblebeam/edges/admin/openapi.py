"""Generates the OpenAPI document from the table of routes."""

import re
from typing import Any

from pydantic import BaseModel
from pydantic.json_schema import models_json_schema

from bramblebeam.edges.admin.errors import Problem
from bramblebeam.edges.admin.routes import ROUTES, Route

_SCHEMA_REFERENCE = "#/components/schemas/{model}"
_ERROR_RESPONSES = {
    "400": "The request is invalid.",
    "401": "The bearer token is missing or unknown.",
    "403": "The token's role or team does not allow it.",
    "404": "The requested object does not exist.",
    "409": "The row is at another version: `details` has it and the expected version.",
    "422": "The row is invalid: the message names the field.",
    "429": "Too many requests from this operator.",
    "503": "Not executed; retry after the given time.",
    "504": "The outcome is unknown; retry with the same change id.",
}


def openapi_document(version: str) -> dict[str, Any]:
    """Return the document, labelled with the program's version."""
    models: set[type[BaseModel]] = {Problem}
    for route in ROUTES:
        models.add(route.result)
        if route.body is not None:
            models.add(route.body)
    ordered = sorted(models, key=lambda model: model.__name__)
    _, schemas = models_json_schema(
        [(model, "validation") for model in ordered], ref_template=_SCHEMA_REFERENCE
    )
    paths: dict[str, dict[str, Any]] = {}
    for route in ROUTES:
        paths.setdefault(route.path, {})[route.method.lower()] = _operation(route)
    return {
        "openapi": "3.1.0",
        "info": {"title": "bramblebeam administration", "version": version},
        "components": {
            "schemas": schemas["$defs"],
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
        "security": [{"token": []}],
        "paths": paths,
    }


def _operation(route: Route) -> dict[str, Any]:
    responses: dict[str, Any] = {"200": _content(route.summary, route.result)}
    for status, description in _ERROR_RESPONSES.items():
        responses[status] = _content(description, Problem)
    operation: dict[str, Any] = {
        "summary": route.summary,
        "description": f"Needs the role `{route.role.name.lower()}`.",
        "operationId": f"{route.method.lower()}{re.sub('[^a-z]+', '_', route.path)}",
        "parameters": _parameters(route),
        "responses": responses,
    }
    if route.body is not None:
        operation["requestBody"] = {"required": True, **_content("", route.body)}
    return operation


def _parameters(route: Route) -> list[dict[str, Any]]:
    text = {"type": "string"}
    parameters: list[dict[str, Any]] = [
        {"name": name, "in": "path", "required": True, "schema": text}
        for name in re.findall(r"{(\w+)}", route.path)
    ]
    parameters += [
        {"name": name, "in": "query", "description": description, "schema": text}
        for name, description in route.query
    ]
    return parameters


def _content(description: str, model: type[BaseModel]) -> dict[str, Any]:
    reference = {"$ref": _SCHEMA_REFERENCE.format(model=model.__name__)}
    body: dict[str, Any] = {"content": {"application/json": {"schema": reference}}}
    if description:
        body["description"] = description
    return body
