"""Cluster membership: SWIM failure detection within zones, relays and anti-entropy between them."""
