"""Logs the differences between two views of the members."""

import logging

from bramblebeam.core.membership.view import Member, MemberState, MembersView
from bramblebeam.events import log_event
from bramblebeam.events.catalogue import (
    MEMBER_DEAD,
    MEMBER_JOINED,
    MEMBER_LEAVING,
    MEMBER_SUSPECTED,
    ZONE_REACHABLE,
    ZONE_UNREACHABLE,
    Event,
)

logger = logging.getLogger(__name__)

_EVENTS: dict[MemberState, Event] = {
    MemberState.ALIVE: MEMBER_JOINED,
    MemberState.SUSPECT: MEMBER_SUSPECTED,
    MemberState.LEAVING: MEMBER_LEAVING,
    MemberState.DEAD: MEMBER_DEAD,
}


def log_changes(old: MembersView, new: MembersView) -> None:
    """Log each member whose state changed, and each zone that became unreachable or reachable."""
    for node, member in new.members.items():
        previous = old.members.get(node)
        if previous is not member:
            _log_member(previous, member)
    for zone in sorted(new.unreachable - old.unreachable):
        log_event(logger, ZONE_UNREACHABLE, zone=zone)
    for zone in sorted(old.unreachable - new.unreachable):
        log_event(logger, ZONE_REACHABLE, zone=zone)


def _log_member(previous: Member | None, member: Member) -> None:
    if previous is not None and previous.state is member.state:
        return
    spec = member.spec
    event = _EVENTS[member.state]
    log_event(logger, event, node=spec.node, zone=spec.zone, incarnation=member.incarnation)
