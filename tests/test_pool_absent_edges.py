"""Detection of absent edges, whose sessions' transactions are rolled back."""

from bramblebeam.core.identity import Address, NodeId, NodeSpec, ZoneId
from bramblebeam.core.membership.view import Member, MemberState, MembersView
from bramblebeam.services.pool.absent_edges import AbsentEdges, node_of

ADDRESS = Address("127.0.0.1", 1)


def edges(state: MemberState, unreachable: frozenset[ZoneId] = frozenset()) -> AbsentEdges:
    members = {}
    for name in ("own", "n1"):
        spec = NodeSpec(NodeId(name), ZoneId("z"), "r", ADDRESS, ADDRESS, ADDRESS)
        members[spec.node] = Member(spec, 1, state)
    found = AbsentEdges(NodeId("own"))
    found.set_members(MembersView(members, {}, unreachable))
    return found


def test_session_name_contains_its_node() -> None:
    assert node_of("rack/7/0f3c/12") == "rack/7"


def test_sessions_of_dead_nodes_are_absent() -> None:
    assert edges(MemberState.DEAD).is_absent("n1/a/1", 0.0)
    assert not edges(MemberState.SUSPECT).is_absent("n1/a/1", 9.0)
    assert not edges(MemberState.LEAVING).is_absent("n1/a/1", 9.0)
    assert not edges(MemberState.DEAD).is_absent("own/a/1", 9.0)
    assert not edges(MemberState.DEAD).is_absent("unknown/a/1", 9.0)


def test_sessions_in_an_unreachable_zone_are_absent() -> None:
    assert edges(MemberState.ALIVE, frozenset({ZoneId("z")})).is_absent("n1/a/1", 0.0)


def test_idle_sessions_of_an_earlier_start_are_absent() -> None:
    found = edges(MemberState.ALIVE)
    found.record_request("n1/a/1")
    assert not found.is_absent("n1/a/1", 9.0)
    found.record_request("n1/b/1")
    assert found.is_absent("n1/a/1", 9.0)
    assert not found.is_absent("n1/a/1", 1.0)
    assert not found.is_absent("n1/b/1", 9.0)
