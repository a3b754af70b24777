"""Client of a node's administration API, for operators' commands."""

import asyncio
from dataclasses import dataclass
from typing import Any

REQUEST_TIMEOUT_SECONDS = 20.0


class RequestFailed(Exception):  # noqa: N818 - the outcome of a request, not a program error
    """The node refused the request (HTTP `status`) or gave no answer (status 0)."""

    def __init__(self, status: int, problem: dict[str, Any]) -> None:
        super().__init__(problem.get("message", ""))
        self.status = status
        self.problem = problem


@dataclass(frozen=True, slots=True)
class NodeApi:
    """The API at `url`; `token` (empty: none) authenticates, `ca` is a PEM file of a private CA."""

    url: str
    token: str = ""
    ca: str = ""

    def call(self, method: str, path: str, body: dict[str, Any] | None = None) -> dict[str, Any]:
        """Send a request and return the answer. Raises RequestFailed."""
        return asyncio.run(self._call(method, path, body))

    async def _call(self, method: str, path: str, body: dict[str, Any] | None) -> dict[str, Any]:
        import aiohttp  # imported here: it takes 0.25 s, which other commands need not spend

        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS)
        try:
            async with (
                aiohttp.ClientSession(headers=headers, timeout=timeout) as session,
                session.request(
                    method, f"{self.url}/api/v1{path}", json=body, ssl=self._ssl_context()
                ) as response,
            ):
                found: dict[str, Any] = await response.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            message = f"node at {self.url} gave no answer: {error!r}"
            raise RequestFailed(0, {"code": "unreachable", "message": message}) from error
        if response.status >= 400:
            raise RequestFailed(response.status, found)
        return found

    def _ssl_context(self) -> Any:
        if not self.ca:
            return True
        import ssl

        return ssl.create_default_context(cafile=self.ca)
