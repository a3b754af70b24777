"""What a node knows about the other nodes that may use a group's leader."""

import asyncio

import pytest

from bramblebeam.core.gateway.owners import NodeLocation
from bramblebeam.core.gateway.routes import GroupSettings, RouteTable
from bramblebeam.core.identity import Address, GroupId, NodeId, NodeSpec, ZoneId
from bramblebeam.core.membership.view import Member, MemberState, MembersView
from bramblebeam.platform.database_connection import LineDatabaseConnector
from bramblebeam.services.gateway import context as context_module
from bramblebeam.services.gateway.context import (
    MAX_LEADER_USERS,
    MEMBERSHIP_SETTLE_SECONDS,
    GatewayContext,
)
from bramblebeam.services.gateway.forwarding import Peers

GROUP = GroupId("deliveries")
ADDRESS = Address("127.0.0.1", 1)
SOON, LATER = MEMBERSHIP_SETTLE_SECONDS / 2, MEMBERSHIP_SETTLE_SECONDS + 1.0


def view(nodes: int, lost: int = 0) -> MembersView:
    """Return a view of nodes in one zone, the last `lost` of which are dead."""
    members = {}
    for number in range(nodes):
        spec = NodeSpec(NodeId(f"n{number}"), ZoneId("a"), "home", ADDRESS, ADDRESS, ADDRESS)
        state = MemberState.ALIVE if number < nodes - lost else MemberState.DEAD
        members[spec.node] = Member(spec, 1, state)
    alive = tuple(node for node, found in members.items() if found.state is MemberState.ALIVE)
    return MembersView(members, {ZoneId("a"): alive})


@pytest.mark.parametrize(
    ("members", "expects_others", "queried_after", "queried", "is_complete"),
    [
        pytest.param(view(9), True, LATER, 8, True, id="few nodes"),
        pytest.param(view(9), True, SOON, 8, False, id="few nodes, just met"),
        pytest.param(view(9, lost=3), True, LATER, 8, True, id="lost ones are queried as well"),
        pytest.param(view(1), False, LATER, 0, True, id="one node alone"),
        pytest.param(view(1), True, LATER, 0, False, id="a node that has met none"),
        pytest.param(
            view(MAX_LEADER_USERS + 1), True, LATER, MAX_LEADER_USERS, True, id="at the bound"
        ),
        pytest.param(view(71), True, LATER, MAX_LEADER_USERS, False, id="more than are queried"),
    ],
)
async def test_the_list_of_leader_users_is_complete_only_if_all_nodes_are_known_and_queried(
    members: MembersView,
    expects_others: bool,
    queried_after: float,
    queried: int,
    is_complete: bool,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With more nodes than are queried, the list must be reported as incomplete.

    Otherwise a change of primary does not wait for leases once 32 of 71 nodes have given the former
    leader up, and another node writes to it (ONE 3).
    """
    clock = asyncio.get_running_loop().time()
    monkeypatch.setattr(GatewayContext, "now", staticmethod(lambda: clock))
    place = NodeLocation(NodeId("n0"), ZoneId("a"), "home")
    context = GatewayContext(
        place, LineDatabaseConnector(), NoPeers(), lambda found: None, asyncio.ensure_future
    )
    context.expects_others = expects_others
    context.configure(RouteTable(1, {}, {GROUP: GroupSettings(GROUP, 53)}))
    context.update_members(members)
    clock += queried_after
    nodes, are_all_nodes = context.leader_users(GROUP)
    assert (len(nodes), are_all_nodes) == (queried, is_complete)


class NoPeers(Peers):
    """Sends nothing."""


async def test_a_node_serves_alone_after_the_members_timeout(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The timeout counts from the node's start, not from its first statement."""
    monkeypatch.setattr(context_module, "MEMBERS_TIMEOUT", 0.0)
    place = NodeLocation(NodeId("n0"), ZoneId("a"), "home")
    context = GatewayContext(
        place, LineDatabaseConnector(), NoPeers(), lambda found: None, asyncio.ensure_future
    )
    context.expects_others = True
    context.update_members(view(1))
    context.resume()
    far_too_long = context.now() + 60.0
    await context.wait_for_members(far_too_long)
    assert context.now() < far_too_long
