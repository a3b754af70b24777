"""Requests for floors, shared by the statements of a node that wait at the same time."""

import asyncio
from typing import Any

from bramblebeam.core.identity import InstanceId, NodeId, Position
from bramblebeam.core.routing.effects import RequestPosition
from bramblebeam.core.statement import PositionReply, PositionRequest
from bramblebeam.services.edge.confirmations import ConfirmationBatcher

A = InstanceId("a")
NEWEST = Position(1, 100)


class Owner:
    """Replies after a short delay; the last write of session `sN` is at offset N."""

    def __init__(self, reports_floors: bool = True) -> None:
        self.reports_floors = reports_floors
        self.requests: list[PositionRequest] = []

    async def request(self, to: NodeId, message: PositionRequest, timeout: float) -> Any:
        self.requests.append(message)
        await asyncio.sleep(0.01)
        floors = tuple(Position(1, int(name[1:])) for name in message.sessions)
        return PositionReply(A, NEWEST, floors=floors if self.reports_floors else ())


def confirm(confirmations: ConfirmationBatcher, *names: str) -> Any:
    return confirmations.confirm(RequestPosition(NodeId("n"), PositionRequest(A, names), 1.0))


async def test_statements_that_wait_together_share_a_request_and_get_their_own_floors() -> None:
    owner = Owner()
    confirmations = ConfirmationBatcher(owner)  # type: ignore[arg-type]
    names = ["s1", "s2", "", "s1", "s3"]
    waiting = [confirm(confirmations, *([name] if name else [])) for name in names]
    replies = await asyncio.gather(*waiting)
    assert len(owner.requests) == 1
    assert owner.requests[0].sessions == ("s1", "s2", "s3")
    assert {reply.position for reply in replies} == {NEWEST}
    floors = [[floor.offset for floor in reply.floors] for reply in replies]
    assert floors == [[1], [2], [], [1], [3]]


async def test_statement_never_shares_a_request_sent_before_it_arrived() -> None:
    owner = Owner()
    confirmations = ConfirmationBatcher(owner)  # type: ignore[arg-type]
    first = asyncio.create_task(confirm(confirmations, "s1"))
    await asyncio.sleep(0.005)
    second = await confirm(confirmations, "s2")
    assert [request.sessions for request in owner.requests] == [("s1",), ("s2",)]
    assert (await first).floors == (Position(1, 1),)
    assert second.floors == (Position(1, 2),)


async def test_owner_that_reports_no_floors_gives_the_newest_position() -> None:
    confirmations = ConfirmationBatcher(Owner(reports_floors=False))  # type: ignore[arg-type]
    reply = await confirm(confirmations, "s1")
    assert (reply.position, reply.floors) == (NEWEST, ())
