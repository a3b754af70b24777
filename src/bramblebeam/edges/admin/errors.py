"""Refusals of the API: an HTTP status, a code for programs, and a text for people."""

from typing import Any

from aiohttp import web
from pydantic import BaseModel


class Problem(BaseModel):
    """The body of every refusal. `not_run`: whether the request surely had no effect."""

    code: str
    message: str
    not_run: bool = True
    retry_after_ms: int | None = None
    details: dict[str, Any] = {}


class ApiError(Exception):
    """A refusal with its HTTP status."""

    def __init__(self, status: int, problem: Problem) -> None:
        super().__init__(problem.message)
        self.status = status
        self.problem = problem


def refuse(status: int, code: str, message: str, **details: Any) -> ApiError:
    """Return the refusal of a request that had no effect."""
    return ApiError(status, Problem(code=code, message=message, details=details))


def problem_response(error: ApiError) -> web.Response:
    """Return the refusal as an HTTP answer."""
    headers = {}
    if error.problem.retry_after_ms is not None:
        headers["Retry-After"] = str(max(1, round(error.problem.retry_after_ms / 1000)))
    if error.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    body = error.problem.model_dump(exclude_none=True)
    return web.json_response(body, status=error.status, headers=headers)
