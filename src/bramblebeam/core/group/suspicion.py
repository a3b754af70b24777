"""Whether the primary is to be replaced, by what one watcher has observed."""

from dataclasses import dataclass

from bramblebeam.core.group.events import Cause
from bramblebeam.core.group.observation import MemberObservation, Observations
from bramblebeam.core.role import Role


@dataclass(frozen=True, slots=True)
class Assessment:
    """`cause`: why the primary is to be replaced, or None. `sign`: whether to look closer."""

    cause: Cause | None
    needs_alert: bool


def assess(view: Observations, reached_by_others: bool, now: float) -> Assessment:
    """Judge the group. `reached_by_others`: another watcher lately said it reaches the primary."""
    primary = view.primary_observation()
    fresh = view.fresh_members(now)
    if primary_works(view, now):
        return Assessment(None, _some_sign(view, fresh))
    sign = primary is None or primary.failing_since is not None or _some_sign(view, fresh)
    if len(fresh) < view.majority:
        return Assessment(None, sign)
    if primary is None:
        return Assessment(_without_primary(view, fresh), True)
    return Assessment(_lost(view, primary, fresh, reached_by_others, now), sign)


def primary_works(view: Observations, now: float) -> bool:
    """Whether the primary itself says, freshly, that a majority answers it."""
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


def _some_sign(view: Observations, fresh: list[MemberObservation]) -> bool:
    return any(member.seconds_without_contact() >= view.timing.contact_warning for member in fresh)


def _silent(view: Observations, member: MemberObservation, bound: float) -> bool:
    """Whether a member has not heard the primary of the present term for `bound` seconds."""
    return (
        member.status_queried_at >= view.term_learned_at
        and member.seconds_without_contact() >= bound
    )


def _without_primary(view: Observations, fresh: list[MemberObservation]) -> Cause | None:
    bound = view.timing.contact_bound
    silent = [member for member in fresh if _silent(view, member, bound)]
    return Cause.NO_PRIMARY if len(silent) >= view.majority else None


def _lost(
    view: Observations,
    primary: MemberObservation,
    fresh: list[MemberObservation],
    reached_by_others: bool,
    now: float,
) -> Cause | None:
    timing = view.timing
    bound = timing.refused_bound if primary.refused else timing.contact_bound
    silent = [member for member in fresh if _silent(view, member, bound)]
    hearing = [
        member
        for member in fresh
        if member is not primary and member.seconds_without_contact() < timing.contact_warning
    ]
    evidence = len(silent)
    if not hearing and primary.unreachable_for(now) >= bound:
        evidence += len([m for m in view.members.values() if m.unreachable_for(now) >= bound])
    if silent and evidence >= view.majority:
        return Cause.PRIMARY_REFUSED if primary.refused else Cause.CONTACT_LOST
    if primary.unreachable_for(now) >= timing.unreachable_bound and not reached_by_others:
        return Cause.UNREACHABLE
    return None
