"""Conditions for a planned change of primary."""

from bramblebeam.core.group.observation import MILLISECONDS, MemberObservation, Observations
from bramblebeam.core.group.suspicion import primary_works
from bramblebeam.core.identity import InstanceId


def refusal_reason(view: Observations, target: InstanceId, now: float) -> str:
    """Return why a planned change to `target` cannot begin now, or an empty string if it can."""
    member = view.members.get(target)
    if member is None:
        return f"{target} is no member of the group"
    if target == view.primary:
        return f"{target} is the primary"
    if not primary_works(view, now):
        return "the primary does not work; the change is left to the detection"
    if len(view.fresh_members(now)) < view.majority:
        return "no majority of the members is reachable"
    return _member_refusal_reason(view, member, now)


def _member_refusal_reason(view: Observations, member: MemberObservation, now: float) -> str:
    name = member.spec.instance
    status = member.status
    if status is None or not member.is_fresh(now, view.timing.max_status_age):
        return f"{name} is not reachable"
    if status.leaving:
        return f"{name} is leaving"
    if status.term != view.term:
        return f"{name} does not follow the primary"
    if status.lag_ms > view.timing.maximum_target_lag * MILLISECONDS:
        return f"{name} lags {status.lag_ms} ms behind"
    return ""


def has_caught_up(primary: MemberObservation, target: MemberObservation, since: float) -> bool:
    """Whether the target has all entries of the primary, both queried at or after `since`.

    The primary must have committed its last entry, so that no write loses its reply.
    """
    if primary.status is None or target.status is None:
        return False
    if primary.status_queried_at < since or target.status_queried_at < since:
        return False
    committed = primary.status.applied == primary.status.last
    return committed and target.status.last >= primary.status.last
