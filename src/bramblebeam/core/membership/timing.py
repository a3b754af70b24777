"""Periods and bounds of the membership protocol, all in seconds unless said otherwise."""

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class MembershipTiming:
    """Fixed at start and equal at all nodes."""

    probe_period: float = 0.5
    """One member of the own zone is probed each period."""
    probe_timeout: float = 0.15
    """Without an answer by then, other members are asked to probe."""
    indirect_probes: int = 3
    minimum_suspicion: float = 1.5
    suspicion_periods_a_doubling: float = 0.5
    """Suspicion lasts this many periods for each doubling of the zone's size."""
    gossip_period: float = 0.25
    gossip_fanout: int = 2
    transmissions_a_doubling: float = 1.3
    least_transmissions: int = 3
    """How often a node passes one record on: at least, and more for each doubling of the zone."""
    urgent_transmissions_a_doubling: float = 3.0
    """The same for refutations, which race with a time-out, and for links between zones."""
    digest_period: float = 10.0
    """One random member of the own zone is compared with each period."""
    settle_seconds: float = 3.0
    """Tables that differ are synchronized only where both have been quiet for so long."""
    fast_sync_seconds: float = 0.0
    """For so long after its start, and after a member that was lost is back, a node compares tables
    more often, and exchanges what differs although news may still be on their way: where all nodes
    start at once, or a cut has healed, gossip alone takes several times as long."""
    fast_digest_period: float = 0.25
    fast_link_period: float = 0.3
    """`digest_period` and `link_period` meanwhile."""
    link_period: float = 2.0
    """A zone's contact compares its table with the other zone's once each period."""
    link_failures: int = 3
    """Unanswered comparisons after which a zone counts as unreachable."""
    relays: int = 3
    join_period: float = 1.0
    seed_period: float = 30.0
    """A joined node tries a seed that it does not know as alive once each period."""
    dead_probe_period: float = 10.0
    forget_after: float = 900.0
    publish_delay: float = 0.05
    """Changes of the view are gathered for so long before it is published."""
    pause_bound: float = 1.0
    """A wakeup later than this means that the node itself was paused."""

    def suspicion(self, zone_size: int) -> float:
        """Return how long a member stays suspected before it counts as dead."""
        periods = self.suspicion_periods_a_doubling * math.log2(zone_size + 1)
        return max(self.minimum_suspicion, periods * self.probe_period)

    def transmissions(self, zone_size: int) -> int:
        """Return how often a node passes one record on."""
        doublings = math.log2(zone_size + 2)
        return self.least_transmissions + math.ceil(self.transmissions_a_doubling * doublings)

    def urgent_transmissions(self, zone_size: int) -> int:
        """Return how often a node passes a refutation, or the state of one link, on."""
        return math.ceil(self.urgent_transmissions_a_doubling * math.log2(zone_size + 2))
