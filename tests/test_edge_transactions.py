"""Statements of a transaction in virtual time, and confirmed positions shared by statements."""

import asyncio
from typing import Any, cast

import pytest

from bramblebeam.core.identity import InstanceId, Position
from bramblebeam.core.machine import Wakeup
from bramblebeam.core.routing.directory import Directory
from bramblebeam.core.routing.effects import (
    Abandon,
    Answered,
    AttemptFailed,
    Finish,
    Hold,
    RequestPosition,
    SendRequest,
    Started,
    StatementRequest,
)
from bramblebeam.core.routing.pinned import PinnedExecution
from bramblebeam.core.session.session import Session, Transaction
from bramblebeam.core.statement import (
    ExecuteReply,
    PositionReply,
    PositionRequest,
    StatementKind,
)
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.services.edge.confirmations import ConfirmationBatcher
from bramblebeam.services.edge.peers import Peers
from edge_harness import GROUP, NODE, SERVICE, P, configuration, members

COMMIT = StatementRequest(StatementKind.COMMIT, "COMMIT")
UPDATE = StatementRequest(StatementKind.WRITE, "UPDATE")
ROLLBACK = StatementRequest(StatementKind.ROLLBACK, "ROLLBACK")


def begin(statement: StatementRequest) -> tuple[Session, Directory, PinnedExecution, SendRequest]:
    directory = Directory()
    directory.configure(configuration())
    directory.set_members(members())
    session = Session("s", SERVICE, GROUP)
    session.transaction = Transaction("t", GROUP, P, NODE, 1)
    machine = PinnedExecution(session, statement, directory)
    (sent,) = machine.handle(Started(), 0.0)
    assert isinstance(sent, SendRequest)
    return session, directory, machine, sent


def refusal_of(finish: Any) -> Refusal:
    assert isinstance(finish, Finish) and finish.refusal is not None
    return finish.refusal


def test_commit_without_a_reply_is_repeated_then_unknown() -> None:
    session, _, machine, sent = begin(COMMIT)
    (again,) = machine.handle(AttemptFailed(sent=True), 0.1)
    assert isinstance(again, SendRequest) and again.request.repeat
    assert again.request.request == sent.request.request
    (held,) = machine.handle(AttemptFailed(sent=True), 0.2)
    assert isinstance(held, Hold)
    (finish,) = machine.handle(Wakeup(), 5.0)
    assert refusal_of(finish).verdict is Verdict.UNKNOWN
    assert session.transaction is None
    assert session.must_confirm(GROUP)


def test_commit_that_was_not_sent_is_not_run() -> None:
    session, _, machine, _ = begin(COMMIT)
    abandon, finish = machine.handle(AttemptFailed(sent=False), 0.1)
    assert isinstance(abandon, Abandon)
    assert refusal_of(finish).verdict is Verdict.NOT_RUN
    assert session.transaction is None


def test_commit_at_a_replaced_primary_is_unknown() -> None:
    _, directory, machine, sent = begin(COMMIT)
    directory.observe_term(GROUP, 2)
    reply = ExecuteReply(sent.request.request, position=Position(1, 9))
    (finish,) = machine.handle(Answered(reply), 0.1)
    assert refusal_of(finish).verdict is Verdict.UNKNOWN


def test_lost_statement_ends_the_transaction_as_not_run() -> None:
    session, _, machine, sent = begin(UPDATE)
    lost = Refusal(Verdict.UNKNOWN, Reason.CONNECTION_LOST)
    abandon, finish = machine.handle(Answered(ExecuteReply(sent.request.request, lost)), 0.1)
    assert isinstance(abandon, Abandon)
    refusal = refusal_of(finish)
    assert (refusal.verdict, refusal.reason) == (Verdict.NOT_RUN, Reason.TRANSACTION_LOST)
    assert session.transaction is None


def test_rollback_succeeds_whatever_was_lost() -> None:
    session, _, machine, _ = begin(ROLLBACK)
    _, finish = machine.handle(AttemptFailed(sent=False), 0.1)
    assert isinstance(finish, Finish) and finish.refusal is None
    assert session.transaction is None


@pytest.mark.parametrize(("still_open", "expected"), [(True, True), (False, False)])
def test_statement_error_keeps_the_transaction_if_the_back_end_does(
    still_open: bool, expected: bool
) -> None:
    session, _, machine, sent = begin(UPDATE)
    error = Refusal(Verdict.NOT_RUN, Reason.BACKEND_ERROR, "deadlock", code=1213)
    reply = ExecuteReply(sent.request.request, error, in_transaction=still_open)
    (finish,) = machine.handle(Answered(reply), 0.1)
    assert refusal_of(finish).code == 1213
    assert session.in_transaction is expected


class SlowPeers:
    """Passes each request to the test, which replies to it."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[asyncio.Future[PositionReply]] = asyncio.Queue()

    async def request(self, to: Any, message: Any, timeout: float) -> PositionReply:
        answer = asyncio.get_running_loop().create_future()
        self.requests.put_nowait(answer)
        return await answer


async def test_position_confirmed_for_an_earlier_request_is_not_shared() -> None:
    peers = SlowPeers()
    confirmations = ConfirmationBatcher(cast(Peers, peers))
    request = RequestPosition(NODE, PositionRequest(InstanceId("p")), 1.0)
    first = asyncio.create_task(confirmations.confirm(request))
    first_request = await peers.requests.get()
    later = [asyncio.create_task(confirmations.confirm(request)) for _ in range(3)]
    await asyncio.sleep(0)
    first_request.set_result(PositionReply(P, Position(1, 1)))
    assert (await first).position == Position(1, 1)
    next_request = await peers.requests.get()
    next_request.set_result(PositionReply(P, Position(1, 2)))
    assert [(await task).position for task in later] == [Position(1, 2)] * 3
    assert peers.requests.empty()
