"""Prepares a cluster for a load: waits for its groups, creates tables and inserts the keys."""

import asyncio
import time

from bramblebeam.lab.cluster import Cluster
from bramblebeam.lab.history import History
from bramblebeam.lab.history.records import RequestAnswered, RequestSent, StalenessBound
from bramblebeam.lab.load.client import Answer, CallerClient
from bramblebeam.lab.scenario import Service

READY_TIMEOUT_SECONDS = 25.0
RETRY_SECONDS = 0.1
RETRIED_OUTCOMES = ("not_run", "unknown", "lost")
"""Outcomes after which a setup statement is retried."""
CREATE_TABLE = "CREATE TABLE IF NOT EXISTS entries (k VARCHAR(32) PRIMARY KEY, v VARCHAR(64))"


class SetupError(Exception):
    """A group or node could not be prepared. The text has the last error."""


async def prepare(cluster: Cluster, history: History) -> None:
    """Prepare all groups and record their staleness bounds. Raises SetupError."""
    for row in cluster.scenario.load.services:
        history.add(StalenessBound(time.monotonic(), row.group, row.staleness_ms))
    services = {service.group: service for service in cluster.scenario.load.services}
    await asyncio.gather(
        *(_prepare_group(cluster, service, history) for service in services.values())
    )
    service = next(iter(services.values()))
    await asyncio.gather(
        *(_wait_until_accepting(cluster, service, node) for node in cluster.clients)
    )


async def _prepare_group(cluster: Cluster, service: Service, history: History) -> None:
    client = CallerClient(f"setup-{service.group}", service.name, service.group, False)
    await _execute_until_ok(cluster, client, CREATE_TABLE)
    for number in range(cluster.scenario.load.keys):
        await _insert(cluster, client, history, f"k{number}", f"first-{service.group}-{number}")
    await client.close()


async def _wait_until_accepting(cluster: Cluster, service: Service, node: str) -> None:
    """Wait until a node accepts callers. Raises SetupError."""
    client = CallerClient("", service.name, service.group, False)
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while True:
        outcome = await client.connect(node, cluster.clients[node])
        if outcome.outcome == "ok":
            break
        if time.monotonic() > deadline:
            raise SetupError(f"{node} does not accept callers: {outcome.text}")
        await asyncio.sleep(RETRY_SECONDS)
    await client.close()


async def _insert(
    cluster: Cluster, client: CallerClient, history: History, key: str, value: str
) -> None:
    request = RequestSent(
        time.monotonic(),
        client.node,
        client.name,
        f"setup-{value}",
        client.group,
        "write",
        key,
        value,
    )
    history.add(request)
    hint = f"/* bramblebeam_request={request.request} */"
    sql = f"{hint} INSERT INTO entries (k, v) VALUES ('{key}', '{value}')"
    answer = await _execute_until_ok(cluster, client, sql)
    outcome = answer.outcome.outcome
    history.add(
        RequestAnswered(time.monotonic(), client.node, client.name, request.request, outcome)
    )


async def _execute_until_ok(cluster: Cluster, client: CallerClient, sql: str) -> Answer:
    """Run a statement until it succeeds. Raises SetupError.

    The statement must be safe to retry after an unknown outcome.
    """
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    last_error = "no connection attempt was made"
    while time.monotonic() < deadline:
        if not client.connected:
            node, address = next(iter(cluster.clients.items()))
            connected = await client.connect(node, address)
            last_error = connected.text
        if client.connected:
            answer = await client.execute(sql)
            if answer.ok:
                return answer
            last_error = answer.outcome.text
            if answer.outcome.outcome not in RETRIED_OUTCOMES:
                break
        await asyncio.sleep(RETRY_SECONDS)
    raise SetupError(f"{client.group}: {sql[:60]}: {last_error}")
