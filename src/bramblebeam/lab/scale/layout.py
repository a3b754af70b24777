"""Which zones and regions the nodes of a scale run are in."""

from dataclasses import dataclass

REGIONS = 7
ZONES = 20


@dataclass(frozen=True, slots=True)
class Place:
    """Where one node is."""

    node: str
    zone: str
    region: str


def places(nodes: int, zones: int = ZONES, regions: int = REGIONS) -> list[Place]:
    """Spread nodes evenly over zones, and zones over regions."""
    return [
        Place(f"node-{n}", f"zone-{n % zones}", f"region-{n % zones % regions}")
        for n in range(nodes)
    ]
