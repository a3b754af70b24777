"""The immutable view of the cluster's members for other services."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import IntEnum

from bramblebeam.core.identity import NodeId, NodeSpec, ZoneId


class MemberState(IntEnum):
    """A member's state; at equal incarnation the higher value takes precedence."""

    ALIVE = 1
    SUSPECT = 2
    LEAVING = 3
    """In a planned stop: it acquires no further ownership and hands over its current one."""
    DEAD = 4


@dataclass(frozen=True, slots=True)
class Member:
    """A member. `incarnation` increases with each restart and each refutation."""

    spec: NodeSpec
    incarnation: int
    state: MemberState


@dataclass(frozen=True, slots=True)
class MembersView:
    """All known members.

    `owners`: by zone, the nodes that are eligible as owners, sorted. `unreachable`: zones that the
    local zone's relays cannot currently reach; their members are shown as last known.
    """

    members: Mapping[NodeId, Member] = field(default_factory=dict)
    owners: Mapping[ZoneId, tuple[NodeId, ...]] = field(default_factory=dict)
    unreachable: frozenset[ZoneId] = frozenset()


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Published by the membership service each time the view changes."""

    view: MembersView
