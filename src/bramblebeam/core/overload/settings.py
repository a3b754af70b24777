"""What the decisions under load go by; a deployment's settings switch them on."""

from typing import NamedTuple

CLASS_WEIGHT_RATIO = 2.0
"""A route of the next higher priority has so many times the turns while both wait: the urgent gets
most of a full database, and what is less urgent still a third of it."""
LONGEST_QUEUE = 256
"""Statements that wait for one database at one node: at 20 ms of work and six slots the last of
them begins after 0.9 s, which is most of a usual time-out."""
SLOT_ALLOWANCE = 2
"""Statements under way to a database beside those that its slots run: they are there when a slot
becomes free, as the way to it takes part of a short statement's time."""


class OverloadSettings(NamedTuple):
    """The decisions under load of one node. `enabled` False: connections alone bound the work.

    `class_weight_ratio`: turns of a route against one of the next lower priority. `longest_queue`:
    statements that wait for one database. `slot_allowance`: statements under way beside the slots.
    """

    enabled: bool = False
    class_weight_ratio: float = CLASS_WEIGHT_RATIO
    longest_queue: int = LONGEST_QUEUE
    slot_allowance: int = SLOT_ALLOWANCE


SWITCHED_OFF = OverloadSettings()
