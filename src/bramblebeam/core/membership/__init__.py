"""Membership: failure detection in a zone, relays between zones, the table and its view."""
