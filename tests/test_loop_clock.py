"""Requirements of leases and time limits on uvloop, the event loop that nodes run on.

The end of a lease is checked by the loop's time. That is safe only if each check reads the clock,
because a process may stall for seconds between two callbacks or within one.
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

CLOCK_RESOLUTION = 0.002
"""Readings are cut to a millisecond, and the clock itself may advance in such steps (seconds)."""
STALL_SECONDS = 0.05


def stall() -> None:
    """Block the loop in the middle of a callback."""
    time.sleep(STALL_SECONDS)


def test_the_loop_reads_its_clock_at_each_call() -> None:
    async def read() -> tuple[float, float, float]:
        stall()
        before = time.monotonic()
        return before, now(), time.monotonic()

    before, reading, after = uvloop.run(read())
    assert before - CLOCK_RESOLUTION <= reading <= after


def test_a_timer_starts_when_it_is_set_even_late_in_an_iteration() -> None:
    delay = 0.03

    async def wait() -> tuple[float, float]:
        stall()
        began = now()
        await asyncio.sleep(delay)
        return began, now()

    began, ended = uvloop.run(wait())
    assert ended - began >= delay - CLOCK_RESOLUTION


@pytest.mark.parametrize(
    ("left", "may_use"),
    [(LEASE_SECONDS / 2, True), (STALL_SECONDS / 2, False), (0.0, False)],
    ids=["holds", "ends in the stall", "over"],
)
def test_a_lease_is_checked_after_a_stall_within_the_callback(left: float, may_use: bool) -> None:
    async def decide() -> bool:
        tracker = make_tracker([])
        take_all(tracker, [primary_answer(FIRST, 1), replica_answer(SECOND, 1)])
        tracker.lease.confirmed_at = now() + left + SEND_MARGIN - LEASE_SECONDS
        stall()
        return tracker.may_use(FIRST)

    assert uvloop.run(decide()) is may_use


@contextmanager
def listening() -> Iterator[socket.socket]:
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield server


def received_bytes(accepted: socket.socket) -> bytes:
    """Return what can be read without waiting."""
    try:
        return accepted.recv(64, socket.MSG_DONTWAIT)
    except BlockingIOError:
        return b""


def test_a_statement_leaves_in_the_callback_that_checked_the_lease() -> None:
    """Not at the end of the loop's iteration, in which other callbacks may take long."""

    async def send(server: socket.socket) -> bytes:
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(
            LineDatabaseConnection, *server.getsockname()[:2]
        )
        accepted, _ = server.accept()
        with accepted:
            sending = asyncio.ensure_future(connection.run([Command(COMMIT, "id1")], 60.0))
            received: asyncio.Future[bytes] = loop.create_future()
            loop.call_soon(lambda: received.set_result(received_bytes(accepted)))
            found = await received
            sending.cancel()
        return found

    with listening() as server:
        assert uvloop.run(send(server)) == b"QUERY id1 COMMIT\r\n"
