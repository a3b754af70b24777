"""Deletes the rows of old caller requests."""

import itertools
import time

from bramblebeam.core.identity import ServiceId
from bramblebeam.core.role import Role
from bramblebeam.core.statement import ExecuteRequest, RequestId, StatementKind
from bramblebeam.services.pool.caller_requests import TABLE
from bramblebeam.services.pool.statements import StatementRunner

RETENTION_SECONDS = 24 * 3_600
"""A caller that repeats a request later than this may run it a second time."""
CLEAR_INTERVAL = 60.0
"""Time between deletions (seconds): short, so that each deletes few rows."""
DEADLINE_MS = 5_000


class RequestRetention:
    """Deletes old rows on a primary that has recently run requests with a caller's id."""

    def __init__(self, runner: StatementRunner) -> None:
        self._runner = runner
        self._next_at = 0.0
        self._sequence = itertools.count()

    async def clear(self, now: float) -> bool:
        """Delete the old rows if it is time (`now`: loop time); return whether that was done."""
        service = self._runner.caller_request_service
        status = self._runner.instance.status
        if service is None or status is None or status.role is not Role.PRIMARY:
            return False
        if now < self._next_at:
            return False
        self._next_at = now + CLEAR_INTERVAL
        reply = await self._runner.execute(self._request(service), now)
        return reply.refusal is None

    def _request(self, service: ServiceId) -> ExecuteRequest:
        oldest = int((time.time() - RETENTION_SECONDS) * 1000)
        return ExecuteRequest(
            RequestId("retention", next(self._sequence)),
            self._runner.instance.spec.instance,
            service,
            StatementKind.WRITE,
            f"DELETE FROM {TABLE} WHERE created_ms < {oldest}",
            wait_ms=DEADLINE_MS,
            deadline_ms=DEADLINE_MS,
        )
