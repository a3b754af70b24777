"""Decisions of the gateway: routes, floors, connection state and the choice of a database."""
