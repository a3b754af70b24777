"""The coarse clock of tests."""

import asyncio

import pytest

from platform_standins.coarse_clock import STEPS, round_down, run_with_coarse_clock


@pytest.mark.parametrize(
    ("exact", "step", "shown"),
    [(10.1234, 0.0, 10.1234), (10.125, 0.125, 10.125), (10.249, 0.125, 10.125), (10.0, 0.5, 10.0)],
    ids=["exact", "at a step", "before the next one", "a whole second"],
)
def test_a_reading_is_that_of_the_last_step(exact: float, step: float, shown: float) -> None:
    assert round_down(exact, step) == shown


@pytest.mark.parametrize("step", STEPS)
def test_timers_come_whatever_the_step(step: float) -> None:
    async def wait() -> tuple[float, float]:
        due = asyncio.get_running_loop().time() + 0.02
        async with asyncio.timeout_at(due + 30):
            while asyncio.get_running_loop().time() < due:  # noqa: ASYNC110
                await asyncio.sleep(0.005)
        return due, asyncio.get_running_loop().time()

    due, reached = run_with_coarse_clock(wait(), step)
    assert reached >= due
