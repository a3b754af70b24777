"""Questions for floors, shared by the statements of a node that wait at the same time."""

import asyncio
from typing import Any

from bramblebeam.core.identity import InstanceId, NodeId, Position
from bramblebeam.core.routing.effects import RequestPosition
from bramblebeam.core.statement import PositionReply, PositionRequest
from bramblebeam.services.edge.confirmations import ConfirmationBatcher

A = InstanceId("a")
NEWEST = Position(1, 100)


class Owner:
    """Answers after a turn of the event loop; session `sN` has its last write at N."""

    def __init__(self, knows_names: bool = True) -> None:
        self.knows_names = knows_names
        self.asked: list[PositionRequest] = []

    async def request(self, to: NodeId, message: PositionRequest, timeout: float) -> Any:
        self.asked.append(message)
        await asyncio.sleep(0.01)
        floors = tuple(Position(1, int(name[1:])) for name in message.sessions)
        return PositionReply(A, NEWEST, floors=floors if self.knows_names else ())


def ask(confirmations: ConfirmationBatcher, *names: str) -> Any:
    return confirmations.confirm(RequestPosition(NodeId("n"), PositionRequest(A, names), 1.0))


async def test_statements_that_wait_together_share_a_question_and_get_their_own_floors() -> None:
    owner = Owner()
    confirmations = ConfirmationBatcher(owner)  # type: ignore[arg-type]
    names = ["s1", "s2", "", "s1", "s3"]
    asked = [ask(confirmations, *([name] if name else [])) for name in names]
    replies = await asyncio.gather(*asked)
    assert len(owner.asked) == 1
    assert owner.asked[0].sessions == ("s1", "s2", "s3")
    assert {reply.position for reply in replies} == {NEWEST}
    floors = [[floor.offset for floor in reply.floors] for reply in replies]
    assert floors == [[1], [2], [], [1], [3]]


async def test_a_statement_never_joins_a_question_that_was_sent_before_it_came() -> None:
    owner = Owner()
    confirmations = ConfirmationBatcher(owner)  # type: ignore[arg-type]
    first = asyncio.create_task(ask(confirmations, "s1"))
    await asyncio.sleep(0.005)
    second = await ask(confirmations, "s2")
    assert [request.sessions for request in owner.asked] == [("s1",), ("s2",)]
    assert (await first).floors == (Position(1, 1),)
    assert second.floors == (Position(1, 2),)


async def test_an_owner_that_knows_no_names_gives_the_newest_position() -> None:
    confirmations = ConfirmationBatcher(Owner(knows_names=False))  # type: ignore[arg-type]
    reply = await ask(confirmations, "s1")
    assert (reply.position, reply.floors) == (NEWEST, ())
