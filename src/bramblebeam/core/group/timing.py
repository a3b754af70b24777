"""The times of detection and change. All in seconds."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GroupTiming:
    """How fast a watcher looks and how long it waits.

    `first_interval`, `other_interval`: time between two status queries of the first watcher and of
    the others while all is well; they go to the primary and another member by turns.
    `alert_interval`: time between two rounds to all members once there is a sign of trouble;
    `idle_alert_interval`: the same after `idle_alert_after` without success. `sign`: time without
    contact that is a sign. `contact_bound`: time without contact to the primary after which a
    member counts as evidence. `refused_bound`: the same when no process listens at the primary's
    address.
    `unreachable_bound`: how long this watcher must fail to reach a primary that replicas hear.
    `reachability_after`: when the other watchers are asked about it; `reachability_valid`: how long
    their answer counts. `rank_wait`: added for each watcher ahead of this one. `fresh`: how old a
    status may be. `patience`: how long another controller's change is waited for. `own_pause`: a
    wakeup later than this means that the watcher itself was paused. `promise_grace`: how long the
    other answers are waited for when a majority has promised; `lost_primary_grace`: the same when
    the lost primary is needed for that majority.
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
