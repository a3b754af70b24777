"""The MySQL errors for refusals, and the documentation page that lists them."""

import re
from pathlib import Path

import pytest

from bramblebeam.core.session.errors import CODE_BASE, REASON_TEXT, error_packet
from bramblebeam.core.verdict import Reason, Refusal, Verdict

PAGE = Path(__file__).parent.parent / "docs" / "errors.md"


def test_page_lists_every_reason_with_its_codes() -> None:
    listed = re.findall(
        r"^\| `(\w+)` \| (\d+) \| (\d+) \| (\d+) \| ([^|]+) \|", PAGE.read_text(), re.M
    )
    expected = [
        (
            reason.name,
            *(str(CODE_BASE[verdict] + reason) for verdict in Verdict),
            REASON_TEXT[reason],
        )
        for reason in Reason
    ]
    assert listed == expected


@pytest.mark.parametrize("verdict", Verdict)
@pytest.mark.parametrize("reason", Reason)
def test_text_says_not_run_only_for_that_verdict(verdict: Verdict, reason: Reason) -> None:
    packet = error_packet(Refusal(verdict, reason, "detail", retry_after_ms=70))
    assert ("not run" in packet.message) is (verdict is Verdict.NOT_RUN)
    assert CODE_BASE[verdict] <= packet.code < CODE_BASE[verdict] + 100
    retry = verdict is Verdict.NOT_RUN and reason is not Reason.BAD_REQUEST
    assert ("retry after 70 ms" in packet.message) is retry
