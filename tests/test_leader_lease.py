"""A node's lease on the leader of a group."""

import pytest

from bramblebeam.core.gateway.floors import Watermark
from bramblebeam.core.gateway.leader_lease import (
    LEASE_SECONDS,
    MAXIMUM_PROOFS,
    SEND_MARGIN,
    STATUS_RENEWAL_SECONDS,
    WAIT_SECONDS,
    LeaderLease,
)
from bramblebeam.core.identity import Position

TERM = 3
NOW = 100.0


def lease_with_proofs(*proofs: Watermark) -> LeaderLease:
    lease = LeaderLease(TERM)
    for proof in proofs:
        lease.record_proof(proof)
    return lease


@pytest.mark.parametrize(
    ("follows", "held", "confirms"),
    [
        (TERM, 0, True),
        (TERM, TERM, True),
        (TERM - 1, 0, True),
        (TERM, TERM + 1, False),
        (TERM + 1, 0, False),
        (TERM - 1, TERM + 1, False),
    ],
)
def test_a_member_confirms_unless_it_reports_a_newer_term(
    follows: int, held: int, confirms: bool
) -> None:
    lease = LeaderLease(TERM)
    assert lease.record_status(follows, held, NOW) is confirms
    assert lease.covers(NOW) is confirms


@pytest.mark.parametrize(
    ("received", "confirmed_at"),
    [
        # Committed before any proof was requested: it proves nothing about any time.
        (Position(TERM, 10), None),
        # Committed after the first proof, perhaps before the second.
        (Position(TERM, 11), NOW),
        (Position(TERM, 12), NOW),
        (Position(TERM, 13), NOW + 1),
        # Of a former leader, although the offset is larger.
        (Position(TERM - 1, 99), None),
    ],
)
def test_a_commit_after_a_proof_confirms_the_leader_as_of_that_proof(
    received: Position, confirmed_at: float | None
) -> None:
    lease = lease_with_proofs(
        Watermark(Position(TERM, 10), NOW), Watermark(Position(TERM, 12), NOW + 1)
    )
    assert lease.record_received(received)
    expected = float("-inf") if confirmed_at is None else confirmed_at
    assert lease.confirmed_at == expected


def test_a_position_of_a_newer_term_contradicts_the_leader() -> None:
    lease = lease_with_proofs(Watermark(Position(TERM, 10), NOW))
    assert not lease.record_received(Position(TERM + 1, 1))
    assert not lease.covers(NOW)


def test_an_older_status_does_not_shorten_the_lease() -> None:
    lease = LeaderLease(TERM)
    lease.record_status(TERM, 0, NOW)
    lease.record_status(TERM, 0, NOW - 1)
    assert lease.confirmed_at == NOW


@pytest.mark.parametrize(
    ("age", "covers", "may_send"),
    [
        (0.0, True, True),
        (LEASE_SECONDS - SEND_MARGIN * 2, True, True),
        (LEASE_SECONDS - SEND_MARGIN / 2, True, False),
        (LEASE_SECONDS, False, False),
    ],
)
def test_nothing_is_sent_at_the_end_of_a_lease(age: float, covers: bool, may_send: bool) -> None:
    lease = LeaderLease(TERM)
    lease.record_status(TERM, 0, NOW)
    assert lease.covers(NOW + age) is covers
    assert lease.may_send(NOW + age) is may_send


def test_a_change_of_primary_waits_for_longer_than_any_lease_lasts() -> None:
    assert WAIT_SECONDS > LEASE_SECONDS > STATUS_RENEWAL_SECONDS + SEND_MARGIN


def test_the_number_of_retained_proofs_is_bounded() -> None:
    proofs = [Watermark(Position(TERM, offset), NOW + offset) for offset in range(1, 1_000)]
    lease = lease_with_proofs(*proofs)
    assert len(lease._proofs) == MAXIMUM_PROOFS
