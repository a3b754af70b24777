"""Periods and limits of the membership protocol, in seconds unless stated otherwise."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """Parameters of the membership protocol, fixed at start and equal on all nodes."""

    probe_period: float = 0.5
    """One member of the local zone is probed each period."""
    probe_timeout: float = 0.15
    """Without a reply after this time, other members are asked to probe."""
    indirect_probes: int = 3
    minimum_suspicion: float = 1.5
    suspicion_periods_a_doubling: float = 0.5
    """Suspicion lasts this many periods for each doubling of the zone's size."""
    gossip_period: float = 0.25
    gossip_fanout: int = 2
    transmissions_a_doubling: float = 1.3
    least_transmissions: int = 3
    """How often a node sends a record: at least, and more for each doubling of the zone's size."""
    urgent_transmissions_a_doubling: float = 3.0
    """As above, for refutations, which race against a timeout, and for links between zones."""
    digest_period: float = 10.0
    """The table is compared with a random member of the local zone each period."""
    settle_seconds: float = 3.0
    """Differing tables are synchronized only if both have been unchanged for this long."""
    fast_sync_seconds: float = 0.0
    """For this long after its start, or after a dead member has come back, a node compares tables
    more often and exchanges differences even if updates may be in flight. When all nodes start at
    once or a partition heals, gossip alone takes several times as long to converge."""
    fast_digest_period: float = 0.25
    fast_link_period: float = 0.3
    """Replace `digest_period` and `link_period` during fast synchronization."""
    link_period: float = 2.0
    """A zone's contact compares its table with that of a member of the other zone each period."""
    link_failures: int = 3
    """Number of unanswered comparisons after which a zone counts as unreachable."""
    relays: int = 3
    join_period: float = 1.0
    seed_period: float = 30.0
    """A joined node contacts a seed that it does not know as present once each period."""
    dead_probe_period: float = 10.0
    forget_after: float = 900.0
    publish_delay: float = 0.05
    """Changes of the view are batched for this long before it is published."""
    pause_bound: float = 1.0
    """A wakeup that is late by more than this means that the node itself was paused."""

    def suspicion(self, zone_size: int) -> float:
        """Return how long a member stays suspected before it is declared dead."""
        periods = self.suspicion_periods_a_doubling * math.log2(zone_size + 1)
        return max(self.minimum_suspicion, periods * self.probe_period)

    def transmissions(self, zone_size: int) -> int:
        """Return how many times a node sends a record."""
        doublings = math.log2(zone_size + 2)
        return self.least_transmissions + math.ceil(self.transmissions_a_doubling * doublings)

    def urgent_transmissions(self, zone_size: int) -> int:
        """Return how many times a node sends a refutation or the state of a link."""
        return math.ceil(self.urgent_transmissions_a_doubling * math.log2(zone_size + 2))
