"""Timing of failure detection and of changes of primary. All values are in seconds."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GroupTiming:
    """Intervals and time limits of a watcher.

    `first_interval`, `other_interval`: time between two status queries of the first watcher and of
    the others in normal operation; they query the primary and another member by turns.
    `alert_interval`: time between two rounds of queries to all members while on alert;
    `long_alert_interval`: the same after `long_alert_after` on alert. `contact_warning`: time
    without contact that puts the watcher on alert. `contact_bound`: time without contact to the
    primary after which a member counts as evidence. `refused_bound`: the same if no process listens
    at the primary's address. `unreachable_bound`: how long this watcher must fail to reach a
    primary that replicas have contact with. `reachability_after`: when the other watchers are
    queried about it; `reachability_valid`: how long their reply is valid. `rank_wait`: added for
    each watcher ahead of this one. `max_status_age`: greatest age of a status that is still used.
    `other_change_timeout`: how long to wait for a change by another controller.
    `own_pause_threshold`: a wakeup later than this means that the watcher itself was paused.
    `promise_grace`: how long to wait for the other replies once a majority has promised;
    `lost_primary_grace`: the same if the lost primary is needed for that majority.
    `blocked_member_after`: how long a member may be blocked by a promise before a new term starts.
    """

    first_interval: float = 0.2
    other_interval: float = 1.0
    alert_interval: float = 0.05
    long_alert_interval: float = 0.5
    long_alert_after: float = 10.0
    query_timeout: float = 0.4
    contact_warning: float = 0.15
    contact_bound: float = 0.8
    refused_bound: float = 0.2
    unreachable_bound: float = 1.0
    rank_wait: float = 0.15
    jitter: float = 0.04
    max_status_age: float = 0.5
    other_change_timeout: float = 0.5
    own_pause_threshold: float = 0.25
    promise_timeout: float = 0.5
    promise_grace: float = 0.03
    lost_primary_grace: float = 0.25
    promote_timeout: float = 0.6
    follow_timeout: float = 1.0
    follow_interval: float = 0.5
    retry_wait: float = 0.2
    blocked_member_after: float = 2.0
    reachability_after: float = 0.3
    reachability_interval: float = 0.2
    reachability_valid: float = 0.7
    catch_up_timeout: float = 0.5
    write_pause: float = 1.5
    maximum_target_lag: float = 1.0
