"""Which zones and regions the nodes of a scale run are in."""

from dataclasses import dataclass

REGIONS = 7
ZONES = 20
SMALLEST_ZONE = 4
"""A zone's last node has nobody to notice its death, so small runs have fewer zones."""


@dataclass(frozen=True, slots=True)
class Place:
    """Where one node is."""

    node: str
    zone: str
    region: str


def places(nodes: int) -> list[Place]:
    """Spread nodes evenly over zones, and zones over regions."""
    zones = max(1, min(ZONES, nodes // SMALLEST_ZONE))
    return [
        Place(f"node-{n}", f"zone-{n % zones}", f"region-{n % zones % REGIONS}")
        for n in range(nodes)
    ]
