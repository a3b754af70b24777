"""The gateway's metrics in the text format of Prometheus."""

import subprocess
import sys

import pytest

from bramblebeam.core.role import Role
from bramblebeam.services.gateway.metrics import GatewayMetrics


@pytest.fixture
def text() -> str:
    metrics = GatewayMetrics()
    for seconds in (0.004, 0.005, 0.7, 9.0):
        metrics.answered("latest", "read", "ok", seconds)
    metrics.answered("session", "write", "not_run", 0.05)
    metrics.attempt_failed("queue_full")
    metrics.attempt_failed("queue_full")
    for role in (Role.REPLICA, Role.REPLICA, Role.PRIMARY):
        metrics.read_served(role)
    metrics.leader_changed()
    return metrics.text().decode()


@pytest.mark.parametrize(
    "line",
    [
        'bramblebeam_requests_total{action="read",consistency="latest",outcome="ok"} 4.0',
        'bramblebeam_requests_total{action="write",consistency="session",outcome="not_run"} 1.0',
        'bramblebeam_request_seconds_bucket{action="read",consistency="latest",le="0.005"} 2.0',
        'bramblebeam_request_seconds_bucket{action="read",consistency="latest",le="1.0"} 3.0',
        'bramblebeam_request_seconds_bucket{action="read",consistency="latest",le="+Inf"} 4.0',
        'bramblebeam_request_seconds_count{action="read",consistency="latest"} 4.0',
        'bramblebeam_request_seconds_sum{action="read",consistency="latest"} 9.709',
        'bramblebeam_failed_attempts_total{reason="queue_full"} 2.0',
        'bramblebeam_reads_total{role="replica"} 2.0',
        'bramblebeam_reads_total{role="primary"} 1.0',
        "bramblebeam_leader_changes_total 1.0",
    ],
)
def test_the_metrics_are_exported(text: str, line: str) -> None:
    found = {_sorted_labels(exported) for exported in text.splitlines()}
    assert line in found


def _sorted_labels(line: str) -> str:
    name, brace, rest = line.partition("{")
    labels, _, value = rest.partition("}")
    return f"{name}{{{','.join(sorted(labels.split(',')))}}}{value}" if brace else line


NOT_NEEDED = (
    "aiohttp",
    "aiomisc",
    "bramblebeam.pages",
    "bramblebeam.report",
    "matplotlib",
    "prometheus_client",
    "rich",
    "sqlglot",
    "typer",
)


@pytest.mark.parametrize("module", NOT_NEEDED)
def test_a_node_on_the_platform_does_not_import_what_it_does_not_need(module: str) -> None:
    """Each import delays service after a loss of power at all machines."""
    code = f"import sys, bramblebeam.platform.main; sys.exit({module!r} in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
