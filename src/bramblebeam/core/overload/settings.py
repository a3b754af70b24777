"""Parameters of overload control; a deployment's settings enable it."""

from typing import NamedTuple

CLASS_WEIGHT_RATIO = 2.0
"""Ratio of the weights of a route and one of the next lower priority while both queue. Urgent
statements get most of a full database, and less urgent ones still a third of it."""
LONGEST_QUEUE = 256
"""Maximum queue length for one database at one node: at 20 ms of work and six slots the last
statement begins after 0.9 s, which is most of a typical timeout."""
SLOT_ALLOWANCE = 2
"""Statements in flight to a database in excess of its slots: they are there when a slot becomes
free, as the network delay is a part of a short statement's time."""


class OverloadSettings(NamedTuple):
    """Parameters of overload control at one node.

    `enabled`: if False, work is limited by connections alone. `class_weight_ratio`: weight of a
    route relative to one of the next lower priority. `longest_queue`: maximum queue length per
    database. `slot_allowance`: statements in flight in excess of the slots.
    """

    enabled: bool = False
    class_weight_ratio: float = CLASS_WEIGHT_RATIO
    longest_queue: int = LONGEST_QUEUE
    slot_allowance: int = SLOT_ALLOWANCE


SWITCHED_OFF = OverloadSettings()
