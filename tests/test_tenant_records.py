"""The log lines of tenants that reached their limits, and the report that adds them up."""

import json
import logging
from pathlib import Path

import pytest

from bramblebeam.core.tenants import RateLimit, TenantId
from bramblebeam.events.catalogue import TENANT_RATE_SAMPLE
from bramblebeam.events.formatting import JsonFormatter
from bramblebeam.report.counting.build import build_report
from bramblebeam.services.gateway.tenant_records import (
    FOLLOWED_SECONDS,
    MAXIMUM_LINES,
    REPORT_SECONDS,
    Outcome,
    TenantRecords,
)
from run_logs import line, start

ACME, BOLT = TenantId("acme"), TenantId("bolt")
LIMIT = RateLimit(20.0, 10.0)


def report(records: TenantRecords, now: float, caplog: pytest.LogCaptureFixture) -> list[dict]:
    """Return the events of one report."""
    caplog.clear()
    with caplog.at_level(logging.INFO):
        records.report(now, lambda tenant: LIMIT)
    return [json.loads(JsonFormatter().format(record)) for record in caplog.records]


def test_only_a_tenant_that_reached_its_limit_is_logged_and_only_for_a_while(
    caplog: pytest.LogCaptureFixture,
) -> None:
    records = TenantRecords()
    for tenant in (ACME, BOLT):
        records.record(tenant, Outcome.COUNTED)
        records.record(tenant, Outcome.SENT)
    records.record_limit_reached(ACME, 10.0)
    (event,) = report(records, 10.0, caplog)
    assert event["event"] == TENANT_RATE_SAMPLE.number
    expected = {"tenant": ACME, "rate": 20.0, "burst": 10.0, "counted": 1, "sent": 1}
    assert event["fields"].items() >= expected.items()
    records.record(ACME, Outcome.SENT)
    assert not report(records, 10.0 + REPORT_SECONDS / 2, caplog)
    assert report(records, 10.0 + REPORT_SECONDS, caplog)[0]["fields"]["sent"] == 1
    records.record(ACME, Outcome.SENT)
    assert not report(records, 11.0 + FOLLOWED_SECONDS, caplog)
    assert records.totals[Outcome.SENT] == 4


def test_the_number_of_lines_is_limited_if_many_tenants_reach_their_limits(
    caplog: pytest.LogCaptureFixture,
) -> None:
    records = TenantRecords()
    for number in range(300):
        tenant = TenantId(f"tenant-{number}")
        records.record_limit_reached(tenant, 1.0)
        records.record_counting_start(tenant)
        for _ in range(number):
            records.record(tenant, Outcome.REFUSED)
        records.record_uncounted(tenant, "its limit is not known here")
    events = report(records, 1.0, caplog)
    assert len(events) == 2 * MAXIMUM_LINES + 1
    assert events[0]["fields"]["tenant"] == "tenant-299"
    assert [event["fields"]["tenants"] for event in events if event["event"] == 1128] == [300]


def second(at: float, counted: int, sent: int, returned: int = 0) -> str:
    fields = {"counted": counted, "sent": sent, "returned": returned, "refused": 9, "uncounted": 0}
    return line(at, TENANT_RATE_SAMPLE, tenant="acme", rate=20.0, burst=10.0, **fields)


def test_a_report_compares_the_counts_of_all_nodes_with_the_limit(
    tmp_path: Path,
) -> None:
    logs = {
        "a": [*start(0.1, "a"), *(second(at, 16, 12, 2) for at in (1.5, 2.5, 3.5))],
        "b": [*start(0.1, "b"), second(2.5, 40, 0)],
        "c": [*start(0.1, "c"), *(second(at, 0, 30) for at in (2.6, 3.6, 9.6))],
    }
    for name, lines in logs.items():
        (tmp_path / f"{name}.log").write_text("\n".join(lines))
    (found,) = build_report(sorted(tmp_path.glob("*.log")), ()).tenants
    assert (found.counted, found.sent, found.returned) == (88, 126, 6)
    assert (found.counting_nodes, found.running_nodes) == (3, 2)
    assert (found.span_sent, found.span_counted, found.span_allowed) == (96, 82, 110.0)
