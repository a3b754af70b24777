"""Floors of named sessions: the writes that the owner of a primary has tracked."""

import itertools
from random import Random

import pytest

from bramblebeam.core.identity import ZERO_POSITION, GroupId, InstanceId, Position, ServiceId
from bramblebeam.core.pool.positions import SessionPositions
from bramblebeam.core.statement import ExecuteReply, ExecuteRequest, RequestId, StatementKind
from bramblebeam.core.verdict import Reason, Refusal, Verdict

_sequence = itertools.count()


def write(
    positions: SessionPositions,
    name: str | None,
    position: Position = ZERO_POSITION,
    kind: StatementKind = StatementKind.WRITE,
    verdict: Verdict | None = None,
    in_transaction: bool = False,
) -> None:
    request = ExecuteRequest(
        RequestId("s", next(_sequence)),
        InstanceId("a"),
        ServiceId("tracking"),
        kind,
        "UPDATE entries",
        GroupId("g"),
        session_name=name,
    )
    refusal = None if verdict is None else Refusal(verdict, Reason.CONNECTION_LOST)
    reply = ExecuteReply(request.request, refusal, position=position, in_transaction=in_transaction)
    positions.record(request, reply)


def floor_of(
    positions: SessionPositions, name: str, confirmed: Position, complete: bool = True
) -> Position:
    return positions.floors((name,), confirmed, positions.mark(), complete)[0]


def test_floor_covers_only_the_session_s_own_writes() -> None:
    positions = SessionPositions()
    assert floor_of(positions, "rider", Position(3, 10)) == Position(3, 10)
    write(positions, "rider", Position(3, 14))
    write(positions, "dispatcher", Position(3, 19))
    assert floor_of(positions, "rider", Position(3, 20)) == Position(3, 14)
    assert floor_of(positions, "dispatcher", Position(3, 20)) == Position(3, 19)
    assert floor_of(positions, "customer", Position(3, 20)) == Position(3, 10)


def test_floor_covers_writes_of_former_owners_and_terms() -> None:
    positions = SessionPositions()
    assert floor_of(positions, "rider", Position(3, 10), complete=False) == Position(3, 10)
    assert floor_of(positions, "rider", Position(3, 12), complete=False) == Position(3, 12)
    assert floor_of(positions, "rider", Position(3, 15)) == Position(3, 15)
    assert floor_of(positions, "rider", Position(4, 30)) == Position(4, 30)
    assert floor_of(positions, "rider", Position(4, 40)) == Position(4, 30)


@pytest.mark.parametrize("verdict", [Verdict.UNKNOWN, Verdict.RAN])
def test_write_at_an_unknown_position_is_covered_by_a_later_round(verdict: Verdict) -> None:
    positions = SessionPositions()
    floor_of(positions, "rider", Position(1, 1))
    mark = positions.mark()
    write(positions, "rider", verdict=verdict)
    assert positions.floors(("rider",), Position(1, 5), mark, True) == (Position(1, 5),)
    assert floor_of(positions, "rider", Position(1, 8)) == Position(1, 8)
    assert floor_of(positions, "rider", Position(1, 9)) == Position(1, 8)


def test_failed_or_uncommitted_writes_raise_no_floor() -> None:
    positions = SessionPositions()
    floor_of(positions, "rider", Position(1, 1))
    write(positions, "rider", verdict=Verdict.NOT_RUN)
    write(positions, "rider", in_transaction=True)
    write(positions, "rider", kind=StatementKind.BEGIN, in_transaction=True)
    write(positions, "rider", kind=StatementKind.ROLLBACK)
    assert floor_of(positions, "rider", Position(1, 9)) == Position(1, 1)


def test_write_without_a_session_may_belong_to_any() -> None:
    positions = SessionPositions()
    floor_of(positions, "rider", Position(1, 1))
    write(positions, None, Position(1, 6))
    assert floor_of(positions, "rider", Position(1, 9)) == Position(1, 6)
    mark = positions.mark()
    write(positions, None)
    assert positions.floors(("rider",), Position(1, 10), mark, True) == (Position(1, 10),)
    assert floor_of(positions, "rider", Position(1, 12)) == Position(1, 12)


def test_write_of_an_unnamed_session_raises_no_floor() -> None:
    positions = SessionPositions()
    floor_of(positions, "rider", Position(1, 1))
    write(positions, "", Position(1, 6))
    assert floor_of(positions, "rider", Position(1, 9)) == Position(1, 1)


@pytest.mark.parametrize("seed", range(30))
def test_no_floor_is_below_an_acknowledged_write(seed: int) -> None:
    """Random writes and overlapping rounds, with a capacity far below the number of sessions."""
    random = Random(seed)
    positions = SessionPositions(capacity=3)
    term, offset = 1, 0
    acknowledged: dict[str, Position] = {}
    names = [f"s{number}" for number in range(8)]
    rounds: list[tuple[int, Position, dict[str, Position]]] = []
    for _ in range(600):
        step = random.random()
        if step < 0.5:
            offset += 1
            name = random.choice(names)
            known = random.random() < 0.8
            sender = None if random.random() < 0.1 else name
            verdict = None if known else Verdict.RAN
            write(
                positions,
                sender,
                Position(term, offset) if known else ZERO_POSITION,
                verdict=verdict,
            )
            acknowledged[name] = Position(term, offset)
        elif step < 0.7:
            rounds.append((positions.mark(), Position(term, offset), dict(acknowledged)))
        elif step < 0.98 and rounds:
            mark, confirmed, needed = rounds.pop(random.randrange(len(rounds)))
            if confirmed.term == term:
                floors = positions.floors(names, confirmed, mark, random.random() < 0.9)
                for name, floor in zip(names, floors, strict=True):
                    assert floor >= needed.get(name, ZERO_POSITION)
        elif step >= 0.98:
            term, offset = term + 1, offset + 1
            rounds.clear()
