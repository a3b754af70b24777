"""When a working primary moves, and which node moves it."""

from dataclasses import replace

from bramblebeam.core.configuration.rows import WeightSpec
from bramblebeam.core.configuration.view import ConfigurationView
from bramblebeam.core.group.messages import MemberStatus
from bramblebeam.core.group.observation import Observations
from bramblebeam.core.group.relocation import Relocation, RelocationContext, relocation_target
from bramblebeam.core.group.timing import GroupTiming
from bramblebeam.core.identity import (
    Address,
    GroupId,
    InstanceId,
    InstanceSpec,
    NodeId,
    NodeSpec,
    Position,
    ZoneId,
)
from bramblebeam.core.membership.view import Member, MemberState, MembersView
from bramblebeam.core.role import Role

ZONES = ("a", "b", "c")
ADDRESS = Address("127.0.0.1", 1)


def observed(leaving: str = "", behind: str = "") -> Observations:
    specs = [
        InstanceSpec(InstanceId(f"db-{zone}"), GroupId("g"), ZoneId(zone), ADDRESS)
        for zone in ZONES
    ]
    view = Observations(specs, GroupTiming())
    for zone in ZONES:
        name = f"db-{zone}"
        status = MemberStatus(
            instance=InstanceId(name),
            term=3,
            role=Role.PRIMARY if zone == "a" else Role.REPLICA,
            last=Position(3, 8 if name == behind else 9),
            applied=Position(3, 8),
            lag_ms=0,
            primary_contact_ms=0,
            primary="db-a",
            promised_term=3,
            leaving=name == leaving,
        )
        view.record_status(status, 1.0, 1.0)
    return view


def context(
    node: str = "n-b", unreachable: tuple[str, ...] = (), drained: str = ""
) -> RelocationContext:
    members = {}
    for zone in ZONES:
        spec = NodeSpec(NodeId(f"n-{zone}"), ZoneId(zone), "r", ADDRESS, ADDRESS, ADDRESS)
        members[spec.node] = Member(spec, 1, MemberState.ALIVE)
    owners = {ZoneId(zone): (NodeId(f"n-{zone}"),) for zone in ZONES}
    cut = frozenset(ZoneId(zone) for zone in unreachable)
    weights = {}
    if drained:
        instance = InstanceId(drained)
        weights[instance] = WeightSpec(instance=instance, drain=True)
    configuration = ConfigurationView(weights=weights)
    return RelocationContext(NodeId(node), MembersView(members, owners, cut), configuration)


def test_a_working_primary_stays() -> None:
    assert relocation_target(observed(), context()) is None


def test_a_leaving_or_drained_primary_moves_to_the_most_advanced_member() -> None:
    assert relocation_target(observed(leaving="db-a", behind="db-c"), context()) == "db-b"
    assert relocation_target(observed(behind="db-b"), context(drained="db-a")) == "db-c"


def test_a_primary_in_a_zone_without_nodes_moves() -> None:
    assert relocation_target(observed(behind="db-c"), context(unreachable=("a",))) == "db-b"
    without = context()
    owners = {zone: nodes for zone, nodes in without.members.owners.items() if zone != "a"}
    gone = replace(without, members=replace(without.members, owners=owners))
    assert relocation_target(observed(behind="db-c"), gone) == "db-b"


def test_a_leaving_member_is_not_chosen() -> None:
    view = observed(leaving="db-b")
    assert relocation_target(view, context(unreachable=("a",))) == "db-c"


def test_a_node_that_is_cut_off_itself_moves_nothing() -> None:
    assert relocation_target(observed(), context("n-b", unreachable=("a", "c"))) is None


def without_nodes(zone: str) -> RelocationContext:
    found = context()
    owners = {name: nodes for name, nodes in found.members.owners.items() if name != zone}
    return replace(found, members=replace(found.members, owners=owners))


def test_only_a_zone_without_nodes_gets_a_grace_period() -> None:
    relocation = Relocation()
    unserved = without_nodes("a")
    assert relocation.target(observed(behind="db-c"), unserved, 10.0) is None
    assert relocation.target(observed(behind="db-c"), unserved, 12.9) is None
    assert relocation.target(observed(behind="db-c"), unserved, 13.0) == "db-b"
    assert relocation.target(observed(behind="db-c"), unserved, 14.0) is None
    assert relocation.target(observed(behind="db-c"), unserved, 15.0) == "db-b"
    assert Relocation().target(observed(leaving="db-a", behind="db-c"), context(), 1.0) == "db-b"


def test_an_unreachable_zone_gets_no_grace_period() -> None:
    cut = context(unreachable=("a",))
    assert Relocation().target(observed(behind="db-c"), cut, 1.0) == "db-b"


def test_the_grace_period_restarts_after_the_zone_had_a_node() -> None:
    relocation = Relocation()
    assert relocation.target(observed(behind="db-c"), without_nodes("a"), 10.0) is None
    assert relocation.target(observed(behind="db-c"), context(), 12.0) is None
    assert relocation.target(observed(behind="db-c"), without_nodes("a"), 13.5) is None


def test_the_first_reachable_watcher_is_responsible() -> None:
    watchers = (NodeId("n-a"), NodeId("n-b"), NodeId("n-c"))
    assert not context("n-b").is_first_reachable(watchers)
    assert context("n-b", unreachable=("a",)).is_first_reachable(watchers)
    assert not context("n-c", unreachable=("a",)).is_first_reachable(watchers)
    assert not context("n-x").is_first_reachable(watchers)
