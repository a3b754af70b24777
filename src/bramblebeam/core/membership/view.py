"""The immutable view of the members that other services read."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from bramblebeam.core.identity import NodeId, NodeSpec, ZoneId


class MemberState(IntEnum):
    """A member's state, in the order of severity at equal incarnation."""

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    """It stops as planned: it gets no new ownership, and hands over what it has."""
    DEAD = 4


@dataclass(frozen=True, slots=True)
class Member:
    """One member. `incarnation` grows at each restart and at each refutation."""

    spec: NodeSpec
    incarnation: int
    state: MemberState


@dataclass(frozen=True, slots=True)
class MembersView:
    """All members known. `owners` names, by zone, the nodes that may own something (sorted).

    `unreachable`: zones that this zone's relays cannot reach now; their members are as last known.
    """

    members: Mapping[NodeId, Member] = field(default_factory=dict)
    owners: Mapping[ZoneId, tuple[NodeId, ...]] = field(default_factory=dict)
    unreachable: frozenset[ZoneId] = frozenset()


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Published by the membership service each time the view changes."""

    view: MembersView
