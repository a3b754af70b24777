"""What leases and time limits need of the loop that nodes run on, uvloop.

A right that ends at some moment is checked by the loop's time. That is worth something only if the
clock is read for it: a process may stand still for seconds between two callbacks, or within one.
"""

import asyncio
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
import uvloop

from bramblebeam.core.gateway.leader_lease import LEASE_SECONDS, SEND_MARGIN
from bramblebeam.core.gateway.statements import COMMIT
from bramblebeam.platform.database_connection import LineDatabaseConnection
from bramblebeam.services.gateway.ports import Command
from test_gateway_leaders import (
    FIRST,
    SECOND,
    make_tracker,
    now,
    primary_answer,
    replica_answer,
    take_all,
)

COARSEST = 0.002
"""A reading is cut to a millisecond, of a clock that may itself move in such steps (seconds)."""
STANDSTILL = 0.05


def stand_still() -> None:
    """Hold the loop up in the middle of a callback."""
    time.sleep(STANDSTILL)


def test_the_loop_reads_its_clock_anew_at_each_call() -> None:
    async def read() -> tuple[float, float, float]:
        stand_still()
        before = time.monotonic()
        return before, now(), time.monotonic()

    before, reading, after = uvloop.run(read())
    assert before - COARSEST <= reading <= after


def test_a_timer_counts_from_when_it_is_set_though_the_turn_is_old() -> None:
    delay = 0.03

    async def wait() -> tuple[float, float]:
        stand_still()
        began = now()
        await asyncio.sleep(delay)
        return began, now()

    began, ended = uvloop.run(wait())
    assert ended - began >= delay - COARSEST


@pytest.mark.parametrize(
    ("left", "may_use"),
    [(LEASE_SECONDS / 2, True), (STANDSTILL / 2, False), (0.0, False)],
    ids=["holds", "ends in the standstill", "over"],
)
def test_a_lease_is_checked_after_a_standstill_within_the_callback(
    left: float, may_use: bool
) -> None:
    async def decide() -> bool:
        tracker = make_tracker([])
        take_all(tracker, [primary_answer(FIRST, 1), replica_answer(SECOND, 1)])
        tracker.lease.confirmed_at = now() + left + SEND_MARGIN - LEASE_SECONDS
        stand_still()
        return tracker.may_use(FIRST)

    assert uvloop.run(decide()) is may_use


@contextmanager
def listening() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield server


def what_came(accepted: socket.socket) -> bytes:
    """Return what can be read without waiting."""
    try:
        return accepted.recv(64, socket.MSG_DONTWAIT)
    except BlockingIOError:
        return b""


def test_a_statement_leaves_in_the_callback_that_checked_the_lease() -> None:
    """Not at the end of the turn: what else runs in it may take long."""

    async def send(server: socket.socket) -> bytes:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            LineDatabaseConnection, *server.getsockname()[:2]
        )
        accepted, _ = server.accept()
        with accepted:
            sending = asyncio.ensure_future(connection.run([Command(COMMIT, "id1")], 60.0))
            came: asyncio.Future[bytes] = loop.create_future()
            loop.call_soon(lambda: came.set_result(what_came(accepted)))
            found = await came
            sending.cancel()
        return found

    with listening() as server:
        assert uvloop.run(send(server)) == b"QUERY id1 COMMIT\r\n"
