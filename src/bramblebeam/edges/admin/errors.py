"""Errors of the API: an HTTP status, a machine-readable code and a message."""

from typing import Any

from aiohttp import web
from pydantic import BaseModel


class Problem(BaseModel):
    """The body of every error response. `not_run`: the request is known to have had no effect."""

    code: str
    message: str
    not_run: bool = True
    retry_after_ms: int | None = None
    details: dict[str, Any] = {}


class ApiError(Exception):
    """An error response with its HTTP status."""

    def __init__(self, status: int, problem: Problem) -> None:
        super().__init__(problem.message)
        self.status = status
        self.problem = problem


def refuse(status: int, code: str, message: str, **details: Any) -> ApiError:
    """Return the error for a request that was refused without any effect."""
    return ApiError(status, Problem(code=code, message=message, details=details))


def problem_response(error: ApiError) -> web.Response:
    """Return the error as an HTTP response."""
    headers = {}
    if error.problem.retry_after_ms is not None:
        headers["Retry-After"] = str(max(1, round(error.problem.retry_after_ms / 1000)))
    if error.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    body = error.problem.model_dump(exclude_none=True)
    return web.json_response(body, status=error.status, headers=headers)
