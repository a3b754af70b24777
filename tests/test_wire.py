"""The codec: round trips, compatibility between versions, refusals."""

import dataclasses
from typing import Any, NamedTuple

import cbor2
import pytest

from bramblebeam.core.gateway.messages import ForwardedReply, ForwardedStatement
from bramblebeam.core.gateway.replies import Reply, TransactionState
from bramblebeam.core.gateway.routes import Consistency, Route
from bramblebeam.core.gateway.statements import Action, PreparedStatement, Statement
from bramblebeam.core.identity import GroupId, InstanceId, NodeId, Position
from bramblebeam.core.overload.load import DatabaseLoad
from bramblebeam.core.role import Role
from bramblebeam.core.statement import (
    ColumnSpec,
    ExecuteReply,
    InstanceStatus,
    RequestId,
    SubscribeReply,
)
from bramblebeam.core.verdict import Reason, Refusal, Verdict
from bramblebeam.wire.codec import Codec, DecodeError, UnknownTagError
from bramblebeam.wire.registry import MESSAGES
from bramblebeam.wire.shapes import record_shape

CODEC = Codec(MESSAGES)
STATUS = InstanceStatus(
    instance=InstanceId("db-1"),
    group=GroupId("db"),
    term=3,
    role=Role.PRIMARY,
    last=Position(3, 9),
    applied=Position(3, 9),
    lag_ms=0,
    leaving=False,
    reachable=True,
    owner=NodeId("node-1"),
    epoch=4,
)
REPLY = ExecuteReply(
    request=RequestId("session", 7),
    refusal=Refusal(Verdict.NOT_RUN, Reason.QUEUE_FULL, "full", 50),
    columns=(ColumnSpec("id", 3),),
    rows=((1,), (None,), (b"\x00",), ("text",)),
    status=STATUS,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Old:
    """A message as an older release defines it."""

    name: str
    count: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class New:
    """The same message with one more field."""

    name: str
    count: int = 1
    extra: tuple[int, ...] = (5,)


@pytest.mark.parametrize("message", [REPLY, SubscribeReply(InstanceId("db-1"), True, STATUS)])
def test_message_comes_back_as_it_was(message: Any) -> None:
    decoded = CODEC.decode(CODEC.encode(message))
    assert decoded == message
    assert type(decoded.status) is InstanceStatus
    assert type(decoded.status.last) is Position


def test_each_message_type_has_its_own_tag() -> None:
    assert len(set(MESSAGES.values())) == len(MESSAGES)


def test_older_and_newer_releases_read_each_other() -> None:
    old, new = Codec({1: Old}), Codec({1: New})
    assert old.decode(new.encode(New("a", 2, (7,)))) == Old("a", 2)
    assert new.decode(old.encode(Old("a", 2))) == New("a", 2, (5,))


def test_field_added_to_a_nested_record_is_left_out_by_older_releases() -> None:
    body = cbor2.loads(CODEC.encode(SubscribeReply(InstanceId("db-1"), True, STATUS)))
    body[3].append("a field of a newer release")
    assert CODEC.decode(cbor2.dumps(body)).status == STATUS


def test_unknown_tag_has_its_own_error() -> None:
    with pytest.raises(UnknownTagError):
        CODEC.decode(cbor2.dumps([99_999]))


@pytest.mark.parametrize(
    "body",
    [{}, [], ["a"], [105, "db-1", "no position"], [105, 7], [107, "db-1", True, [1, 2]], [True]],
)
def test_wrong_fields_are_a_decode_error(body: Any) -> None:
    with pytest.raises(DecodeError):
        CODEC.decode(cbor2.dumps(body))


def test_dataclass_that_cannot_be_encoded_is_refused_at_the_start() -> None:
    class Holder(NamedTuple):
        record: Old

    @dataclasses.dataclass
    class Wrong:
        holder: Holder

    Wrong.__annotations__["holder"] = Holder
    Holder.__annotations__["record"] = Old
    with pytest.raises(TypeError):
        record_shape(Wrong)


class OldTuple(NamedTuple):
    """A message as an older release defines it, as a named tuple."""

    name: str
    count: int = 1


class NewTuple(NamedTuple):
    """The same message with one more field."""

    name: str
    count: int = 1
    extra: tuple[int, ...] = (5,)


def test_a_named_tuple_as_a_message_may_gain_fields() -> None:
    older, newer = Codec({1: OldTuple}), Codec({1: NewTuple})
    assert older.decode(newer.encode(NewTuple("a", 2, (3,)))) == OldTuple("a", 2)
    assert newer.decode(older.encode(OldTuple("a", 2))) == NewTuple("a", 2, (5,))


def test_a_named_tuple_with_wrong_fields_is_refused() -> None:
    codec = Codec({1: OldTuple})
    for body in ([1], [1, 5], [1, "a", "b"]):
        with pytest.raises(DecodeError):
            codec.decode(cbor2.dumps(body))


def test_a_forwarded_statement_and_its_answer_arrive_as_they_were_sent() -> None:
    route = Route("r", "db", GroupId("g"), Consistency.SESSION, 0.8, 1.0, 2.5, 2)
    prepared = PreparedStatement("shape", True)
    statement = Statement(Action.EXECUTE, "s1", "thing data")
    forwarded = ForwardedStatement(
        route, "id", statement, prepared, {"zone": "a"}, Position(3, 9), 0.25, 0.7, 12, True
    )
    refusal = Refusal(Verdict.UNKNOWN, Reason.DEADLINE, "late")
    reply = ForwardedReply(Reply(("row",), "sig", refusal, TransactionState.FAILED, Position(3, 9)))
    loads = (DatabaseLoad(InstanceId("db-a"), 0.25, 0.03, 0.1, usable=False),)
    for message in (forwarded, reply, reply._replace(loads=loads)):
        arrived = CODEC.decode(CODEC.encode(message))
        assert arrived == message
        assert type(arrived) is type(message)
