"""Conditions under which a former leader is considered cut off."""

import asyncio

import pytest

from bramblebeam.core.failover.messages import (
    StepDownOutcome,
    StepDownReply,
    StepDownRequest,
)
from bramblebeam.core.identity import GroupId, InstanceId, NodeId, Position, server_name
from bramblebeam.services.failover.cut_off import LEASES_EXPIRED, NEVER, CutOff, LeaderCutOff

GROUP = GroupId("deliveries")
FORMER = InstanceId("db-a")
TERM = 2
END = Position(1, 7)
DONE = StepDownOutcome.DONE
GONE = StepDownOutcome.GONE
UNREACHABLE = StepDownOutcome.UNREACHABLE
NO_ANSWER = StepDownOutcome.NO_ANSWER


class FakeReplies:
    """Step-down outcomes of this node (`here`) and of the others (`elsewhere`)."""

    def __init__(self, here: StepDownOutcome, elsewhere: list[StepDownOutcome]) -> None:
        self._here = here
        self._elsewhere = {
            NodeId(f"node-{number}"): outcome for number, outcome in enumerate(elsewhere)
        }
        self.nodes = tuple(self._elsewhere)


class FakeOrders(FakeReplies):
    async def step_down(self, instance: InstanceId, term: int) -> StepDownReply:
        return reply_of(self._here)


class FakePeers(FakeReplies):
    async def step_down(self, node: NodeId, request: StepDownRequest) -> StepDownReply:
        assert request == StepDownRequest(GROUP, server_name(FORMER), TERM)
        return reply_of(self._elsewhere[node])


def reply_of(outcome: StepDownOutcome) -> StepDownReply:
    return StepDownReply(outcome, END) if outcome is DONE else StepDownReply(outcome)


async def cut_off(
    here: StepDownOutcome, elsewhere: list[StepDownOutcome], leases_end: float, all_nodes: bool
) -> CutOff:
    peers = FakePeers(here, elsewhere)
    run = LeaderCutOff(GROUP, FakeOrders(here, elsewhere), peers).run  # type: ignore[arg-type]
    return await run(FORMER, TERM, peers.nodes, leases_end, all_nodes)


@pytest.mark.parametrize(
    ("here", "elsewhere", "all_nodes", "is_done"),
    [
        (DONE, [], False, True),
        (UNREACHABLE, [NO_ANSWER, DONE], False, True),
        (GONE, [GONE, GONE], True, True),
        (GONE, [GONE, GONE], False, False),
        (GONE, [GONE, UNREACHABLE], True, False),
        (GONE, [GONE, NO_ANSWER], True, False),
        (UNREACHABLE, [], True, False),
    ],
)
async def test_while_members_may_confirm_leases_the_leader_must_step_down_or_be_gone(
    here: StepDownOutcome, elsewhere: list[StepDownOutcome], all_nodes: bool, is_done: bool
) -> None:
    result = await cut_off(here, elsewhere, NEVER, all_nodes)
    assert result.is_done is is_done
    assert result.position == (END if DONE in (here, *elsewhere) else None)


@pytest.mark.parametrize(
    ("elsewhere", "all_nodes", "at_once"),
    [
        ([UNREACHABLE, GONE], True, True),
        ([UNREACHABLE, NO_ANSWER], True, False),
        ([UNREACHABLE, UNREACHABLE], False, False),
    ],
)
async def test_once_members_are_paused_confirmations_of_all_nodes_end_the_wait(
    elsewhere: list[StepDownOutcome], all_nodes: bool, at_once: bool
) -> None:
    forever = asyncio.get_running_loop().time() + 3_600
    waiting = asyncio.ensure_future(cut_off(UNREACHABLE, elsewhere, forever, all_nodes))
    done, _ = await asyncio.wait({waiting}, timeout=0.2)
    assert bool(done) is at_once
    waiting.cancel()


async def test_expired_leases_end_the_wait_even_without_replies() -> None:
    past = asyncio.get_running_loop().time() - 1
    assert await cut_off(UNREACHABLE, [NO_ANSWER], past, False) == LEASES_EXPIRED
