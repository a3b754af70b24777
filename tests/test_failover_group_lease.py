"""How often a node asks the store for another node's lease, and what a lost store means."""

import asyncio
from dataclasses import replace

import pytest

from bramblebeam.core.failover.decision import Cause, FailoverTiming, Situation
from bramblebeam.core.failover.lease import Lease, OrderedChange
from bramblebeam.core.identity import GroupId, InstanceId, NodeId
from bramblebeam.services.failover.group_lease import LEASE_READ_INTERVAL, GroupLease
from bramblebeam.services.failover.ports import LeaseStoreUnavailableError
from revisions import at

GROUP = GroupId("deliveries")
OWN, OTHER = NodeId("node-1"), NodeId("node-2")
TIMING = FailoverTiming()
CYCLE = 0.1
TROUBLE = 10.0


class Store:
    """One lease. `silent`: no call is answered. `reads`: when it was read."""

    def __init__(self, clock: "Clock") -> None:
        self.lease: Lease | None = Lease(GROUP, OTHER, at(7))
        self.silent = False
        self.reads: list[float] = []
        self._clock = clock

    async def read(self, group: GroupId, timeout: float) -> Lease | None:
        self.reads.append(self._clock.now)
        self._fail_if_silent()
        return self.lease

    async def create(self, group: GroupId, holder: NodeId, timeout: float) -> Lease | None:
        self._fail_if_silent()
        self.lease = Lease(group, holder, at(1))
        return self.lease

    async def write(self, lease: Lease, content: Lease, timeout: float) -> Lease | None:
        self._fail_if_silent()
        if self.lease is None or self.lease.token != lease.token:
            return None
        self.lease = replace(content, token=at(lease.token.number + 1))
        return self.lease

    def _fail_if_silent(self) -> None:
        if self.silent:
            raise LeaseStoreUnavailableError("made up")


class Clock:
    def __init__(self) -> None:
        self.now = TROUBLE


class Parts:
    """A lease before a store, by a clock that tests turn."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.store = Store(self.clock)
        self.lease = GroupLease(GROUP, OWN, self.store, TIMING, True, lambda: self.clock.now)

    def situation(self, cause: Cause = Cause.LOST) -> Situation:
        known, quiet = self.lease.known, self.lease.quiet_until
        return Situation(OWN, 0, None, cause, TROUBLE, known, quiet)

    def watch(self, seconds: float, wants: bool, cause: Cause = Cause.LOST) -> list[bool]:
        """Refresh in each cycle; return what each told."""
        told = []
        for _ in range(round(seconds / CYCLE)):
            told.append(asyncio.run(self.lease.refresh(self.situation(cause), lambda: wants)))
            self.clock.now += CYCLE
        return told


@pytest.mark.parametrize(
    ("cause", "seconds", "reads"),
    [
        pytest.param(Cause.LOST, TIMING.suspicion_timeout, 0, id="not before its holder may act"),
        pytest.param(Cause.LAPSED, TIMING.lapse_timeout, 0, id="a lapsed registration comes back"),
        pytest.param(Cause.LOST, TIMING.suspicion_timeout + 2.0, 4, id="now and then"),
        pytest.param(Cause.LEAVING, LEASE_READ_INTERVAL, 1, id="a planned change"),
    ],
)
def test_another_nodes_lease_is_read_now_and_then(cause: Cause, seconds: float, reads: int) -> None:
    """Found on a day of 195 nodes: each that served a group read its lease in each cycle of 0.1 s
    for as long as the leader was missed."""
    parts = Parts()
    parts.watch(seconds, wants=False, cause=cause)
    assert len(parts.store.reads) == reads


def test_it_is_read_at_once_before_it_is_taken_over() -> None:
    parts = Parts()
    parts.watch(TIMING.suspicion_timeout + 2 * CYCLE, wants=False)
    before = len(parts.store.reads)
    assert parts.watch(CYCLE, wants=True) == [True]
    assert len(parts.store.reads) == before + 1


def test_a_store_that_gives_no_answer_is_left_for_a_while() -> None:
    parts = Parts()
    parts.store.silent = True
    told = parts.watch(TIMING.suspicion_timeout + 2.0, wants=True)
    assert not any(told)
    assert len(parts.store.reads) == 4


def test_the_own_lease_is_not_read() -> None:
    parts = Parts()
    parts.store.lease = None
    asyncio.run(parts.lease.create_or_read())
    parts.store.reads.clear()
    assert all(parts.watch(2.0, wants=False))
    assert parts.store.reads == []


def test_a_lease_that_another_node_wrote_is_not_written_without_the_store() -> None:
    """Found by reading: where the store was lost right after it had told of the conflict, the
    former token was used on."""
    parts = Parts()
    parts.store.lease = None
    asyncio.run(parts.lease.create_or_read())
    parts.store.lease = Lease(GROUP, OTHER, at(9))
    reads = parts.store.read

    async def read(group: GroupId, timeout: float) -> Lease | None:
        parts.store.silent = True
        return await reads(group, timeout)

    parts.store.read = read  # type: ignore[method-assign]
    assert asyncio.run(parts.lease.write(None, None)) is None


def test_without_the_store_the_holder_keeps_a_token_that_was_not_refused() -> None:
    parts = Parts()
    parts.store.lease = None
    asyncio.run(parts.lease.create_or_read())
    parts.store.silent = True
    kept = asyncio.run(parts.lease.write(None, None))
    assert kept is not None
    parts.lease.record_refused_token(kept.token)
    assert asyncio.run(parts.lease.write(None, None)) is None


CHANGE = OrderedChange(InstanceId("db-b"), term=2)


def holder_without_store() -> Parts:
    """A holder that has carried out a change while the store gave no answer."""
    parts = Parts()
    parts.store.lease = None
    asyncio.run(parts.lease.create_or_read())
    parts.store.silent = True
    assert asyncio.run(parts.lease.write(CHANGE, None)) is not None
    return parts


@pytest.mark.parametrize("attempts_in_vain", [0, 3])
def test_a_change_made_without_the_store_is_written_once_it_answers(attempts_in_vain: int) -> None:
    """Found by a hunt (STALE 486, velotrans-core scale-1, 688184965461): a node that came back from
    a cut took the lease over, knew of no change, and promoted the former primary with its log."""
    parts = holder_without_store()
    for _ in range(attempts_in_vain):
        asyncio.run(parts.lease.flush())
    parts.store.silent = False
    asyncio.run(parts.lease.flush())
    assert parts.store.lease is not None
    assert parts.store.lease.last_change == CHANGE
    assert not parts.lease.is_unwritten


def test_it_is_written_over_an_earlier_write_that_was_carried_out_late() -> None:
    parts = holder_without_store()
    parts.store.silent = False
    assert parts.store.lease is not None
    parts.store.lease = replace(parts.store.lease, token=at(5))
    for _ in range(2):
        asyncio.run(parts.lease.flush())
    assert parts.store.lease.last_change == CHANGE


def test_it_is_not_written_over_another_nodes_lease() -> None:
    parts = holder_without_store()
    parts.store.silent = False
    parts.store.lease = Lease(GROUP, OTHER, at(9))
    for _ in range(2):
        asyncio.run(parts.lease.flush())
    assert parts.store.lease == Lease(GROUP, OTHER, at(9))
    assert parts.lease.known == parts.store.lease
