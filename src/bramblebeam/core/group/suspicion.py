"""Decides from one watcher's observations whether the primary must be replaced."""

from dataclasses import dataclass

from bramblebeam.core.group.events import Cause
from bramblebeam.core.group.observation import MemberObservation, Observations
from bramblebeam.core.role import Role


@dataclass(frozen=True, slots=True)
class Assessment:
    """`cause`: why the primary must be replaced, or None. `needs_alert`: query more often."""

    cause: Cause | None
    needs_alert: bool


def assess(view: Observations, reached_by_others: bool, now: float) -> Assessment:
    """Assess the group. `reached_by_others`: another watcher recently reached the primary."""
    primary = view.primary_observation()
    fresh = view.fresh_members(now)
    if primary_works(view, now):
        return Assessment(None, _any_contact_warning(view, fresh))
    needs_alert = (
        primary is None or primary.failing_since is not None or _any_contact_warning(view, fresh)
    )
    if len(fresh) < view.majority:
        return Assessment(None, needs_alert)
    if primary is None:
        return Assessment(_cause_without_primary(view, fresh), True)
    return Assessment(
        _cause_with_primary(view, primary, fresh, reached_by_others, now), needs_alert
    )


def primary_works(view: Observations, now: float) -> bool:
    """Whether the primary recently reported that a majority of the members responds to it."""
    primary = view.primary_observation()
    if primary is None or primary.status is None or primary.failing_since is not None:
        return False
    status = primary.status
    return (
        primary.is_fresh(now, view.timing.max_status_age)
        and status.role is Role.PRIMARY
        and status.term == view.term
        and primary.seconds_without_contact() < view.timing.contact_warning
    )


def _any_contact_warning(view: Observations, fresh: list[MemberObservation]) -> bool:
    return any(member.seconds_without_contact() >= view.timing.contact_warning for member in fresh)


def _has_no_contact(view: Observations, member: MemberObservation, bound: float) -> bool:
    """Whether a member has had no contact with the current term's primary for `bound` seconds."""
    return (
        member.status_queried_at >= view.term_learned_at
        and member.seconds_without_contact() >= bound
    )


def _cause_without_primary(view: Observations, fresh: list[MemberObservation]) -> Cause | None:
    bound = view.timing.contact_bound
    without_contact = [member for member in fresh if _has_no_contact(view, member, bound)]
    return Cause.NO_PRIMARY if len(without_contact) >= view.majority else None


def _cause_with_primary(
    view: Observations,
    primary: MemberObservation,
    fresh: list[MemberObservation],
    reached_by_others: bool,
    now: float,
) -> Cause | None:
    timing = view.timing
    bound = timing.refused_bound if primary.refused else timing.contact_bound
    without_contact = [member for member in fresh if _has_no_contact(view, member, bound)]
    with_contact = [
        member
        for member in fresh
        if member is not primary and member.seconds_without_contact() < timing.contact_warning
    ]
    evidence = len(without_contact)
    if not with_contact and primary.unreachable_for(now) >= bound:
        evidence += len([m for m in view.members.values() if m.unreachable_for(now) >= bound])
    if without_contact and evidence >= view.majority:
        return Cause.PRIMARY_REFUSED if primary.refused else Cause.CONTACT_LOST
    if primary.unreachable_for(now) >= timing.unreachable_bound and not reached_by_others:
        return Cause.UNREACHABLE
    return None
